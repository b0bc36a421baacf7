package change_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// testLog applies records to a state at consecutive offsets.
type testLog struct {
	t          *testing.T
	state      change.State
	nextOffset uint64
}

func newTestLog(t *testing.T) *testLog { return &testLog{t: t, nextOffset: 1} }

func (l *testLog) add(r change.Record) change.Outcome {
	var o change.Outcome
	l.state, o = l.state.Apply(l.nextOffset, r)
	l.nextOffset++
	return o
}

func (l *testLog) propose(id string, e mesh.Edits) change.Outcome {
	return l.add(change.Record{ID: id, Kind: change.Propose, Proposal: id, Author: operator, Base: l.state.Version, Edits: &e})
}

func (l *testLog) decide(kind change.Kind, author change.Principal, proposal string) change.Outcome {
	return l.add(change.Record{ID: fmt.Sprintf("answer-%d", l.nextOffset), Kind: kind, Author: author, Proposal: proposal,
		Digest: l.state.Proposals[proposal].Digest})
}

// release proposes edits, approves them as each of the customers and releases
// them. It returns the new version.
func (l *testLog) release(id string, e mesh.Edits, approvers ...change.Principal) mesh.Version {
	l.t.Helper()
	must.True(l.t, l.propose(id, e).Accepted)
	for _, customer := range approvers {
		must.True(l.t, l.decide(change.Approve, customer, id).Accepted)
	}
	o := l.decide(change.Release, operator, id)
	must.True(l.t, o.Accepted, must.Sprint(o))
	return o.Version
}

var (
	operator  = change.Principal{Name: "nadia", Role: change.Operator}
	menders   = change.Principal{Name: "samir", Role: change.CustomerRole, Customer: "menders"}
	stickers  = change.Principal{Name: "liv", Role: change.CustomerRole, Customer: "stickers"}
	strangers = change.Principal{Name: "eve", Role: change.CustomerRole, Customer: "strangers"}
)

func rule(id, prefix string, s mesh.ServiceName) mesh.Rule {
	return mesh.Rule{ID: id, HostName: "shop.example", PathPrefix: prefix, Service: s, Class: mesh.Lookup, DeadlineMillis: 1000}
}

func host(id mesh.HostID, s mesh.ServiceName) mesh.Host {
	return mesh.Host{ID: id, Zone: "z", Service: s}
}

// twoCustomers returns an inventory of two customers with one rule each.
func twoCustomers() mesh.Edits {
	return mesh.Edits{
		PutServices: []mesh.Service{{Name: "desk", Customer: "menders"}, {Name: "store", Customer: "stickers"}},
		PutHosts:    []mesh.Host{host("h1", "desk"), host("h2", "store"), host("h3", "store")},
		PutRules:    []mesh.Rule{rule("desk", "/desk", "desk"), rule("store", "/", "store")},
	}
}

func TestEveryCustomerConcernedMustApprove(t *testing.T) {
	l := newTestLog(t)
	l.release("first", twoCustomers(), menders, stickers)
	must.True(t, l.propose("move", mesh.Edits{PutHosts: []mesh.Host{host("h2", "desk")}}).Accepted)
	must.Eq(t, []mesh.Customer{"menders", "stickers"}, l.state.Proposals["move"].RequiredApprovers)
	must.Eq(t, change.NotConcerned, l.decide(change.Approve, strangers, "move").Refusal)
	must.Eq(t, change.WrongRole, l.decide(change.Approve, operator, "move").Refusal)
	must.Eq(t, change.WrongRole, l.decide(change.Release, menders, "move").Refusal)
	must.True(t, l.decide(change.Approve, menders, "move").Accepted)
	o := l.decide(change.Release, operator, "move")
	must.Eq(t, change.ApprovalMissing, o.Refusal)
	must.Eq(t, "not approved by stickers", o.Detail)
	must.Eq(t, change.WrongDigest, l.add(change.Record{ID: "blind", Kind: change.Approve, Author: stickers, Proposal: "move",
		Digest: change.Digest(l.state.Version, mesh.Edits{})}).Refusal)
	must.True(t, l.decide(change.Approve, stickers, "move").Accepted)
	must.True(t, l.decide(change.Release, operator, "move").Accepted)
	must.Eq(t, "desk", l.state.Config.Hosts["h2"].Service)
}

func TestConcernedCustomers(t *testing.T) {
	before := mesh.Config{}.Apply(twoCustomers())
	both := []mesh.Customer{"menders", "stickers"}
	for name, c := range map[string]struct {
		edits mesh.Edits
		want  []mesh.Customer
	}{
		"own host":       {mesh.Edits{PutHosts: []mesh.Host{host("h4", "desk")}}, []mesh.Customer{"menders"}},
		"deleted host":   {mesh.Edits{DeleteHosts: []mesh.HostID{"h3"}}, []mesh.Customer{"stickers"}},
		"moved host":     {mesh.Edits{PutHosts: []mesh.Host{host("h3", "desk")}}, both},
		"moved service":  {mesh.Edits{PutServices: []mesh.Service{{Name: "desk", Customer: "stickers"}}}, both},
		"moved rule":     {mesh.Edits{PutRules: []mesh.Rule{rule("desk", "/desk", "store")}}, both},
		"same again":     {mesh.Edits{PutHosts: []mesh.Host{host("h1", "desk")}}, nil},
		"taken requests": {mesh.Edits{PutRules: []mesh.Rule{rule("new", "/desk/cup", "store")}}, both},
		"freed requests": {mesh.Edits{DeleteRules: []string{"desk"}}, both},
		"other deadline": {mesh.Edits{PutRules: []mesh.Rule{{ID: "desk", HostName: "shop.example", PathPrefix: "/desk/",
			Service: "desk", Class: mesh.Lookup, DeadlineMillis: 9}}}, []mesh.Customer{"menders"}},
	} {
		must.Eq(t, c.want, change.ConcernedCustomers(before, before.Apply(c.edits)), must.Sprint(name))
	}
}

// Both proposals are approved on the same base. The second release would undo the
// first if its base were not checked.
func TestFirstOfTwoRacingReleasesWins(t *testing.T) {
	l := newTestLog(t)
	l.release("first", twoCustomers(), menders, stickers)
	must.True(t, l.propose("a", mesh.Edits{PutHosts: []mesh.Host{host("a", "desk")}}).Accepted)
	must.True(t, l.propose("b", mesh.Edits{PutHosts: []mesh.Host{host("b", "desk")}}).Accepted)
	must.True(t, l.decide(change.Approve, menders, "a").Accepted)
	must.True(t, l.decide(change.Approve, menders, "b").Accepted)
	won := l.decide(change.Release, operator, "b")
	lost := l.decide(change.Release, operator, "a")
	must.True(t, won.Accepted)
	must.Eq(t, change.NotOpen, lost.Refusal)
	must.Eq(t, fmt.Sprintf("version %d was released first; make the change anew from it", won.Version), lost.Detail)
	must.Eq(t, won.Version, l.state.Version)
	must.MapNotContainsKey(t, l.state.Config.Hosts, "a")
}

// A veto and a release can race. Their order in the log decides: a veto after the
// release must leave the released configuration in force.
func TestVetoHasEffectOnlyBeforeRelease(t *testing.T) {
	l := newTestLog(t)
	l.release("first", twoCustomers(), menders, stickers)
	edit := mesh.Edits{PutHosts: []mesh.Host{host("a", "desk")}}
	must.True(t, l.propose("a", edit).Accepted)
	must.True(t, l.decide(change.Approve, menders, "a").Accepted)
	must.True(t, l.decide(change.Veto, menders, "a").Accepted)
	must.Eq(t, change.NotOpen, l.decide(change.Release, operator, "a").Refusal)
	version := l.release("again", edit, menders)
	late := l.decide(change.Veto, menders, "again")
	must.Eq(t, change.AlreadyReleased, late.Refusal)
	must.Eq(t, version, late.Version)
	must.MapContainsKey(t, l.state.Config.Hosts, "a")
	must.True(t, l.state.Proposals["again"].Decisions[2].Late)
}

func TestInvalidProposalIsRefusedWithEveryFault(t *testing.T) {
	l := newTestLog(t)
	l.release("first", twoCustomers(), menders, stickers)
	before := l.state.Config
	o := l.propose("bad", mesh.Edits{
		PutHosts: []mesh.Host{host("good", "desk"), host("lost", "gone")}, DeleteHosts: []mesh.HostID{"h1", "h2", "h3"},
		DeleteServices: []mesh.ServiceName{"store"},
	})
	must.Eq(t, change.BadConfiguration, o.Refusal)
	must.Len(t, 2, o.Faults) // a host and a rule name services that do not exist
	must.Eq(t, before, l.state.Config)
	twice := mesh.Edits{PutHosts: []mesh.Host{host("h1", "desk")}, DeleteHosts: []mesh.HostID{"h1"}}
	must.Eq(t, change.BadEdits, l.propose("twice", twice).Refusal)
	must.Eq(t, change.EmptyChange, l.propose("same", mesh.Edits{PutHosts: []mesh.Host{host("h1", "desk")}}).Refusal)
}

// A record is appended again when the reply to the first append was lost. The
// repeat must return the first outcome and not reopen a closed proposal.
func TestRepeatedRecordIsAppliedOnce(t *testing.T) {
	l := newTestLog(t)
	l.release("first", twoCustomers(), menders, stickers)
	r := change.Record{ID: "p", Kind: change.Propose, Proposal: "p", Author: operator, Base: l.state.Version,
		Edits: &mesh.Edits{PutHosts: []mesh.Host{host("a", "desk")}}}
	first := l.add(r)
	must.True(t, l.decide(change.Withhold, operator, "p").Accepted)
	r.AtMillis++ // accepted again by another node
	must.Eq(t, first, l.add(r))
	must.Eq(t, change.Withheld, l.state.Proposals["p"].Status)
	r.Reason = "another request"
	must.Eq(t, change.IDReused, l.add(r).Refusal)
	unchanged, o := l.state.Apply(2, r) // an offset that was applied earlier
	must.Eq(t, change.IDReused, o.Refusal)
	must.Eq(t, l.state, unchanged)
}

// The IDs seen, the open and the closed proposals must stay within their bounds
// over more records than two windows of IDs hold.
func TestStateIsBounded(t *testing.T) {
	l := newTestLog(t)
	l.release("first", twoCustomers(), menders, stickers)
	l.nextOffset--
	fold := change.NewFold(l.state) // copies the maps once, not for each record
	add := func(kind change.Kind, id, proposal string) change.Outcome {
		l.nextOffset++
		r := change.Record{ID: id, Kind: kind, Author: operator, Proposal: proposal, Base: l.state.Version}
		if kind == change.Propose {
			r.Edits = &mesh.Edits{PutHosts: []mesh.Host{host("a", "desk")}}
		}
		return fold.Apply(l.nextOffset, r)
	}
	for i := range 2 * change.SeenWindowOffsets {
		id := fmt.Sprintf("p%d", i)
		must.True(t, add(change.Propose, id, id).Accepted)
		must.True(t, add(change.Withhold, "w"+id, id).Accepted)
	}
	for i := range change.MaxOpenProposals {
		id := fmt.Sprintf("open%d", i)
		must.True(t, add(change.Propose, id, id).Accepted)
	}
	must.Eq(t, change.TooManyOpen, add(change.Propose, "more", "more").Refusal)
	must.Eq(t, change.Malformed, add(change.Propose, strings.Repeat("x", 65), "x").Refusal)
	state := fold.State()
	must.LessEq(t, 2*change.SeenWindowOffsets, len(state.Seen)+len(state.PreviousSeen))
	must.Eq(t, change.MaxClosedProposals+change.MaxOpenProposals, len(state.Proposals))
	for i := 2*change.SeenWindowOffsets - (change.SeenWindowOffsets-change.MaxOpenProposals)/2; i < 2*change.SeenWindowOffsets; i++ {
		_, found := state.FindSeen(fmt.Sprintf("p%d", i)) // applied less than SeenWindowOffsets offsets ago
		must.True(t, found)
	}
}
