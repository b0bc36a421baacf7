package bubble_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/test/bubble"
)

// pair is a fleet of two zones with two hosts of the desk each.
func pair(t *testing.T) *bubble.Fleet {
	t.Helper()
	f := bubble.NewFleet(t)
	f.Add("fes-1", "fes", "desk")
	f.Add("fes-2", "fes", "desk")
	f.Add("meknes-1", "meknes", "desk")
	f.Add("meknes-2", "meknes", "desk")
	return f
}

// everyone is the hosts of pair.
var everyone = []mesh.HostID{"fes-1", "fes-2", "meknes-1", "meknes-2"}

func lookup(run string) bubble.Request {
	return bubble.Request{Method: "GET", HostName: "desk.example", Path: "/lookup/" + run, Run: run}
}

func TestPathInABubble(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := pair(t)
		defer f.Close()
		version := f.Release("fes-1", "first", 0, 5*time.Second)
		f.AwaitVersion(version, everyone...)
		for _, id := range everyone {
			f.Eventually("an answer through "+string(id), func() bool {
				return f.Call(id, lookup("at-"+string(id))).Status == 200
			})
		}
		must.Eq(t, 404, f.Call("fes-1", bubble.Request{Method: "GET", HostName: "other.example", Path: "/"}).Status)
	})
}
