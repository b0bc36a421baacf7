package session_test

import (
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/front/operator"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// TestRequestsTurnedAway tells what the API says to requests that it does not
// take in, and to those that are no changes.
func TestRequestsTurnedAway(t *testing.T) {
	s := newStory(t, "fes-1")
	n := s.nodes[0]
	text := s.play(func() {
		s.chapter("Who asks, and how")
		s.get("nobody", n, "status")
		s.post("nadia", n, "proposals", "no object")
		s.post("nadia", n, "proposals", map[string]any{"id": "p", "edit": nil})
		s.post("nadia", n, "proposals", proposal{ID: "../p", Edits: inventory()})
		s.post("nadia", n, "proposals", proposal{ID: "p", Edits: inventory(), Reason: strings.Repeat("x", 1025)})
		s.post("nadia", n, "proposals", proposal{ID: "p", Edits: addHost(mesh.HostID(strings.Repeat("x", 1<<20)), "desk")})
		s.post("nadia", n, "proposals", proposal{ID: "p", Edits: inventory(), Reason: strings.Repeat("x", 5<<20)})
		s.post("samir", n, "proposals", proposal{ID: "p", Edits: inventory()})
		s.post("nadia", n, "proposals", operator.ProposeRequest{ID: "p", Base: 3})
		s.get("samir", n, "proposals/p")
		s.get("samir", n, "records/p")

		s.chapter("A watch is held until something changes, or for its longest time")
		watch := s.send("samir", n, "GET", "/v1/watch?after=0", nil)
		s.told(watch)
		s.post("nadia", n, "proposals", proposal{ID: "p", Edits: inventory()})
		s.told(watch)
		quiet := s.send("samir", n, "GET", "/v1/watch?after=1", nil)
		time.Sleep(31 * time.Second) // the bubble's time, in which the request is held
		s.told(quiet)

		s.chapter("Drains: an operator's, at the host's own node")
		s.post("samir", n, "drain", operator.DrainRequest{Host: "fes-1"})
		s.post("nadia", n, "drain", operator.DrainRequest{Host: "fes-2"})
		s.post("nadia", n, "drain", operator.DrainRequest{Host: "fes-1"})
		s.post("nadia", n, "drain", operator.DrainRequest{Host: "fes-1"})
		must.True(t, n.tables.Drain.Load().Draining)
		s.post("nadia", n, "undrain", operator.DrainRequest{Host: "fes-1"})
		must.False(t, n.tables.Drain.Load().Draining)
	})
	goldie.New(t, goldie.WithNameSuffix(".txt")).Assert(t, "turned_away", []byte(text))
}
