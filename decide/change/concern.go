package change

import (
	"maps"
	"slices"

	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Concerned returns the customers whose routes or resources differ between two
// configurations, in order: those of every service that a difference touches,
// before or after it, and those whose rules lose requests to a new rule with a
// longer prefix or get the requests of a deleted one.
func Concerned(before, after mesh.Config) []mesh.Customer {
	touched := servicesTouched(before, after)
	concerned := make(map[mesh.Customer]struct{})
	for _, c := range []mesh.Config{before, after} {
		for _, name := range touched {
			if s, found := c.Services[name]; found {
				concerned[s.Customer] = struct{}{}
			}
		}
	}
	return slices.Sorted(maps.Keys(concerned))
}

func servicesTouched(before, after mesh.Config) []mesh.ServiceName {
	e := mesh.Diff(before, after)
	names := slices.Clone(e.DeleteServices)
	for _, s := range e.PutServices {
		names = append(names, s.Name)
	}
	for _, h := range e.PutHosts {
		names = append(names, h.Service, before.Hosts[h.ID].Service)
	}
	for _, id := range e.DeleteHosts {
		names = append(names, before.Hosts[id].Service)
	}
	for _, r := range e.PutRules {
		names = append(names, r.Service, before.Rules[r.ID].Service)
	}
	for _, id := range e.DeleteRules {
		names = append(names, before.Rules[id].Service)
	}
	return append(names, servicesOvershadowed(before, after)...)
}

// servicesOvershadowed returns the services of rules that themselves stay, but
// whose requests become fewer or more.
func servicesOvershadowed(before, after mesh.Config) (names []mesh.ServiceName) {
	old, next := route.NewIndex(before), route.NewIndex(after)
	for _, added := range next.Missing(old) {
		if r, found := old.Overshadowed(added); found {
			names = append(names, r.Service)
		}
	}
	for _, deleted := range old.Missing(next) {
		if r, found := next.Overshadowed(deleted); found {
			names = append(names, r.Service)
		}
	}
	return names
}
