package mesh

import (
	"cmp"
	"maps"
	"slices"
)

// Diff returns the edits that turn from into to, in the order of the keys.
func Diff(from, to Config) Edits {
	var e Edits
	e.PutServices, e.DeleteServices = difference(from.Services, to.Services)
	e.PutHosts, e.DeleteHosts = difference(from.Hosts, to.Hosts)
	e.PutRules, e.DeleteRules = difference(from.Rules, to.Rules)
	return e
}

func difference[K cmp.Ordered, V comparable](from, to map[K]V) (put []V, drop []K) {
	for _, k := range slices.Sorted(maps.Keys(to)) {
		if old, found := from[k]; !found || old != to[k] {
			put = append(put, to[k])
		}
	}
	for _, k := range slices.Sorted(maps.Keys(from)) {
		if _, found := to[k]; !found {
			drop = append(drop, k)
		}
	}
	return put, drop
}

// Len returns the number of entries that the edits put or delete.
func (e Edits) Len() int {
	puts := len(e.PutServices) + len(e.PutHosts) + len(e.PutRules)
	return puts + len(e.DeleteServices) + len(e.DeleteHosts) + len(e.DeleteRules)
}

// Repeated returns an entry that is edited more than once, such as "host
// fes-1", and whether there is one.
func (e Edits) Repeated() (string, bool) {
	services := slices.Clone(e.DeleteServices)
	for _, s := range e.PutServices {
		services = append(services, s.Name)
	}
	hosts := slices.Clone(e.DeleteHosts)
	for _, h := range e.PutHosts {
		hosts = append(hosts, h.ID)
	}
	rules := slices.Clone(e.DeleteRules)
	for _, r := range e.PutRules {
		rules = append(rules, r.ID)
	}
	if name, found := firstRepeated(services); found {
		return "service " + string(name), true
	}
	if id, found := firstRepeated(hosts); found {
		return "host " + string(id), true
	}
	id, found := firstRepeated(rules)
	return "rule " + id, found
}

func firstRepeated[K cmp.Ordered](keys []K) (K, bool) {
	slices.Sort(keys)
	for i := 1; i < len(keys); i++ {
		if keys[i] == keys[i-1] {
			return keys[i], true
		}
	}
	var none K
	return none, false
}
