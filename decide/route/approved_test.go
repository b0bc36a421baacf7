package route_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

func approvedRoute(id, prefix string) mesh.Route {
	return mesh.Route{Rule: mesh.Rule{
		ID: id, HostName: "Shop.example", PathPrefix: prefix, Service: "desk", Class: mesh.Lookup, DeadlineMillis: 400,
	}}
}

// Approved configuration defines its prefixes over the path as received. Matching
// them on the normalized path would send /a/b or /a//b/ to another route.
func TestApprovedPrefixesMatchByteForByte(t *testing.T) {
	table, faults := route.CompileApproved(mesh.ApprovedConfig{Version: 9, Routes: []mesh.Route{
		approvedRoute("short", "/a/"), approvedRoute("long", "/a/b/"), approvedRoute("escaped", "/caf%C3%A9/"),
	}})
	must.SliceEmpty(t, faults)
	must.Eq(t, 9, table.Version)
	must.True(t, table.AllowsHost("any host", "desk"))
	for path, want := range map[string]string{
		"/a/": "short", "/a/x": "short", "/a/b": "short", "/a/b/": "long", "/a/b/c/d": "long", "/a//b/": "short",
		"/a": "", "/": "", "": "", "/b/a/": "", "//a/": "",
		"/a/b%2Fc": "short", "/a%2Fb/": "", "/caf%C3%A9/x": "escaped", "/caf%c3%a9/x": "", "/café/x": "",
	} {
		found, ok := table.Match("shop.example:8080", path)
		must.Eq(t, want != "", ok, must.Sprint(path))
		must.Eq(t, want, found.ID, must.Sprint(path))
	}
	_, ok := table.Match("other.example", "/a/")
	must.False(t, ok)
}

// A table of only the faultless routes would be a configuration that nobody
// approved, so one fault rejects all of it.
func TestCompileApprovedRejectsAnyFault(t *testing.T) {
	noService := approvedRoute("no service", "/s/")
	noService.Service = ""
	noWeight := approvedRoute("no weight", "/w/")
	noWeight.Split = []mesh.WeightedService{{Service: "desk"}}
	negative := approvedRoute("negative", "/n/")
	negative.Split = []mesh.WeightedService{{Service: "desk", Weight: 2}, {Service: "desk", Weight: -1}}
	noTimeout := approvedRoute("no timeout", "/t/")
	noTimeout.DeadlineMillis = 0
	noHost := approvedRoute("no host", "/h/")
	noHost.HostName = ""
	noClass := approvedRoute("no class", "/c/")
	noClass.Class = "fast"
	for _, bad := range []mesh.Route{noService, noWeight, negative, noTimeout, noHost, noClass, approvedRoute("open", "/o"), approvedRoute("twice", "/a/")} {
		table, faults := route.CompileApproved(mesh.ApprovedConfig{Version: 9, Routes: []mesh.Route{approvedRoute("good", "/a/"), bad}})
		must.Nil(t, table, must.Sprint(bad.ID))
		must.Len(t, 1, faults, must.Sprint(bad.ID))
	}
}
