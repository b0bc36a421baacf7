package route

import (
	"strings"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// literalIndex has the routes of approved configuration by host name and path
// prefix. Every prefix ends with a slash.
type literalIndex map[string]literalRoutes

type literalRoutes map[string]mesh.Route

// CompileApproved returns the table of approved configuration, or every fault:
// it is put in force whole or not at all.
func CompileApproved(a mesh.Approved) (*Table, Faults) {
	var l faultList
	index := make(literalIndex)
	for _, r := range a.Routes {
		l.where = "route " + r.ID
		l.approved(r)
		name := normalHostName(r.HostName)
		if index[name] == nil {
			index[name] = make(literalRoutes)
		}
		if other, taken := index[name][r.PathPrefix]; taken {
			l.add("matches the same requests as route %s", other.ID)
		}
		index[name][r.PathPrefix] = r
	}
	if len(l.faults) > 0 {
		return nil, l.faults
	}
	return &Table{
		Version: a.Version, Limits: a.Limits, Connections: a.Connections, literal: index,
	}, nil
}

// approved checks one route of approved configuration.
func (l *faultList) approved(r mesh.Route) {
	if r.HostName == "" {
		l.add("names no host name")
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		l.add("path prefix %q does not begin and end with /", r.PathPrefix)
	}
	if r.Service == "" && len(r.Split) == 0 {
		l.add("names no service")
	}
	total := 0
	for _, share := range r.Split {
		if share.Weight < 0 || share.Service == "" {
			l.add("has a share without service or with a negative weight")
		}
		total += share.Weight
	}
	if len(r.Split) > 0 && total == 0 {
		l.add("has shares without any weight")
	}
	if !r.Class.Valid() {
		l.add("unknown class: %q", r.Class)
	}
	if r.DeadlineMillis < 1 {
		l.add("timeout %d ms is not positive", r.DeadlineMillis)
	}
}

// longest returns the route with the longest prefix that begins the path, byte
// for byte.
func (routes literalRoutes) longest(path string) (mesh.Route, bool) {
	if len(routes) == 0 {
		return mesh.Route{}, false
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, found := routes[path[:end+1]]; found {
			return r, true
		}
	}
	return mesh.Route{}, false
}
