package settings

// The kinds of platform.
const (
	// LogPlatform provides an append-only log. The node keeps changes and
	// approvals there.
	LogPlatform = "log"
	// StorePlatform provides a store with approved configuration, and backend
	// servers that send reports to their node.
	StorePlatform = "store"
)

// Platform is the kind and the address of the platform.
type Platform struct {
	// Kind is "log" or "store". Default "log".
	Kind string `json:"kind,omitempty"`
	// URL is the base URL of the log service or store, such as
	// "http://10.0.0.5:7000". Required.
	URL string `json:"url"`
}

// platform checks the settings that depend on the kind of platform.
func (c *checker) platform(s Settings) {
	switch s.Platform.Kind {
	case LogPlatform:
		c.between("backend.slots", s.Backend.Slots, 1, maxSlots)
		c.storeOnly("listen.readiness", s.Listen.Readiness)
		c.storeOnly("listen.reports", s.Listen.Reports)
	case StorePlatform:
		c.address("listen.readiness", s.Listen.Readiness)
		c.address("listen.reports", s.Listen.Reports)
		if s.Backend.Slots != 0 {
			c.add("backend.slots", `must be left out with platform.kind "store": the backend server reports it`)
		}
	default:
		c.add("platform.kind", `must be "log" or "store"`)
	}
}

func (c *checker) storeOnly(key, value string) {
	if value != "" {
		c.add(key, `is allowed only with platform.kind "store"`)
	}
}
