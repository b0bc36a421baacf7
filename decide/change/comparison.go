package change

import (
	"cmp"
	"slices"

	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Effect is the effect of a change on one service, host or route.
type Effect string

// The effects of a change.
const (
	Added   Effect = "added"
	Removed Effect = "removed"
	Changed Effect = "changed"
	// LosesRequests: the rule is unchanged, but a new rule with a longer path
	// prefix matches some of its requests.
	LosesRequests Effect = "loses_requests"
	// GainsRequests: the rule is unchanged and matches the requests of a
	// deleted rule.
	GainsRequests Effect = "gains_requests"
)

// RouteChange is the effect of a change on one route. Before is nil for an added
// rule, After for a removed one.
type RouteChange struct {
	Effect Effect     `json:"effect"`
	Before *mesh.Rule `json:"before,omitempty"`
	After  *mesh.Rule `json:"after,omitempty"`
	// Customers lists, sorted, the customers of the services before and after.
	Customers []mesh.Customer `json:"customers"`
	// CauseRuleID is the ID of the added or deleted rule that makes an unchanged
	// rule lose or gain requests; empty for other effects.
	CauseRuleID string `json:"by,omitempty"`
}

// HostChange is the effect of a change on one host of the inventory. Before is
// nil for an added host, After for a removed one.
type HostChange struct {
	Effect Effect     `json:"effect"`
	Before *mesh.Host `json:"before,omitempty"`
	After  *mesh.Host `json:"after,omitempty"`
	// Customers lists, sorted, the customers of the services before and after.
	Customers []mesh.Customer `json:"customers"`
}

// ServiceChange is the effect of a change on one service. Before is nil for an
// added service, After for a removed one.
type ServiceChange struct {
	Effect Effect        `json:"effect"`
	Before *mesh.Service `json:"before,omitempty"`
	After  *mesh.Service `json:"after,omitempty"`
}

// Comparison lists the effects of a change on services, hosts and routes. It is
// printed as JSON and shown to operators and customers.
type Comparison struct {
	Services []ServiceChange `json:"services"`
	Hosts    []HostChange    `json:"hosts"`
	Routes   []RouteChange   `json:"routes"`
	// RequiredApprovers lists the customers that must approve the change.
	RequiredApprovers []mesh.Customer `json:"needs"`
}

// Compare returns the effects of replacing the configuration before by after.
func Compare(before, after mesh.Config) Comparison {
	c := comparer{before: before, after: after}
	edits := mesh.Diff(before, after)
	comparison := Comparison{Services: []ServiceChange{}, Hosts: []HostChange{}, Routes: []RouteChange{}, RequiredApprovers: ConcernedCustomers(before, after)}
	for _, name := range sortedKeys(edits.PutServices, edits.DeleteServices, func(s mesh.Service) mesh.ServiceName { return s.Name }) {
		old, next, effect := compareEntry(before.Services, after.Services, name)
		comparison.Services = append(comparison.Services, ServiceChange{effect, old, next})
	}
	for _, id := range sortedKeys(edits.PutHosts, edits.DeleteHosts, func(h mesh.Host) mesh.HostID { return h.ID }) {
		old, next, effect := compareEntry(before.Hosts, after.Hosts, id)
		comparison.Hosts = append(comparison.Hosts, HostChange{effect, old, next, c.customersOf(hostService(old), hostService(next))})
	}
	for _, id := range sortedKeys(edits.PutRules, edits.DeleteRules, func(r mesh.Rule) string { return r.ID }) {
		old, next, effect := compareEntry(before.Rules, after.Rules, id)
		comparison.Routes = append(comparison.Routes, RouteChange{Effect: effect, Before: old, After: next,
			Customers: c.customersOf(ruleService(old), ruleService(next))})
	}
	comparison.Routes = append(comparison.Routes, c.movedRequests()...)
	return comparison
}

// comparer derives the effects that depend on more than the edited entry.
type comparer struct {
	before, after mesh.Config
}

// movedRequests returns the unchanged rules that lose requests to an added rule
// or gain the requests of a deleted one.
func (c comparer) movedRequests() (changes []RouteChange) {
	oldIndex, newIndex := route.NewIndex(c.before), route.NewIndex(c.after)
	for _, added := range newIndex.RulesNotIn(oldIndex) {
		if r, found := oldIndex.FallbackFor(added); found {
			changes = append(changes, c.unchangedRule(LosesRequests, r, added.ID))
		}
	}
	for _, deleted := range oldIndex.RulesNotIn(newIndex) {
		if r, found := newIndex.FallbackFor(deleted); found {
			changes = append(changes, c.unchangedRule(GainsRequests, r, deleted.ID))
		}
	}
	return changes
}

func (c comparer) unchangedRule(effect Effect, r mesh.Rule, causeID string) RouteChange {
	return RouteChange{Effect: effect, Before: &r, After: &r, CauseRuleID: causeID, Customers: c.customersOf(r.Service, r.Service)}
}

// customersOf returns, sorted, the customer of a service before the change and
// the customer of a service after it.
func (c comparer) customersOf(before, after mesh.ServiceName) []mesh.Customer {
	var customers []mesh.Customer
	if s, found := c.before.Services[before]; found {
		customers = append(customers, s.Customer)
	}
	if s, found := c.after.Services[after]; found && !slices.Contains(customers, s.Customer) {
		customers = append(customers, s.Customer)
	}
	slices.Sort(customers)
	return customers
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

// sortedKeys returns the keys of the entries put and deleted, sorted.
func sortedKeys[K cmp.Ordered, V any](put []V, deleted []K, key func(V) K) []K {
	keys := slices.Clone(deleted)
	for _, entry := range put {
		keys = append(keys, key(entry))
	}
	slices.Sort(keys)
	return keys
}

// compareEntry returns the entries for a key before and after the change, and
// the effect. An entry that does not exist is nil.
func compareEntry[K comparable, V any](before, after map[K]V, key K) (old, next *V, effect Effect) {
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
