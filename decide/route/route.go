// Package route compiles a configuration into an immutable table that matches
// requests by host name and longest path prefix, and checks a configuration for
// faults. A configuration with any fault is rejected as a whole: no table is
// compiled from a part of one.
package route

import (
	"cmp"
	"maps"
	"slices"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// rulesByPath has the rules of one host name by normalized path prefix.
type rulesByPath map[string]mesh.Rule

// Table is a compiled configuration. It is immutable and safe for concurrent
// use.
type Table struct {
	// Version is the version of the configuration.
	Version mesh.Version
	// Config is the configuration compiled; empty for approved configuration.
	Config mesh.Config
	// Limits bounds what callers can send. Only approved configuration sets it.
	Limits mesh.CallerLimits
	// Connections bounds the connections to one backend server of each service.
	// Only approved configuration sets it.
	Connections map[mesh.ServiceName]int
	// HealthPaths holds the path of the health check of each service. Only
	// approved configuration sets it.
	HealthPaths map[mesh.ServiceName]string
	byHost      Index
	accounts    accountIndex
	// literal is nil unless the table is compiled from approved configuration.
	literal literalIndex
}

// Compile checks the configuration and returns its table, or nil and every
// fault.
func Compile(v mesh.Version, c mesh.Config) (*Table, Faults) {
	if faults := Check(c); len(faults) > 0 {
		return nil, faults
	}
	return &Table{Version: v, Config: c, byHost: NewIndex(c)}, nil
}

// AllowsHost reports whether the host is allowed to serve requests of the service:
// the inventory lists it with that service. Approved configuration has no
// inventory, because hosts register themselves; then every host is allowed.
func (t *Table) AllowsHost(id mesh.HostID, service mesh.ServiceName) bool {
	if t.literal != nil {
		return true
	}
	host, listed := t.Config.Hosts[id]
	return listed && host.Service == service
}

// Index has the rules of a configuration by normalized host name and path
// prefix. It is immutable.
type Index map[string]rulesByPath

// NewIndex returns the index of a configuration's rules. It does not check the
// configuration; of several rules with the same match, the one with the largest
// ID is kept.
func NewIndex(c mesh.Config) Index {
	byHost := make(Index)
	for _, id := range slices.Sorted(maps.Keys(c.Rules)) {
		r := c.Rules[id]
		hostName := normalizeHostName(r.HostName)
		if byHost[hostName] == nil {
			byHost[hostName] = make(rulesByPath)
		}
		byHost[hostName][normalizePath(r.PathPrefix)] = r
	}
	return byHost
}

// Match returns the route with the longest path prefix for a host name, with or
// without a port, and whether one was found. path is the path as received, with
// its escapes. The prefix of a rule matches whole path segments: /a matches /a and
// /a/b, not /ab or /a%2Fb. The path is normalized first, so that /status/../book
// matches as /book. The prefixes of approved configuration are compared byte for
// byte with the path as received.
func (t *Table) Match(hostName, path string) (mesh.Route, bool) {
	name := normalizeHostName(stripPort(hostName))
	if t.literal != nil {
		return t.literal[name].longestPrefix(path)
	}
	rule, found := t.byHost[name].longestPrefix(normalizePath(unescapeSegments(path)))
	return mesh.RouteOf(rule), found
}

// longestPrefix returns the rule with the longest prefix of a normalized path.
func (rules rulesByPath) longestPrefix(path string) (mesh.Rule, bool) {
	if len(rules) == 0 {
		return mesh.Rule{}, false
	}
	for prefix := path; ; prefix = parentPath(prefix) {
		if r, found := rules[prefix]; found {
			return r, true
		}
		if prefix == "/" {
			return mesh.Rule{}, false
		}
	}
}

// FallbackFor returns the rule that would match the requests of r without r: the
// rule with the next shorter prefix. It loses these requests when r is added and
// gains them when r is deleted.
func (i Index) FallbackFor(r mesh.Rule) (mesh.Rule, bool) {
	path := normalizePath(r.PathPrefix)
	if path == "/" {
		return mesh.Rule{}, false
	}
	return i[normalizeHostName(r.HostName)].longestPrefix(parentPath(path))
}

// RulesNotIn returns the rules of i for whose host name and path prefix other has
// no rule, sorted by ID.
func (i Index) RulesNotIn(other Index) []mesh.Rule {
	var missing []mesh.Rule
	for hostName, rules := range i {
		for path, r := range rules {
			if _, found := other[hostName][path]; !found {
				missing = append(missing, r)
			}
		}
	}
	slices.SortFunc(missing, func(a, b mesh.Rule) int { return cmp.Compare(a.ID, b.ID) })
	return missing
}
