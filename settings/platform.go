package settings

// The kinds of platform.
const (
	// LogPlatform has an append-only log; the node keeps changes and approvals.
	LogPlatform = "log"
	// StorePlatform has a store with approved configuration, and backend
	// servers that report themselves.
	StorePlatform = "store"
)

// Platform says where the platform's log service is.
type Platform struct {
	// Kind is "log" or "store". Default "log".
	Kind string `json:"kind,omitempty"`
	// URL is its address, such as "http://10.0.0.5:7000". Required.
	URL string `json:"url"`
}

// platform checks what depends on the kind of platform.
func (c *checker) platform(s Settings) {
	switch s.Platform.Kind {
	case LogPlatform:
		c.between("backend.slots", s.Backend.Slots, 1, maxSlots)
		c.unused("listen.readiness", s.Listen.Readiness)
		c.unused("listen.reports", s.Listen.Reports)
	case StorePlatform:
		c.address("listen.readiness", s.Listen.Readiness)
		c.address("listen.reports", s.Listen.Reports)
		if s.Backend.Slots != 0 {
			c.add("backend.slots", "is reported by the backend server itself")
		}
	default:
		c.add("platform.kind", `must be "log" or "store"`)
	}
}

func (c *checker) unused(key, value string) {
	if value != "" {
		c.add(key, `is for platform.kind "store"`)
	}
}
