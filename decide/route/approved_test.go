package route_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

func approved(id, prefix string) mesh.Route {
	return mesh.Route{Rule: mesh.Rule{
		ID: id, HostName: "Shop.example", PathPrefix: prefix, Service: "desk", Class: mesh.Lookup, DeadlineMillis: 400,
	}}
}

func TestApprovedPrefixesMatchByteForByte(t *testing.T) {
	table, faults := route.CompileApproved(mesh.Approved{Version: 9, Routes: []mesh.Route{
		approved("short", "/a/"), approved("long", "/a/b/"),
	}})
	must.SliceEmpty(t, faults)
	must.Eq(t, 9, table.Version)
	must.True(t, table.Admits("any host", "desk"))
	for path, want := range map[string]string{
		"/a/": "short", "/a/x": "short", "/a/b": "short", "/a/b/": "long", "/a/b/c/d": "long", "/a//b/": "short",
		"/a": "", "/": "", "": "", "/b/a/": "", "//a/": "",
	} {
		found, ok := table.Match("shop.example:8080", path)
		must.Eq(t, want != "", ok, must.Sprint(path))
		must.Eq(t, want, found.ID, must.Sprint(path))
	}
	_, ok := table.Match("other.example", "/a/")
	must.False(t, ok)
}

// One fault rejects the whole configuration.
func TestApprovedConfigurationIsCheckedWhole(t *testing.T) {
	noService := approved("no service", "/s/")
	noService.Service = ""
	noWeight := approved("no weight", "/w/")
	noWeight.Split = []mesh.Share{{Service: "desk"}}
	negative := approved("negative", "/n/")
	negative.Split = []mesh.Share{{Service: "desk", Weight: 2}, {Service: "desk", Weight: -1}}
	noTimeout := approved("no timeout", "/t/")
	noTimeout.DeadlineMillis = 0
	noHost := approved("no host", "/h/")
	noHost.HostName = ""
	noClass := approved("no class", "/c/")
	noClass.Class = "fast"
	for _, bad := range []mesh.Route{noService, noWeight, negative, noTimeout, noHost, noClass, approved("open", "/o"), approved("twice", "/a/")} {
		table, faults := route.CompileApproved(mesh.Approved{Version: 9, Routes: []mesh.Route{approved("good", "/a/"), bad}})
		must.Nil(t, table, must.Sprint(bad.ID))
		must.Len(t, 1, faults, must.Sprint(bad.ID))
	}
}
