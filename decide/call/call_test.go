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

// fixture is a world of three backend servers of one service.
type fixture struct {
	world    call.World
	service  call.Service
	reports  map[mesh.HostID]choose.Report
	inFlight map[mesh.HostID]int
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
	f := &fixture{reports: map[mesh.HostID]choose.Report{}, inFlight: map[mesh.HostID]int{}}
	f.world = call.World{
		Routes: routes, Zone: "z", Pick: choose.Pick, Random: rand.New(rand.NewPCG(1, 1)),
		Service: func(mesh.ServiceName) *call.Service { return &f.service },
		Candidates: func(mesh.ServiceName) (list []choose.Candidate) {
			for _, id := range []mesh.HostID{"a", "b", "c"} {
				list = append(list, choose.Candidate{Host: id, Zone: "z", Report: f.reports[id]})
			}
			return list
		},
	}
	return f
}

func (f *fixture) Report(id mesh.HostID) choose.Report       { return f.reports[id] }
func (f *fixture) SetReport(id mesh.HostID, r choose.Report) { f.reports[id] = r }
func (f *fixture) Leave(id mesh.HostID)                      { f.inFlight[id]-- }

func (f *fixture) begin() call.Call {
	return call.Begin(start, call.Request{ID: "1", HostName: "h", Path: "/", Arrived: start, Whole: true}, f.world)
}

func failed(v verdict.Verdict, r verdict.Reason) call.Outcome {
	return call.Outcome{Verdict: v, Reason: r, Replayable: true, Load: mesh.Load{Slots: 6}}
}

// finish reports the outcome of the last attempt and lets time pass until the
// next attempt or step.
func (f *fixture) after(c call.Call, o call.Outcome) call.Call {
	c = call.Settle(start, c.WithOutcome(len(c.Attempts)-1, o), f, &f.service)
	c = call.Continue(start, c, f.world)
	if !c.RetryAt.IsZero() {
		c = call.Continue(c.RetryAt, c, f.world)
	}
	return c
}

func TestOnlyWhatCannotHaveRunIsSentAgain(t *testing.T) {
	cases := []struct {
		class mesh.Class
		out   call.Outcome
		again bool
	}{
		{mesh.Booking, failed(verdict.NotRun, verdict.QueueFull), true},
		{mesh.Booking, failed(verdict.MayHaveRun, verdict.TransportFailed), false},
		{mesh.Upload, failed(verdict.MayHaveRun, verdict.TransportFailed), false},
		{mesh.Lookup, failed(verdict.MayHaveRun, verdict.TransportFailed), true},
		{mesh.Lookup, call.Outcome{Verdict: verdict.NotRun, Reason: verdict.QueueFull}, false}, // not replayable
		{mesh.Lookup, call.Outcome{Verdict: verdict.NotRun, Reason: verdict.BackendShed, Replayable: true, Exhausted: true}, false},
	}
	for _, one := range cases {
		f := newFixture(t, one.class)
		c := f.after(f.begin(), one.out)
		must.Eq(t, one.again, len(c.Attempts) == 2, must.Sprintf("%s %+v", one.class, one.out))
		if one.again {
			must.NotEq(t, c.Attempts[0].Target.Host, c.Attempts[1].Target.Host)
			continue
		}
		must.Eq(t, call.Refuse, c.Step.Kind)
		must.Eq(t, one.out.Verdict, c.Step.Refusal.Verdict)
		must.True(t, c.Step.Exhausted)
	}
}

// TestVerdictOfSeveralAttemptsIsTheWorst: after one attempt that may have run,
// a refusal of the next one does not make the request not run.
func TestVerdictOfSeveralAttemptsIsTheWorst(t *testing.T) {
	f := newFixture(t, mesh.Lookup)
	c := f.after(f.begin(), failed(verdict.MayHaveRun, verdict.TransportFailed))
	c = f.after(c, failed(verdict.NotRun, verdict.QueueFull))
	c = f.after(c, failed(verdict.NotRun, verdict.QueueFull))
	must.Eq(t, call.Refuse, c.Step.Kind)
	must.Eq(t, verdict.MayHaveRun, c.Step.Refusal.Verdict)
}

// TestRetriesOfOneServiceAreBounded: while a whole service fails, attempts
// stay within a tenth over the requests, and a few saved up.
func TestRetriesOfOneServiceAreBounded(t *testing.T) {
	f := newFixture(t, mesh.Lookup)
	attempts := 0
	const requests = 1000
	for range requests {
		c := f.begin()
		for c.Step.Kind == call.Wait {
			c = f.after(c, failed(verdict.NotRun, verdict.QueueFull))
		}
		attempts += len(c.Attempts)
	}
	must.LessEq(t, requests*11/10+10, attempts)
	must.GreaterEq(t, requests*11/10, attempts)
}

func TestDrainingIsRetriedElsewhereAtOnceAndThenLeftAlone(t *testing.T) {
	f := newFixture(t, mesh.Booking)
	c := f.begin()
	drained := c.Attempts[0].Target.Host
	c = f.after(c, failed(verdict.NotRun, verdict.Draining))
	must.Len(t, 2, c.Attempts)
	must.True(t, c.RetryAt.IsZero())
	for range 200 {
		must.NotEq(t, drained, f.begin().Attempts[0].Target.Host)
	}
}

func (f *fixture) learnHedging() {
	for range 100 {
		f.service.Hedges = f.service.Hedges.Observe(10 * time.Millisecond).Deposit()
	}
}

func TestHedgeGoesElsewhereAndTheFirstAnswerWins(t *testing.T) {
	f := newFixture(t, mesh.Lookup)
	must.Eq(t, hedge.State{}, f.service.Hedges)
	must.True(t, f.begin().HedgeAt.IsZero()) // nothing is known yet
	f.learnHedging()
	c := f.begin()
	due := c.HedgeAt
	must.Eq(t, due, c.Wake())
	must.Len(t, 1, call.Continue(due.Add(-1), c, f.world).Attempts)
	c = call.Continue(due, c, f.world)
	must.Len(t, 2, c.Attempts)
	must.True(t, c.Attempts[1].Hedge)
	must.NotEq(t, c.Attempts[0].Target.Host, c.Attempts[1].Target.Host)
	// One of the two fails: the other is waited for.
	c = call.Continue(due, c.WithOutcome(0, failed(verdict.NotRun, verdict.QueueFull)), f.world)
	must.Eq(t, call.Wait, c.Step.Kind)
	c = call.Continue(due, c.WithOutcome(1, call.Outcome{Verdict: verdict.Ran}), f.world)
	must.Eq(t, call.Answer, c.Step.Kind)
	must.Eq(t, 1, c.Step.Attempt)
	// Both attempts leave the counts, once.
	c = call.Settle(due, c, f, &f.service)
	must.False(t, c.Unsettled())
	must.Eq(t, -2, f.inFlight["a"]+f.inFlight["b"]+f.inFlight["c"])
}

// TestWakeIsNeverPast: a hedge that falls due while a retry is planned must
// not wake the call without end.
func TestWakeIsNeverPast(t *testing.T) {
	f := newFixture(t, mesh.Lookup)
	f.learnHedging()
	for range 100 {
		c := f.begin()
		now := c.HedgeAt.Add(-time.Microsecond)
		c = call.Continue(now, c.WithOutcome(0, failed(verdict.NotRun, verdict.QueueFull)), f.world)
		for range 10 {
			if c.Final() {
				break
			}
			must.True(t, c.Wake().After(now), must.Sprintf("%v at %v", c.Wake(), now))
			now = c.Wake()
			c = call.Continue(now, c, f.world)
		}
	}
}
