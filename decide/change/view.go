package change

import (
	"cmp"
	"slices"

	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Effect is what a change does to one route or resource.
type Effect string

// The effects of a change.
const (
	Added   Effect = "added"
	Removed Effect = "removed"
	Changed Effect = "changed"
	// LosesRequests: a rule stays, but a new one with a longer path prefix
	// takes some of its requests.
	LosesRequests Effect = "loses_requests"
	// GainsRequests: a rule stays, and gets the requests of a deleted one.
	GainsRequests Effect = "gains_requests"
)

// RouteChange is what a change does to one route. Before and After are nil
// where there is no rule.
type RouteChange struct {
	Effect Effect     `json:"effect"`
	Before *mesh.Rule `json:"before,omitempty"`
	After  *mesh.Rule `json:"after,omitempty"`
	// Customers are those of the services before and after.
	Customers []mesh.Customer `json:"customers"`
	// By is the rule that makes a staying rule lose or gain requests.
	By string `json:"by,omitempty"`
}

// HostChange is what a change does to one host of the inventory.
type HostChange struct {
	Effect    Effect          `json:"effect"`
	Before    *mesh.Host      `json:"before,omitempty"`
	After     *mesh.Host      `json:"after,omitempty"`
	Customers []mesh.Customer `json:"customers"`
}

// ServiceChange is what a change does to one service.
type ServiceChange struct {
	Effect Effect        `json:"effect"`
	Before *mesh.Service `json:"before,omitempty"`
	After  *mesh.Service `json:"after,omitempty"`
}

// View is what a change does, as its customers see it.
type View struct {
	Services []ServiceChange `json:"services"`
	Hosts    []HostChange    `json:"hosts"`
	Routes   []RouteChange   `json:"routes"`
	// Needs has the customers that must approve.
	Needs []mesh.Customer `json:"needs"`
}

// Compare returns what turning one configuration into another does.
func Compare(before, after mesh.Config) View {
	w := viewer{before: before, after: after}
	e := mesh.Diff(before, after)
	v := View{Services: []ServiceChange{}, Hosts: []HostChange{}, Routes: []RouteChange{}, Needs: Concerned(before, after)}
	for _, name := range keys(e.PutServices, e.DeleteServices, func(s mesh.Service) mesh.ServiceName { return s.Name }) {
		old, next, effect := pair(before.Services, after.Services, name)
		v.Services = append(v.Services, ServiceChange{effect, old, next})
	}
	for _, id := range keys(e.PutHosts, e.DeleteHosts, func(h mesh.Host) mesh.HostID { return h.ID }) {
		old, next, effect := pair(before.Hosts, after.Hosts, id)
		v.Hosts = append(v.Hosts, HostChange{effect, old, next, w.customersOf(hostService(old), hostService(next))})
	}
	for _, id := range keys(e.PutRules, e.DeleteRules, func(r mesh.Rule) string { return r.ID }) {
		old, next, effect := pair(before.Rules, after.Rules, id)
		v.Routes = append(v.Routes, RouteChange{Effect: effect, Before: old, After: next,
			Customers: w.customersOf(ruleService(old), ruleService(next))})
	}
	v.Routes = append(v.Routes, w.overshadowed()...)
	return v
}

// viewer finds what a change does beyond the entries it edits.
type viewer struct {
	before, after mesh.Config
}

// overshadowed returns the rules that lose requests to new ones, or get those
// of deleted ones.
func (w viewer) overshadowed() (changes []RouteChange) {
	old, next := route.NewIndex(w.before), route.NewIndex(w.after)
	for _, added := range next.Missing(old) {
		if r, found := old.Overshadowed(added); found {
			changes = append(changes, w.staying(LosesRequests, r, added.ID))
		}
	}
	for _, deleted := range old.Missing(next) {
		if r, found := next.Overshadowed(deleted); found {
			changes = append(changes, w.staying(GainsRequests, r, deleted.ID))
		}
	}
	return changes
}

func (w viewer) staying(effect Effect, r mesh.Rule, by string) RouteChange {
	return RouteChange{Effect: effect, Before: &r, After: &r, By: by, Customers: w.customersOf(r.Service, r.Service)}
}

// customersOf returns the customers of a service before and of one after.
func (w viewer) customersOf(before, after mesh.ServiceName) []mesh.Customer {
	var list []mesh.Customer
	if s, found := w.before.Services[before]; found {
		list = append(list, s.Customer)
	}
	if s, found := w.after.Services[after]; found && !slices.Contains(list, s.Customer) {
		list = append(list, s.Customer)
	}
	slices.Sort(list)
	return list
}

func hostService(h *mesh.Host) mesh.ServiceName {
	if h == nil {
		return ""
	}
	return h.Service
}

func ruleService(r *mesh.Rule) mesh.ServiceName {
	if r == nil {
		return ""
	}
	return r.Service
}

// keys returns the keys of the entries put and deleted, in order.
func keys[K cmp.Ordered, V any](put []V, dropped []K, key func(V) K) []K {
	list := slices.Clone(dropped)
	for _, entry := range put {
		list = append(list, key(entry))
	}
	slices.Sort(list)
	return list
}

// pair returns the entries under a key before and after, and the effect.
func pair[K comparable, V any](before, after map[K]V, key K) (old, next *V, effect Effect) {
	effect = Changed
	if entry, found := before[key]; found {
		old = &entry
	} else {
		effect = Added
	}
	if entry, found := after[key]; found {
		next = &entry
	} else {
		effect = Removed
	}
	return old, next, effect
}
