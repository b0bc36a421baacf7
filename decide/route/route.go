// Package route compiles a configuration into the table that requests are
// matched against, and checks it as a whole. A configuration with any fault is
// rejected whole; there is no table of a part of one.
package route

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Fault is one thing wrong with a configuration.
type Fault struct {
	// Where names the entry, such as "rule bookings" or "host fes-1".
	Where string
	// What says what is wrong with it.
	What string
}

// Faults is every fault of a configuration, in the order of the entries.
type Faults []Fault

// Error returns the faults on one line.
func (f Faults) Error() string {
	parts := make([]string, len(f))
	for i, fault := range f {
		parts[i] = fault.Where + ": " + fault.What
	}
	return strings.Join(parts, "; ")
}

// Bounds of the values in a configuration.
const (
	maxDeadlineMillis = 3_600_000
	maxRetries        = 5
)

// Check returns every fault of the configuration.
func Check(c mesh.Config) Faults {
	var faults Faults
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		faults = append(faults, checkService(c.Services[name])...)
	}
	for _, id := range slices.Sorted(maps.Keys(c.Hosts)) {
		faults = append(faults, checkHost(c, c.Hosts[id])...)
	}
	for _, id := range slices.Sorted(maps.Keys(c.Rules)) {
		faults = append(faults, checkRule(c, c.Rules[id])...)
	}
	return append(faults, checkOverlaps(c)...)
}

func checkService(s mesh.Service) (faults Faults) {
	where := "service " + string(s.Name)
	if s.Name == "" {
		faults = append(faults, Fault{where, "has no name"})
	}
	if s.Customer == "" {
		faults = append(faults, Fault{where, "names no customer"})
	}
	return faults
}

func checkHost(c mesh.Config, h mesh.Host) (faults Faults) {
	where := "host " + string(h.ID)
	if h.ID == "" {
		faults = append(faults, Fault{where, "has no name"})
	}
	if h.Zone == "" {
		faults = append(faults, Fault{where, "names no availability zone"})
	}
	if _, found := c.Services[h.Service]; !found {
		faults = append(faults, Fault{where, fmt.Sprintf("names no existing service: %q", h.Service)})
	}
	return faults
}

func checkRule(c mesh.Config, r mesh.Rule) (faults Faults) {
	where := "rule " + r.ID
	add := func(what string) { faults = append(faults, Fault{where, what}) }
	if r.ID == "" {
		add("has no name")
	}
	if r.HostName == "" {
		add("names no host name")
	}
	if !strings.HasPrefix(r.PathPrefix, "/") {
		add("path prefix does not begin with /")
	}
	if _, found := c.Services[r.Service]; !found {
		add(fmt.Sprintf("names no existing service: %q", r.Service))
	}
	if !r.Class.Valid() {
		add(fmt.Sprintf("unknown class: %q", r.Class))
	}
	if r.DeadlineMillis < 1 || r.DeadlineMillis > maxDeadlineMillis {
		add(fmt.Sprintf("deadline_ms %d not in 1 to %d", r.DeadlineMillis, maxDeadlineMillis))
	}
	if r.Retries < 0 || r.Retries > maxRetries {
		add(fmt.Sprintf("retries %d not in 0 to %d", r.Retries, maxRetries))
	}
	if r.Hedge && r.Class != mesh.Lookup {
		add("only lookups may be hedged")
	}
	return faults
}

// checkOverlaps finds rules with the same host name and path prefix.
func checkOverlaps(c mesh.Config) (faults Faults) {
	first := make(map[string]string)
	for _, id := range slices.Sorted(maps.Keys(c.Rules)) {
		r := c.Rules[id]
		match := strings.ToLower(r.HostName) + r.PathPrefix
		if other, taken := first[match]; taken {
			faults = append(faults, Fault{"rule " + id, "matches the same requests as rule " + other})
			continue
		}
		first[match] = id
	}
	return faults
}

// Table is a compiled configuration. It is immutable and safe to share.
type Table struct {
	// Version is the version it was compiled from.
	Version mesh.Version
	// Config is what it was compiled from.
	Config mesh.Config
	byHost map[string][]mesh.Rule
}

// Compile checks the configuration and returns its table, or every fault.
func Compile(v mesh.Version, c mesh.Config) (*Table, Faults) {
	if faults := Check(c); len(faults) > 0 {
		return nil, faults
	}
	byHost := make(map[string][]mesh.Rule)
	for _, r := range c.Rules {
		name := strings.ToLower(r.HostName)
		byHost[name] = append(byHost[name], r)
	}
	for _, rules := range byHost {
		slices.SortFunc(rules, func(a, b mesh.Rule) int {
			return cmp.Or(cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)), cmp.Compare(a.ID, b.ID))
		})
	}
	return &Table{Version: v, Config: c, byHost: byHost}, nil
}

// Match returns the rule with the longest path prefix for the host name, which
// may carry a port, and whether there is one. A prefix matches whole path
// segments: /a matches /a and /a/b, not /ab.
func (t *Table) Match(hostName, path string) (mesh.Rule, bool) {
	name, _, _ := strings.Cut(strings.ToLower(hostName), ":")
	for _, r := range t.byHost[name] {
		if matchesPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return mesh.Rule{}, false
}

func matchesPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	if strings.HasSuffix(prefix, "/") || len(path) == len(prefix) {
		return true
	}
	return path[len(prefix)] == '/'
}
