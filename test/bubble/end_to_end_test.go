package bubble_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/test/bubble"
)

// newTwoZoneFleet returns a fleet of two zones with two hosts each, all of the
// service desk, without a configuration.
func newTwoZoneFleet(t *testing.T) *bubble.Fleet {
	t.Helper()
	f := bubble.NewFleet(t)
	f.Add("fes-1", "fes", "desk")
	f.Add("fes-2", "fes", "desk")
	f.Add("meknes-1", "meknes", "desk")
	f.Add("meknes-2", "meknes", "desk")
	return f
}

// allHosts lists the hosts of newTwoZoneFleet.
var allHosts = []mesh.HostID{"fes-1", "fes-2", "meknes-1", "meknes-2"}

func lookup(run string) bubble.Request {
	return bubble.Request{Method: "GET", HostName: "desk.example", Path: "/lookup/" + run, RunID: run}
}

// TestReleaseAndCall releases a first configuration and checks that it gets in
// force at every node, that each node answers callers, and that a host name
// without a rule gets status 404.
func TestReleaseAndCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTwoZoneFleet(t)
		defer f.Close()
		version := f.Release("fes-1", "first", 0, 5*time.Second)
		f.AwaitVersion(version, allHosts...)
		for _, id := range allHosts {
			f.Eventually("status 200 through "+string(id), func() bool {
				return f.Call(id, lookup("at-"+string(id))).Status == 200
			})
		}
		must.Eq(t, 404, f.Call("fes-1", bubble.Request{Method: "GET", HostName: "other.example", Path: "/"}).Status)
	})
}
