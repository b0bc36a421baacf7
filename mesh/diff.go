package mesh

import (
	"cmp"
	"maps"
	"slices"
)

// Diff returns the edits that turn from into to, sorted by key.
func Diff(from, to Config) Edits {
	var e Edits
	e.PutServices, e.DeleteServices = diffMaps(from.Services, to.Services)
	e.PutHosts, e.DeleteHosts = diffMaps(from.Hosts, to.Hosts)
	e.PutRules, e.DeleteRules = diffMaps(from.Rules, to.Rules)
	return e
}

// diffMaps returns the values to put into from and the keys to delete from it,
// each sorted by key, so that it equals to.
func diffMaps[K cmp.Ordered, V comparable](from, to map[K]V) (put []V, deleted []K) {
	for _, k := range slices.Sorted(maps.Keys(to)) {
		if old, found := from[k]; !found || old != to[k] {
			put = append(put, to[k])
		}
	}
	for _, k := range slices.Sorted(maps.Keys(from)) {
		if _, found := to[k]; !found {
			deleted = append(deleted, k)
		}
	}
	return put, deleted
}

// Len returns the number of entries that the edits put or delete.
func (e Edits) Len() int {
	puts := len(e.PutServices) + len(e.PutHosts) + len(e.PutRules)
	return puts + len(e.DeleteServices) + len(e.DeleteHosts) + len(e.DeleteRules)
}

// FirstDuplicate returns the first entry that is edited more than once, as its kind
// and key, such as "host fes-1". The result is false if there is none.
func (e Edits) FirstDuplicate() (string, bool) {
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
	if name, found := firstDuplicate(services); found {
		return "service " + string(name), true
	}
	if id, found := firstDuplicate(hosts); found {
		return "host " + string(id), true
	}
	id, found := firstDuplicate(rules)
	return "rule " + id, found
}

// firstDuplicate sorts keys and returns the smallest one that occurs twice.
func firstDuplicate[K cmp.Ordered](keys []K) (K, bool) {
	slices.Sort(keys)
	for i := 1; i < len(keys); i++ {
		if keys[i] == keys[i-1] {
			return keys[i], true
		}
	}
	var zero K
	return zero, false
}
