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

// TestRejectedRequests guards the API's responses to invalid and unauthorized
// requests, and its watch and drain requests. It compares the transcript with a
// golden file.
func TestRejectedRequests(t *testing.T) {
	s := newTranscript(t, "fes-1")
	n := s.nodes[0]
	text := s.run(func() {
		s.section("Who asks, and how")
		s.get("nobody", n, "status")
		s.post("nadia", n, "proposals", "no object")
		s.post("nadia", n, "proposals", map[string]any{"id": "p", "edit": nil})
		s.post("nadia", n, "proposals", proposal{ID: "../p", Edits: initialEdits()})
		s.post("nadia", n, "proposals", proposal{ID: "p", Edits: initialEdits(), Reason: strings.Repeat("x", 1025)})
		s.post("nadia", n, "proposals", proposal{ID: "p", Edits: addHost(mesh.HostID(strings.Repeat("x", 1<<20)), "desk")})
		s.post("nadia", n, "proposals", proposal{ID: "p", Edits: initialEdits(), Reason: strings.Repeat("x", 5<<20)})
		s.post("samir", n, "proposals", proposal{ID: "p", Edits: initialEdits()})
		s.post("nadia", n, "proposals", operator.ProposeRequest{ID: "p", Base: 3})
		s.get("samir", n, "proposals/p")
		s.get("samir", n, "records/p")

		s.section("A watch is held until something changes, or for its longest time")
		watch := s.send("samir", n, "GET", "/v1/watch?after=0", nil)
		s.printResponse(watch)
		s.post("nadia", n, "proposals", proposal{ID: "p", Edits: initialEdits()})
		s.printResponse(watch)
		quiet := s.send("samir", n, "GET", "/v1/watch?after=1", nil)
		time.Sleep(31 * time.Second) // time of the synctest bubble, in which the watch times out
		s.printResponse(quiet)

		s.section("Drains: an operator's, at the host's own node")
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
