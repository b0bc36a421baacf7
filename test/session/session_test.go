package session_test

import (
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/marigoldshelf/marigoldshelf/eventlog/standin"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// proposal is the body of a request to propose a change.
type proposal struct {
	ID     string       `json:"id"`
	Base   mesh.Version `json:"base"`
	Edits  mesh.Edits   `json:"edits"`
	Reason string       `json:"reason,omitempty"`
}

// decision is the body of a request to approve, veto, release or withhold a
// proposal.
type decision struct {
	ID     string `json:"id,omitempty"`
	Digest string `json:"digest,omitempty"`
	Reason string `json:"reason,omitempty"`
}

func initialEdits() mesh.Edits {
	return mesh.Edits{
		PutServices: []mesh.Service{{Name: "desk", Customer: "menders"}, {Name: "store", Customer: "stickers"}},
		PutHosts: []mesh.Host{{ID: "fes-1", Zone: "fes", Service: "desk"}, {ID: "oslo-1", Zone: "oslo", Service: "store"},
			{ID: "oslo-2", Zone: "oslo", Service: "store"}},
		PutRules: []mesh.Rule{
			{ID: "book", HostName: "desk.example", PathPrefix: "/book", Service: "desk", Class: mesh.Booking, DeadlineMillis: 5000},
			{ID: "buy", HostName: "store.example", PathPrefix: "/", Service: "store", Class: mesh.Lookup, DeadlineMillis: 2000},
		},
	}
}

func addHost(id mesh.HostID, s mesh.ServiceName) mesh.Edits {
	return mesh.Edits{PutHosts: []mesh.Host{{ID: id, Zone: "fes", Service: s}}}
}

// TestSession guards the responses of the API and the nodes' states from the first
// version on: approved releases, concurrent releases, vetoes, lost responses,
// outages and an invalid configuration, at two nodes. It compares the transcript
// with a golden file.
func TestSession(t *testing.T) {
	s := newTranscript(t, "fes-1", "meknes-1")
	a, b := s.nodes[0], s.nodes[1]
	text := s.run(func() {
		s.section("The first version: both customers concerned approve")
		s.post("nadia", a, "proposals", proposal{ID: "first", Edits: initialEdits(), Reason: "the register of June"})
		s.get("samir", b, "proposals/first/diff")
		s.post("samir", b, "proposals/first/approve", decision{ID: "first-menders", Digest: s.digest(b, "first")})
		s.post("nadia", a, "proposals/first/release", decision{ID: "first-early"})
		s.post("nadia", a, "proposals/first/approve", decision{ID: "first-own", Digest: s.digest(a, "first")})
		s.post("liv", a, "proposals/first/approve", decision{ID: "first-wrong", Digest: "0"})
		s.post("liv", a, "proposals/first/approve", decision{ID: "first-stickers", Digest: s.digest(a, "first")})
		s.post("omar", b, "proposals/first/release", decision{ID: "first-release"})
		s.printVersions()

		s.section("Two operators race: the first release in the log wins")
		base := a.tables.Changes.Load().Version
		s.post("nadia", a, "proposals", proposal{ID: "race-n", Base: base, Edits: addHost("fes-2", "desk")})
		s.post("omar", b, "proposals", proposal{ID: "race-o", Base: base, Edits: addHost("fes-3", "desk")})
		s.post("samir", a, "proposals/race-n/approve", decision{ID: "race-n-yes", Digest: s.digest(a, "race-n")})
		s.post("samir", a, "proposals/race-o/approve", decision{ID: "race-o-yes", Digest: s.digest(a, "race-o")})
		s.post("omar", b, "proposals/race-o/release", decision{ID: "race-o-go"})
		s.post("nadia", a, "proposals/race-n/release", decision{ID: "race-n-go"})
		s.post("nadia", a, "proposals", proposal{ID: "race-late", Base: base, Edits: addHost("fes-2", "desk")})
		s.printVersions()

		s.section("A veto whose answer is lost stands before the release")
		base = a.tables.Changes.Load().Version
		s.post("nadia", a, "proposals", proposal{ID: "risky", Base: base, Edits: addHost("oslo-1", "desk"), Reason: "oslo-1 to the desk"})
		s.get("liv", b, "proposals/risky/diff")
		digest := s.digest(a, "risky")
		s.post("samir", a, "proposals/risky/approve", decision{ID: "risky-menders", Digest: digest})
		s.post("liv", a, "proposals/risky/approve", decision{ID: "risky-stickers", Digest: digest})
		a.readsBlocked, b.readsBlocked = true, true
		s.store.SetFaults(standin.Faults{LoseResponses: true})
		s.printf("the platform loses its answers, and the nodes read nothing")
		veto := s.send("liv", b, "POST", "/v1/proposals/risky/veto", decision{ID: "risky-veto", Digest: digest, Reason: "not before the final"})
		release := s.send("nadia", a, "POST", "/v1/proposals/risky/release", decision{ID: "risky-go"})
		s.printResponse(veto)
		s.printResponse(release)
		s.advance(6 * time.Second)
		s.printResponse(veto)
		s.printResponse(release)
		s.get("nadia", a, "records/risky-go")
		a.readsBlocked, b.readsBlocked = false, false
		s.store.SetFaults(standin.Faults{})
		s.printf("the platform works again")
		s.advance(time.Second)
		s.get("nadia", a, "records/risky-go")
		s.post("liv", a, "proposals/risky/veto", decision{ID: "risky-veto", Digest: digest, Reason: "not before the final"})
		s.printVersions()

		s.section("A veto after the release changes nothing")
		s.post("nadia", a, "proposals", proposal{ID: "late", Base: a.tables.Changes.Load().Version, Edits: addHost("fes-4", "desk")})
		s.post("samir", a, "proposals/late/approve", decision{ID: "late-yes", Digest: s.digest(a, "late")})
		s.post("nadia", a, "proposals/late/release", decision{ID: "late-go"})
		s.post("samir", b, "proposals/late/veto", decision{ID: "late-no", Digest: s.digest(b, "late"), Reason: "too late"})
		s.printVersions()

		s.section("The platform is down, then back; one ID at two nodes counts once")
		base = a.tables.Changes.Load().Version
		s.store.SetFaults(standin.Faults{Down: true})
		s.printf("the platform is down")
		change := proposal{ID: "twice", Base: base, Edits: addHost("fes-5", "desk")}
		one := s.send("nadia", a, "POST", "/v1/proposals", change)
		same := s.send("nadia", a, "POST", "/v1/proposals", change)
		s.advance(2 * time.Second)
		s.printResponse(one)
		s.store.SetFaults(standin.Faults{})
		s.printf("the platform works again")
		s.advance(time.Second)
		s.printResponse(one)
		s.printResponse(same)
		s.post("nadia", b, "proposals", change)
		s.post("omar", b, "proposals", proposal{ID: "twice", Base: base, Edits: addHost("fes-6", "desk")})
		s.post("nadia", a, "proposals/twice/withhold", decision{ID: "twice-no", Reason: "proposed too early"})

		s.section("The platform refuses for certain: nothing is in the log")
		s.refuseAppends = true
		s.printf("the platform refuses appends")
		refused := s.send("nadia", a, "POST", "/v1/proposals", proposal{ID: "refused", Base: base, Edits: addHost("fes-7", "desk")})
		s.advance(6 * time.Second)
		s.printResponse(refused)
		s.refuseAppends = false
		s.printf("the platform works again")

		s.section("A bad version is refused whole, before it reaches the log")
		s.post("omar", b, "proposals", proposal{ID: "bad", Base: base, Edits: mesh.Edits{
			PutHosts:       []mesh.Host{{ID: "fes-8", Zone: "fes", Service: "gone"}},
			PutRules:       []mesh.Rule{{ID: "again", HostName: "Desk.example.", PathPrefix: "/book/", Service: "desk", Class: "fast"}},
			DeleteServices: []mesh.ServiceName{"store"},
		}})
		s.printVersions()

		s.section("What both nodes remember")
		s.printProposals(a)
		s.printf("the nodes' states are the same: %t",
			string(mustMarshal(t, a.tables.Changes.Load())) == string(mustMarshal(t, b.tables.Changes.Load())))
	})
	goldie.New(t, goldie.WithNameSuffix(".txt")).Assert(t, "session", []byte(text))
}
