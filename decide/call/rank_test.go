package call_test

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/call"
	"github.com/marigoldshelf/marigoldshelf/decide/choose"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// ownPriority is that of the route of the calls.
const ownPriority = 5

// runningService returns a service whose requests are calls of the own backend
// server, which runs the given requests.
func runningService(t *testing.T, running ...call.RunningRequest) *service {
	t.Helper()
	s := rankedService(t, mesh.Lookup, 2, ownPriority)
	state := call.RouteState{NestedRatio: 1}
	s.environment.Route = func(string) *call.RouteState { return &state }
	s.environment.Running = slices.Values(running)
	s.environment.RanksCalls = true
	return s
}

func (s *service) beginWithDeadline(deadline time.Time, key mesh.KeyHash) call.Call {
	r := call.Request{HostName: "h", Path: "/x", Arrived: arrivedAt, Deadline: deadline, BodyBuffered: true, Key: key}
	return call.Begin(arrivedAt, r, s.environment)
}

// Deployment A: fare calls of pickups compete with deposits for the slots of
// payments. Guards against a call that is ranked by its own route, behind new work
// of lower rank than the request that waits for it.
func TestCallTakesOverTheBestRankOfTheRequestsWithItsDeadline(t *testing.T) {
	deadline := arrivedAt.Add(900 * time.Millisecond)
	s := runningService(t,
		call.RunningRequest{Deadline: deadline.Add(500 * time.Millisecond)},
		call.RunningRequest{Deadline: deadline.Add(2 * time.Millisecond), AccountPriority: 2, Priority: 1},
		call.RunningRequest{Deadline: deadline.Add(-time.Millisecond), AccountPriority: 1, Priority: 3},
		call.RunningRequest{Deadline: deadline, AccountPriority: 1, Priority: 4},
	)
	c := s.beginWithDeadline(deadline, mesh.KeyHash{})
	must.True(t, c.Nested)
	must.Eq(t, 1, c.AccountPriority)
	must.Eq(t, 3, c.Priority)
}

// Guards against a client that gets the rank of another request because its
// deadline happens to be the same, and against an effect on nodes without
// priorities.
func TestOnlyCallsTakeOverARank(t *testing.T) {
	deadline := arrivedAt.Add(900 * time.Millisecond)
	running := call.RunningRequest{Deadline: deadline, AccountPriority: 1, Priority: 2}
	withKey := runningService(t, running).beginWithDeadline(deadline, mesh.KeyHash{1})
	must.False(t, withKey.Nested)
	must.Eq(t, ownPriority, withKey.Priority)
	s := runningService(t, running)
	state := call.RouteState{} // most requests of the route have come from clients
	s.environment.Route = func(string) *call.RouteState { return &state }
	must.False(t, s.beginWithDeadline(deadline, mesh.KeyHash{}).Nested)
	must.Positive(t, state.NestedRatio)
	s = runningService(t, running)
	s.environment.RanksCalls = false
	must.False(t, s.beginWithDeadline(deadline, mesh.KeyHash{}).Nested)
	must.False(t, runningService(t, running).beginWithDeadline(deadline.Add(time.Second), mesh.KeyHash{}).Nested)
}

// Guards against a call that is refused without being sent, because every host has
// refused its class to others: the run that makes it holds a slot and fails.
func TestCallIsSentWhileEveryHostRefusesItsClass(t *testing.T) {
	deadline := arrivedAt.Add(900 * time.Millisecond)
	refusing := func(s *service) *service {
		for i, h := range s.hosts {
			s.hosts[i].Stats = h.Stats.ObserveRefusal(arrivedAt, mesh.Lookup, verdict.QueueFull, time.Second, mesh.Load{Slots: 6, Busy: 6})
		}
		return s
	}
	nested := refusing(runningService(t, call.RunningRequest{Deadline: deadline})).beginWithDeadline(deadline, mesh.KeyHash{})
	must.Eq(t, call.Wait, nested.Step.Kind)
	must.Len(t, 1, nested.Attempts)
	other := refusing(runningService(t)).beginWithDeadline(deadline, mesh.KeyHash{})
	must.Eq(t, call.Refuse, other.Step.Kind)
	must.Eq(t, verdict.Shed, other.Step.Refusal.Reason)
	s := runningService(t, call.RunningRequest{Deadline: deadline})
	s.hosts = []choose.Candidate{}
	none := s.beginWithDeadline(deadline, mesh.KeyHash{})
	must.Eq(t, verdict.NoBackend, none.Step.Refusal.Reason)
}

// Guards against calls that are not recognised because their deadline is shorter
// than that of the request that makes them, as in both deployments.
func TestCallThatNamesItsParentTakesOverItsRank(t *testing.T) {
	s := runningService(t, call.RunningRequest{CallerID: "p", Deadline: arrivedAt.Add(900 * time.Millisecond), AccountPriority: 1, Priority: 2})
	state := call.RouteState{}
	s.environment.Route = func(string) *call.RouteState { return &state }
	begin := func(parent string, deadline time.Duration) call.Call {
		return call.Begin(arrivedAt, call.Request{
			HostName: "h", Path: "/x", Arrived: arrivedAt, Deadline: arrivedAt.Add(deadline), BodyBuffered: true, ParentID: parent,
		}, s.environment)
	}
	named := begin("p", 200*time.Millisecond)
	must.True(t, named.Nested)
	must.Eq(t, 1, named.AccountPriority)
	must.Eq(t, 2, named.Priority)
	must.False(t, begin("q", 200*time.Millisecond).Nested)
	must.False(t, begin("p", time.Second).Nested, must.Sprint("a call does not outlast its parent"))
}

// Van routing: calls of legs (rank 2) and bookings (rank 1) compete for the ledger's
// slots, at rank 1 for the calls' own route. Guards against calls that wait behind the
// bookings: each fails a run that holds a slot elsewhere.
func TestCallKeepsTheRankOfItsRouteIfThatIsBetter(t *testing.T) {
	deadline := arrivedAt.Add(900 * time.Millisecond)
	s := runningService(t, call.RunningRequest{Deadline: deadline, AccountPriority: 1, Priority: ownPriority + 1})
	c := s.beginWithDeadline(deadline, mesh.KeyHash{})
	must.True(t, c.Nested)
	must.Eq(t, ownPriority, c.Priority)
	must.Eq(t, 1, c.AccountPriority)
}
