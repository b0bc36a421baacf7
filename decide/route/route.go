// Package route compiles a configuration into the table that requests are
// matched against, and checks it as a whole. A configuration with any fault is
// rejected whole; there is no table of a part of one.
package route

import (
	"cmp"
	"maps"
	"slices"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// rulesByPath has the rules of one host name by the normal form of their path
// prefix.
type rulesByPath map[string]mesh.Rule

// Table is a compiled configuration. It is immutable and safe to share.
type Table struct {
	// Version is the version it was compiled from.
	Version mesh.Version
	// Config is what it was compiled from; empty for approved configuration.
	Config mesh.Config
	// Limits bounds what callers may send.
	Limits mesh.CallerLimits
	// Connections bounds the connections to a backend server of a service.
	Connections map[mesh.ServiceName]int
	byHost      Index
	literal     literalIndex
}

// Compile checks the configuration and returns its table, or every fault.
func Compile(v mesh.Version, c mesh.Config) (*Table, Faults) {
	if faults := Check(c); len(faults) > 0 {
		return nil, faults
	}
	return &Table{Version: v, Config: c, byHost: NewIndex(c)}, nil
}

// Admits reports whether the host may take requests of the service: the
// inventory lists it, or there is no inventory and hosts register themselves.
func (t *Table) Admits(id mesh.HostID, service mesh.ServiceName) bool {
	if t.literal != nil {
		return true
	}
	entry, listed := t.Config.Hosts[id]
	return listed && entry.Service == service
}

// Index has the rules of a configuration by the normal form of their host name
// and path prefix. It is immutable.
type Index map[string]rulesByPath

// NewIndex returns the index of a configuration's rules, unchecked.
func NewIndex(c mesh.Config) Index {
	byHost := make(Index)
	for _, id := range slices.Sorted(maps.Keys(c.Rules)) {
		r := c.Rules[id]
		name := normalHostName(r.HostName)
		if byHost[name] == nil {
			byHost[name] = make(rulesByPath)
		}
		byHost[name][normalPath(r.PathPrefix)] = r
	}
	return byHost
}

// Match returns the route with the longest path prefix for the host name,
// which may carry a port, and whether there is one. A rule's prefix matches
// whole path segments: /a matches /a and /a/b, not /ab. The path is matched in
// its normal form, so that /status/../book is taken for /book. The prefixes of
// approved configuration match literally instead.
func (t *Table) Match(hostName, path string) (mesh.Route, bool) {
	name := normalHostName(withoutPort(hostName))
	if t.literal != nil {
		return t.literal[name].longest(path)
	}
	rule, found := t.byHost[name].longest(normalPath(path))
	return mesh.RouteOf(rule), found
}

// longest returns the rule with the longest prefix of path.
func (rules rulesByPath) longest(path string) (mesh.Rule, bool) {
	if len(rules) == 0 {
		return mesh.Rule{}, false
	}
	for prefix := path; ; prefix = parent(prefix) {
		if r, found := rules[prefix]; found {
			return r, true
		}
		if prefix == "/" {
			return mesh.Rule{}, false
		}
	}
}

// Overshadowed returns the rule that the requests of r would go to if there
// were none with r's own match: it loses them when r is added, and gets them
// when r is deleted.
func (i Index) Overshadowed(r mesh.Rule) (mesh.Rule, bool) {
	path := normalPath(r.PathPrefix)
	if path == "/" {
		return mesh.Rule{}, false
	}
	return i[normalHostName(r.HostName)].longest(parent(path))
}

// Missing returns the rules of i whose match other has no rule for, in the
// order of their IDs.
func (i Index) Missing(other Index) []mesh.Rule {
	var missing []mesh.Rule
	for name, rules := range i {
		for path, r := range rules {
			if _, found := other[name][path]; !found {
				missing = append(missing, r)
			}
		}
	}
	slices.SortFunc(missing, func(a, b mesh.Rule) int { return cmp.Compare(a.ID, b.ID) })
	return missing
}
