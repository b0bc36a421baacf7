// Package inventory turns what operators write, the asset register and the
// rules on top of it, into the configuration wanted.
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

// Rules are the rules on top of the register.
type Rules struct {
	Rules []mesh.Rule `json:"rules"`
}

// Faults returns the entries that are listed twice. What else can be wrong
// shows only in the whole configuration: see route.Check.
func (r Register) Faults() route.Faults {
	faults := repeated(r.Services, "service", func(s mesh.Service) string { return string(s.Name) })
	return append(faults, repeated(r.Hosts, "host", func(h mesh.Host) string { return string(h.ID) })...)
}

// Faults returns the rules that are listed twice.
func (r Rules) Faults() route.Faults {
	return repeated(r.Rules, "rule", func(rule mesh.Rule) string { return rule.ID })
}

func repeated[V any](list []V, kind string, name func(V) string) (faults route.Faults) {
	first := make(map[string]int)
	for i, entry := range list {
		at, listed := first[name(entry)]
		if listed {
			faults = append(faults, route.Fault{
				Where: kind + " " + name(entry),
				What:  fmt.Sprintf("is listed twice, as entry %d and entry %d", at+1, i+1),
			})
			continue
		}
		first[name(entry)] = i
	}
	return faults
}

// Apply returns the configuration with the inventory of the register; its rules
// stay.
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

// Apply returns the configuration with these rules; its inventory stays.
func (r Rules) Apply(c mesh.Config) mesh.Config {
	c.Rules = make(map[string]mesh.Rule, len(r.Rules))
	for _, rule := range r.Rules {
		c.Rules[rule.ID] = rule
	}
	return c
}

// Split returns the register and the rules of a configuration, in the order of
// their names.
func Split(c mesh.Config) (Register, Rules) {
	return Register{Services: values(c.Services), Hosts: values(c.Hosts)}, Rules{Rules: values(c.Rules)}
}

func values[K ~string, V any](rows map[K]V) []V {
	list := make([]V, 0, len(rows))
	for _, key := range slices.Sorted(maps.Keys(rows)) {
		list = append(list, rows[key])
	}
	return list
}
