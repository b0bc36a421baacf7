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
