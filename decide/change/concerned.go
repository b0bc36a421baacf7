package change

import (
	"maps"
	"slices"

	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// ConcernedCustomers returns, sorted, the customers whose routes or resources
// differ between two configurations. These are the customers of every service
// that a difference affects, before or after the change, and the customers of
// rules that lose requests to a new rule with a longer prefix or gain the
// requests of a deleted rule.
func ConcernedCustomers(before, after mesh.Config) []mesh.Customer {
	affected := affectedServices(before, after)
	customers := make(map[mesh.Customer]struct{})
	for _, config := range []mesh.Config{before, after} {
		for _, name := range affected {
			if s, found := config.Services[name]; found {
				customers[s.Customer] = struct{}{}
			}
		}
	}
	return slices.Sorted(maps.Keys(customers))
}

// affectedServices returns the services that the difference affects, before or
// after it. A name can repeat; it is empty for an entry that is new.
func affectedServices(before, after mesh.Config) []mesh.ServiceName {
	edits := mesh.Diff(before, after)
	names := slices.Clone(edits.DeleteServices)
	for _, s := range edits.PutServices {
		names = append(names, s.Name)
	}
	for _, h := range edits.PutHosts {
		names = append(names, h.Service, before.Hosts[h.ID].Service)
	}
	for _, id := range edits.DeleteHosts {
		names = append(names, before.Hosts[id].Service)
	}
	for _, r := range edits.PutRules {
		names = append(names, r.Service, before.Rules[r.ID].Service)
	}
	for _, id := range edits.DeleteRules {
		names = append(names, before.Rules[id].Service)
	}
	return append(names, servicesWithMovedRequests(before, after)...)
}

// servicesWithMovedRequests returns the services of rules that lose requests to
// an added rule or gain the requests of a deleted one.
func servicesWithMovedRequests(before, after mesh.Config) (names []mesh.ServiceName) {
	oldIndex, newIndex := route.NewIndex(before), route.NewIndex(after)
	for _, added := range newIndex.RulesNotIn(oldIndex) {
		if r, found := oldIndex.FallbackFor(added); found {
			names = append(names, r.Service)
		}
	}
	for _, deleted := range oldIndex.RulesNotIn(newIndex) {
		if r, found := newIndex.FallbackFor(deleted); found {
			names = append(names, r.Service)
		}
	}
	return names
}
