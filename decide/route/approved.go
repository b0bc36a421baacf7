package route

import (
	"strings"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// literalIndex has the routes of approved configuration by normalized host
// name.
type literalIndex map[string]literalRoutes

// literalRoutes has the routes of one host name by path prefix, as written in
// the approved configuration. Every prefix ends with a slash.
type literalRoutes map[string]mesh.Route

// CompileApproved returns the table of approved configuration, or nil and every
// fault. A configuration with any fault is rejected as a whole.
func CompileApproved(a mesh.ApprovedConfig) (*Table, Faults) {
	var l faultList
	index := make(literalIndex)
	for _, r := range a.Routes {
		l.entry = "route " + r.ID
		l.checkApproved(r)
		hostName := normalizeHostName(r.HostName)
		if index[hostName] == nil {
			index[hostName] = make(literalRoutes)
		}
		if other, exists := index[hostName][r.PathPrefix]; exists {
			l.addField("path_prefix", "matches the same requests as route %s", other.ID)
		}
		index[hostName][r.PathPrefix] = r
	}
	accounts := l.indexAccounts(a.Accounts)
	if len(l.faults) > 0 {
		return nil, l.faults
	}
	return &Table{
		Version: a.Version, Limits: a.Limits, Connections: a.MaxConnections, HealthPaths: a.HealthPaths, literal: index,
		accounts: accounts,
	}, nil
}

// checkApproved checks one route of approved configuration.
func (l *faultList) checkApproved(r mesh.Route) {
	if r.HostName == "" {
		l.addField("host_name", "has no host name")
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		l.addField("path_prefix", "path prefix %q does not begin and end with /", r.PathPrefix)
	}
	if r.Unreadable != "" {
		return // only its match is known
	}
	if r.Service == "" && len(r.Split) == 0 {
		l.addField("service", "has no service")
	}
	totalWeight := 0
	for _, share := range r.Split {
		if share.Weight < 0 || share.Service == "" {
			l.addField("split", "has a share without a service or with a negative weight")
		}
		totalWeight += share.Weight
	}
	if len(r.Split) > 0 && totalWeight == 0 {
		l.addField("split", "has shares with a total weight of zero")
	}
	if !r.Class.Valid() {
		l.addField("class", "unknown class: %q", r.Class)
	}
	if r.DeadlineMillis < 1 {
		l.addField("deadline", "timeout %d ms is not positive", r.DeadlineMillis)
	}
}

// longestPrefix returns the route with the longest prefix of path, compared byte
// for byte.
func (routes literalRoutes) longestPrefix(path string) (mesh.Route, bool) {
	if len(routes) == 0 {
		return mesh.Route{}, false
	}
	for slash := strings.LastIndexByte(path, '/'); slash >= 0; slash = strings.LastIndexByte(path[:slash], '/') {
		if r, found := routes[path[:slash+1]]; found {
			return r, true
		}
	}
	return mesh.Route{}, false
}
