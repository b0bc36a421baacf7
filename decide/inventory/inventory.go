// Package inventory converts between a configuration and the two lists that
// operators write, the asset register and the rules. It reports duplicate entries;
// package route checks the resulting configuration.
package inventory

import (
	"fmt"
	"maps"
	"slices"

	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Register is the operators' asset register: every service with its customer,
// and every host with its availability zone and the service that it runs.
type Register struct {
	Services []mesh.Service `json:"services"`
	Hosts    []mesh.Host    `json:"hosts"`
}

// Rules lists the rules that route requests to the services of the register.
type Rules struct {
	Rules []mesh.Rule `json:"rules"`
}

// Duplicates returns the services and hosts that are listed more than once. All
// other faults can be found only in the whole configuration, by route.Check.
func (r Register) Duplicates() route.Faults {
	faults := duplicates(r.Services, "service", func(s mesh.Service) string { return string(s.Name) })
	return append(faults, duplicates(r.Hosts, "host", func(h mesh.Host) string { return string(h.ID) })...)
}

// Duplicates returns the rules that are listed more than once.
func (r Rules) Duplicates() route.Faults {
	return duplicates(r.Rules, "rule", func(rule mesh.Rule) string { return rule.ID })
}

// duplicates returns a fault for each entry whose name an earlier entry has.
func duplicates[V any](list []V, kind string, name func(V) string) (faults route.Faults) {
	firstIndex := make(map[string]int)
	for i, entry := range list {
		first, listed := firstIndex[name(entry)]
		if listed {
			faults = append(faults, route.Fault{
				Location: kind + " " + name(entry),
				Message:  fmt.Sprintf("is listed twice, as entry %d and entry %d", first+1, i+1),
			})
			continue
		}
		firstIndex[name(entry)] = i
	}
	return faults
}

// Apply returns the configuration with its inventory replaced by the register.
// The rules are unchanged.
func (r Register) Apply(c mesh.Config) mesh.Config {
	next := mesh.Config{
		Services: make(map[mesh.ServiceName]mesh.Service, len(r.Services)),
		Hosts:    make(map[mesh.HostID]mesh.Host, len(r.Hosts)),
		Rules:    c.Rules,
	}
	for _, s := range r.Services {
		next.Services[s.Name] = s
	}
	for _, h := range r.Hosts {
		next.Hosts[h.ID] = h
	}
	return next
}

// Apply returns the configuration with its rules replaced by these. The inventory
// is unchanged.
func (r Rules) Apply(c mesh.Config) mesh.Config {
	c.Rules = make(map[string]mesh.Rule, len(r.Rules))
	for _, rule := range r.Rules {
		c.Rules[rule.ID] = rule
	}
	return c
}

// Split returns the register and the rules of a configuration, sorted by name.
func Split(c mesh.Config) (Register, Rules) {
	return Register{Services: sortedValues(c.Services), Hosts: sortedValues(c.Hosts)}, Rules{Rules: sortedValues(c.Rules)}
}

func sortedValues[K ~string, V any](entries map[K]V) []V {
	sorted := make([]V, 0, len(entries))
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		sorted = append(sorted, entries[key])
	}
	return sorted
}
