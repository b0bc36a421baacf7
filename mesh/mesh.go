// Package mesh has the domain types that all parts of the system share: hosts,
// availability zones, services, rules, configurations, members and their load.
// Its only behavior is to check, compare and edit these values. It imports no
// codec.
package mesh

import (
	"maps"
	"time"
)

// HostID is the name of a host in the operators' asset register. It outlives
// the machine: a replacement machine takes over the name.
type HostID string

// Zone names an availability zone.
type Zone string

// Region names a group of availability zones.
type Region string

// ServiceName names a service that backend servers run.
type ServiceName string

// Customer names the party that approves or vetoes changes to its services.
type Customer string

// Version is the log offset of the release that created a configuration. Zero
// means no configuration; a higher version is newer.
type Version uint64

// Class is the kind of traffic that a rule matches.
type Class string

// The traffic classes.
const (
	// Lookup is an idempotent read that a person waits for.
	Lookup Class = "lookup"
	// Booking is a non-idempotent booking or purchase: it runs at most once.
	Booking Class = "booking"
	// Upload is a long transfer that must arrive complete.
	Upload Class = "upload"
	// Download is an idempotent read with a large response, which is streamed.
	Download Class = "download"
	// Background is idempotent work that is shed first under overload.
	Background Class = "background"
)

// Classes returns all classes in the order in which overload keeps them: the
// last one is shed first.
func Classes() []Class { return []Class{Booking, Lookup, Upload, Download, Background} }

// Valid reports whether c is one of the classes.
func (c Class) Valid() bool {
	switch c {
	case Lookup, Booking, Upload, Download, Background:
		return true
	}
	return false
}

// NumClasses is the number of classes.
const NumClasses = 5

// Index returns the position of c in Classes. For an invalid class it returns
// the last position.
func (c Class) Index() int {
	switch c {
	case Booking:
		return 0
	case Lookup:
		return 1
	case Upload:
		return 2
	case Download:
		return 3
	default:
		return NumClasses - 1
	}
}

// Idempotent reports whether a request of the class can safely run more than
// once.
func (c Class) Idempotent() bool { return c == Lookup || c == Download || c == Background }

// LongRunning reports whether a request of the class can occupy a slot for as
// long as a large body takes to transfer.
func (c Class) LongRunning() bool { return c == Upload || c == Download }

// Service is a service of the asset register and the customer that owns it.
type Service struct {
	Name     ServiceName `json:"name"`
	Customer Customer    `json:"customer"`
}

// Host is an entry of the inventory: a host that can run a backend server of
// the service.
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
	// DeadlineMillis bounds the time from a request's arrival to its response,
	// in milliseconds, 1 to 3,600,000.
	DeadlineMillis int `json:"deadline_ms"`
	// Retries is the maximum number of attempts after the first, 0 to 5.
	Retries int `json:"retries"`
	// Hedge allows a second copy of a slow request; lookups only.
	Hedge bool `json:"hedge,omitempty"`
}

// Deadline returns the rule's deadline as a duration from the arrival.
func (r Rule) Deadline() time.Duration {
	return time.Duration(r.DeadlineMillis) * time.Millisecond
}

// Config is a complete configuration: the inventory and the rules. It is
// immutable: Apply returns a new one.
type Config struct {
	Services map[ServiceName]Service `json:"services"`
	Hosts    map[HostID]Host         `json:"hosts"`
	Rules    map[string]Rule         `json:"rules"`
}

// Edits is the difference between two configurations. Diff computes it, and
// Config.Apply applies it.
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

// Apply returns the configuration with the edits applied. It does not modify c.
func (c Config) Apply(e Edits) Config {
	return Config{
		Services: applyEdits(c.Services, e.PutServices, e.DeleteServices, func(s Service) ServiceName { return s.Name }),
		Hosts:    applyEdits(c.Hosts, e.PutHosts, e.DeleteHosts, func(h Host) HostID { return h.ID }),
		Rules:    applyEdits(c.Rules, e.PutRules, e.DeleteRules, func(r Rule) string { return r.ID }),
	}
}

// applyEdits returns a copy of old without the deleted keys and with the values
// of put, which key maps to their keys. A key in both ends up with its value.
func applyEdits[K comparable, V any](old map[K]V, put []V, deleted []K, key func(V) K) map[K]V {
	edited := make(map[K]V, len(old)+len(put))
	maps.Copy(edited, old)
	for _, k := range deleted {
		delete(edited, k)
	}
	for _, v := range put {
		edited[key(v)] = v
	}
	return edited
}
