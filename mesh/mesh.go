// Package mesh has the values that every part of the system speaks of: hosts,
// availability zones, services, rules, members and their load. It has no
// behaviour beyond checking and comparing values, and imports no codec.
package mesh

import (
	"maps"
	"time"
)

// HostID is the name of a host in the operators' asset register. It outlives
// the machine: a replaced machine takes the name over.
type HostID string

// Zone names an availability zone.
type Zone string

// Region names a group of availability zones.
type Region string

// ServiceName names a service that backend servers run.
type ServiceName string

// Customer names the party that approves or vetoes changes to its services.
type Customer string

// Version is the log offset of the release that made a configuration. Zero
// means none; a higher version is always the newer one.
type Version uint64

// Class is the kind of traffic a rule carries.
type Class string

// The traffic classes.
const (
	// Lookup is an idempotent read that a person waits for.
	Lookup Class = "lookup"
	// Booking is a non-idempotent booking or purchase: it runs at most once.
	Booking Class = "booking"
	// Upload is a long transfer that must arrive whole.
	Upload Class = "upload"
	// Background is idempotent work that gives way first.
	Background Class = "background"
)

// Classes returns every class, the first to keep under overload first.
func Classes() []Class { return []Class{Booking, Lookup, Upload, Background} }

// Valid reports whether c is one of the four classes.
func (c Class) Valid() bool {
	switch c {
	case Lookup, Booking, Upload, Background:
		return true
	}
	return false
}

// NumClasses is the number of classes.
const NumClasses = 4

// Index returns the class's place in Classes, and the last one's for a class
// that is not valid.
func (c Class) Index() int {
	switch c {
	case Booking:
		return 0
	case Lookup:
		return 1
	case Upload:
		return 2
	default:
		return NumClasses - 1
	}
}

// Idempotent reports whether a request of the class may run more than once.
func (c Class) Idempotent() bool { return c == Lookup || c == Background }

// Service is a service of the asset register.
type Service struct {
	Name     ServiceName `json:"name"`
	Customer Customer    `json:"customer"`
}

// Host is one entry of the inventory: a host that may run a backend server.
type Host struct {
	ID      HostID      `json:"id"`
	Zone    Zone        `json:"zone"`
	Service ServiceName `json:"service"`
}

// Rule sends requests for a host name and path prefix to a service.
type Rule struct {
	ID         string      `json:"id"`
	HostName   string      `json:"host_name"`
	PathPrefix string      `json:"path_prefix"`
	Service    ServiceName `json:"service"`
	Class      Class       `json:"class"`
	// DeadlineMillis bounds a request from arrival to its answer, in
	// milliseconds, 1 to 3,600,000.
	DeadlineMillis int `json:"deadline_ms"`
	// Retries is the number of further attempts, 0 to 5.
	Retries int `json:"retries"`
	// Hedge allows a second copy of a slow request; lookups only.
	Hedge bool `json:"hedge,omitempty"`
}

// Deadline returns the rule's deadline as a duration.
func (r Rule) Deadline() time.Duration {
	return time.Duration(r.DeadlineMillis) * time.Millisecond
}

// Config is a whole configuration: the inventory and the rules on top. It is
// a value: Apply makes a new one.
type Config struct {
	Services map[ServiceName]Service `json:"services"`
	Hosts    map[HostID]Host         `json:"hosts"`
	Rules    map[string]Rule         `json:"rules"`
}

// Edits is the difference between two configurations.
type Edits struct {
	PutServices    []Service     `json:"put_services,omitempty"`
	PutHosts       []Host        `json:"put_hosts,omitempty"`
	PutRules       []Rule        `json:"put_rules,omitempty"`
	DeleteServices []ServiceName `json:"delete_services,omitempty"`
	DeleteHosts    []HostID      `json:"delete_hosts,omitempty"`
	DeleteRules    []string      `json:"delete_rules,omitempty"`
}

// Empty reports whether the edits change nothing.
func (e Edits) Empty() bool { return e.Len() == 0 }

// Apply returns the configuration with the edits made; c stays as it is.
func (c Config) Apply(e Edits) Config {
	return Config{
		Services: edited(c.Services, e.PutServices, e.DeleteServices, func(s Service) ServiceName { return s.Name }),
		Hosts:    edited(c.Hosts, e.PutHosts, e.DeleteHosts, func(h Host) HostID { return h.ID }),
		Rules:    edited(c.Rules, e.PutRules, e.DeleteRules, func(r Rule) string { return r.ID }),
	}
}

func edited[K comparable, V any](old map[K]V, put []V, drop []K, key func(V) K) map[K]V {
	rows := make(map[K]V, len(old)+len(put))
	maps.Copy(rows, old)
	for _, k := range drop {
		delete(rows, k)
	}
	for _, v := range put {
		rows[key(v)] = v
	}
	return rows
}
