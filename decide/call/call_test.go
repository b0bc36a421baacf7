package call_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/call"
	"github.com/marigoldshelf/marigoldshelf/decide/choose"
	"github.com/marigoldshelf/marigoldshelf/decide/hedge"
	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

var start = time.Unix(1_700_000_000, 0)

// fixture has three backend servers of one service in one zone.
type fixture struct {
	environment call.Environment
	service     call.ServiceState
	stats       map[mesh.HostID]choose.HostStats
	inFlight    map[mesh.HostID]int
}

func newFixture(t *testing.T, class mesh.Class) *fixture {
	t.Helper()
	c := mesh.Config{
		Services: map[mesh.ServiceName]mesh.Service{"s": {Name: "s", Customer: "c"}},
		Hosts:    map[mesh.HostID]mesh.Host{"a": {ID: "a", Zone: "z", Service: "s"}},
		Rules: map[string]mesh.Rule{"r": {
			ID: "r", HostName: "h", PathPrefix: "/", Service: "s", Class: class, DeadlineMillis: 1000, Retries: 2,
			Hedge: class == mesh.Lookup,
		}},
	}
	routes, faults := route.Compile(1, c)
	must.Len(t, 0, faults)
	f := &fixture{stats: map[mesh.HostID]choose.HostStats{}, inFlight: map[mesh.HostID]int{}}
	f.environment = call.Environment{
		Routes: routes, Zone: "z", Pick: choose.Pick, Random: rand.New(rand.NewPCG(1, 1)),
		Service: func(mesh.ServiceName) *call.ServiceState { return &f.service },
		Candidates: func(mesh.ServiceName) (candidates []choose.Candidate) {
			for _, id := range []mesh.HostID{"a", "b", "c"} {
				candidates = append(candidates, choose.Candidate{Host: id, Zone: "z", Stats: f.stats[id]})
			}
			return candidates
		},
	}
	return f
}

func (f *fixture) HostStats(id mesh.HostID) choose.HostStats       { return f.stats[id] }
func (f *fixture) SetHostStats(id mesh.HostID, r choose.HostStats) { f.stats[id] = r }
func (f *fixture) DecrementInFlight(id mesh.HostID)                { f.inFlight[id]-- }

func (f *fixture) begin() call.Call {
	return call.Begin(start, call.Request{ID: "1", HostName: "h", Path: "/", Arrived: start, BodyBuffered: true}, f.environment)
}

func failed(v verdict.Verdict, r verdict.Reason) call.Outcome {
	return call.Outcome{Verdict: v, Reason: r, Replayable: true, Load: mesh.Load{Slots: 6}}
}

// finishAttempt sets the outcome of the last attempt and decides the next step,
// after the retry delay if there is one.
func (f *fixture) finishAttempt(c call.Call, o call.Outcome) call.Call {
	c = call.RecordOutcomes(start, c.WithOutcome(len(c.Attempts)-1, o), f, &f.service)
	c = call.Continue(start, c, f.environment)
	if !c.RetryAt.IsZero() {
		c = call.Continue(c.RetryAt, c, f.environment)
	}
	return c
}

func TestRetryOnlyWhenSafeAndAllowed(t *testing.T) {
	cases := []struct {
		class   mesh.Class
		outcome call.Outcome
		retried bool
	}{
		{mesh.Booking, failed(verdict.NotRun, verdict.QueueFull), true},
		{mesh.Booking, failed(verdict.MayHaveRun, verdict.TransportFailed), false},
		{mesh.Upload, failed(verdict.MayHaveRun, verdict.TransportFailed), false},
		{mesh.Lookup, failed(verdict.MayHaveRun, verdict.TransportFailed), true},
		{mesh.Lookup, call.Outcome{Verdict: verdict.NotRun, Reason: verdict.QueueFull}, false}, // not replayable
		{mesh.Lookup, call.Outcome{Verdict: verdict.NotRun, Reason: verdict.BackendShed, Replayable: true, RetriesExhausted: true}, false},
	}
	for _, tc := range cases {
		f := newFixture(t, tc.class)
		c := f.finishAttempt(f.begin(), tc.outcome)
		must.Eq(t, tc.retried, len(c.Attempts) == 2, must.Sprintf("%s %+v", tc.class, tc.outcome))
		if tc.retried {
			must.NotEq(t, c.Attempts[0].Target.Host, c.Attempts[1].Target.Host)
			continue
		}
		must.Eq(t, call.Refuse, c.Step.Kind)
		must.Eq(t, tc.outcome.Verdict, c.Step.Refusal.Verdict)
		must.True(t, c.Step.RetriesExhausted)
	}
}

// Guards against reporting a request as not run because its last attempt was
// refused, although an earlier attempt might have run.
func TestVerdictOfSeveralAttemptsIsTheWorst(t *testing.T) {
	f := newFixture(t, mesh.Lookup)
	c := f.finishAttempt(f.begin(), failed(verdict.MayHaveRun, verdict.TransportFailed))
	c = f.finishAttempt(c, failed(verdict.NotRun, verdict.QueueFull))
	c = f.finishAttempt(c, failed(verdict.NotRun, verdict.QueueFull))
	must.Eq(t, call.Refuse, c.Step.Kind)
	must.Eq(t, verdict.MayHaveRun, c.Step.Refusal.Verdict)
}

// Guards against retries that multiply the load of a service of which every
// host refuses: retries stay within a tenth of the requests plus the capacity
// of the budget.
func TestRetriesOfOneServiceAreBounded(t *testing.T) {
	f := newFixture(t, mesh.Lookup)
	attempts := 0
	const requests = 1000
	for range requests {
		c := f.begin()
		for c.Step.Kind == call.Wait {
			c = f.finishAttempt(c, failed(verdict.NotRun, verdict.QueueFull))
		}
		attempts += len(c.Attempts)
	}
	must.LessEq(t, requests*11/10+10, attempts)
	must.GreaterEq(t, requests*11/10, attempts)
}

func TestDrainingHostIsRetriedElsewhereAtOnceAndThenAvoided(t *testing.T) {
	f := newFixture(t, mesh.Booking)
	c := f.begin()
	draining := c.Attempts[0].Target.Host
	c = f.finishAttempt(c, failed(verdict.NotRun, verdict.Draining))
	must.Len(t, 2, c.Attempts)
	must.True(t, c.RetryAt.IsZero())
	for range 200 {
		must.NotEq(t, draining, f.begin().Attempts[0].Target.Host)
	}
}

// enableHedging gives the hedging state enough samples and budget for a hedge.
func (f *fixture) enableHedging() {
	for range 100 {
		f.service.HedgeState = f.service.HedgeState.Observe(10 * time.Millisecond).Deposit()
	}
}

func TestHedgeGoesElsewhereAndTheFirstAnswerWins(t *testing.T) {
	f := newFixture(t, mesh.Lookup)
	must.Eq(t, hedge.State{}, f.service.HedgeState)
	must.True(t, f.begin().HedgeAt.IsZero()) // too few samples
	f.enableHedging()
	c := f.begin()
	due := c.HedgeAt
	must.Eq(t, due, c.NextDecisionAt())
	must.Len(t, 1, call.Continue(due.Add(-1), c, f.environment).Attempts)
	c = call.Continue(due, c, f.environment)
	must.Len(t, 2, c.Attempts)
	must.True(t, c.Attempts[1].Hedge)
	must.NotEq(t, c.Attempts[0].Target.Host, c.Attempts[1].Target.Host)
	// After one of the two failed, the call waits for the other one.
	c = call.Continue(due, c.WithOutcome(0, failed(verdict.NotRun, verdict.QueueFull)), f.environment)
	must.Eq(t, call.Wait, c.Step.Kind)
	c = call.Continue(due, c.WithOutcome(1, call.Outcome{Verdict: verdict.Ran}), f.environment)
	must.Eq(t, call.Answer, c.Step.Kind)
	must.Eq(t, 1, c.Step.Attempt)
	// Both attempts are removed from the in-flight counts exactly once.
	c = call.RecordOutcomes(due, c, f, &f.service)
	must.False(t, c.HasUnrecorded())
	must.Eq(t, -2, f.inFlight["a"]+f.inFlight["b"]+f.inFlight["c"])
}

// Guards against a busy loop: a hedge that comes due while a retry is planned
// must not leave a wake-up time in the past.
func TestNextDecisionIsNeverInThePast(t *testing.T) {
	f := newFixture(t, mesh.Lookup)
	f.enableHedging()
	for range 100 {
		c := f.begin()
		now := c.HedgeAt.Add(-time.Microsecond)
		c = call.Continue(now, c.WithOutcome(0, failed(verdict.NotRun, verdict.QueueFull)), f.environment)
		for range 10 {
			if c.Final() {
				break
			}
			must.True(t, c.NextDecisionAt().After(now), must.Sprintf("%v at %v", c.NextDecisionAt(), now))
			now = c.NextDecisionAt()
			c = call.Continue(now, c, f.environment)
		}
	}
}

// Guards against a response margin that takes half of the time of a caller with a
// short deadline, as the calls of backend servers have: they then failed while they
// could still be served, and with them the requests that they were made for.
func TestResponseMarginLeavesShortDeadlinesMostOfTheirTime(t *testing.T) {
	f := newFixture(t, mesh.Lookup)
	f.environment.ResponseMargin = 100 * time.Millisecond
	for _, c := range []struct{ deadline, usable, grace time.Duration }{
		{200 * time.Millisecond, 150 * time.Millisecond, 25 * time.Millisecond},
		{300 * time.Millisecond, 225 * time.Millisecond, 37500 * time.Microsecond},
		{600 * time.Millisecond, 500 * time.Millisecond, 50 * time.Millisecond},
		{5 * time.Second, time.Second, 50 * time.Millisecond}, // the route's deadline is earlier
	} {
		got := call.Begin(start, call.Request{
			ID: "1", HostName: "h", Path: "/", Arrived: start, Deadline: start.Add(c.deadline), BodyBuffered: true,
		}, f.environment)
		must.Eq(t, c.usable, got.Deadline.Sub(start))
		must.Eq(t, c.grace, got.Grace)
	}
}
