package call_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/call"
	"github.com/marigoldshelf/marigoldshelf/decide/choose"
	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

var arrivedAt = time.Unix(1_700_000_000, 0)

// service keeps the state of one service over many requests.
type service struct {
	environment call.Environment
	state       call.ServiceState
	hosts       []choose.Candidate
}

// approvedService returns a service whose route comes from approved
// configuration and lets a request reach two backend servers.
func approvedService(t *testing.T, class mesh.Class, hosts int) *service {
	t.Helper()
	return rankedService(t, class, hosts, 0)
}

// rankedService is approvedService with a priority of the route.
func rankedService(t *testing.T, class mesh.Class, hosts, priority int) *service {
	t.Helper()
	table, faults := route.CompileApproved(mesh.ApprovedConfig{Version: 3, Routes: []mesh.Route{{
		Rule:               mesh.Rule{ID: "r", HostName: "h", PathPrefix: "/", Service: "desk", Class: class, DeadlineMillis: 2000},
		MaxBackendAttempts: 2, Priority: priority,
	}}})
	must.SliceEmpty(t, faults)
	s := &service{}
	for i := range hosts {
		s.hosts = append(s.hosts, choose.Candidate{Host: mesh.HostID(rune('a' + i)), Stats: choose.HostStats{Load: mesh.Load{Slots: 6}}})
	}
	s.environment = call.Environment{
		Routes: table, Pick: choose.Pick, Random: rand.New(rand.NewPCG(1, 2)),
		Candidates: func(mesh.ServiceName) []choose.Candidate { return s.hosts },
		Service:    func(mesh.ServiceName) *call.ServiceState { return &s.state },
	}
	return s
}

func (s *service) begin() call.Call {
	return call.Begin(arrivedAt, call.Request{HostName: "h", Path: "/x", Arrived: arrivedAt, BodyBuffered: true}, s.environment)
}

// finishAttempt sets the outcome of the last attempt and decides the next step,
// after the retry delay if there is one.
func (s *service) finishAttempt(c call.Call, o call.Outcome) call.Call {
	o.Replayable = true
	c = call.Continue(arrivedAt, c.WithOutcome(len(c.Attempts)-1, o), s.environment)
	if !c.RetryAt.IsZero() {
		c = call.Continue(c.RetryAt, c, s.environment)
	}
	return c
}

// During a long load peak, callers that all retry after the same short delay
// would be refused again. The retry delay rises with the shed ratio and is
// jittered.
func TestRetryAfterGrowsWithTheShedRatioAndIsJittered(t *testing.T) {
	s := approvedService(t, mesh.Lookup, 1)
	full := call.Outcome{Verdict: verdict.NotRun, Reason: verdict.QueueFull}
	first := s.finishAttempt(s.begin(), full).Step.RetryAfter
	must.Between(t, 100*time.Millisecond, first, 300*time.Millisecond)
	seen := make(map[time.Duration]bool)
	for range 100 {
		seen[s.finishAttempt(s.begin(), full).Step.RetryAfter] = true
	}
	must.Greater(t, 50, len(seen))
	must.Greater(t, 700*time.Millisecond, s.finishAttempt(s.begin(), full).Step.RetryAfter)
	for range 100 {
		s.finishAttempt(s.begin(), call.Outcome{Verdict: verdict.Ran})
	}
	must.Less(t, 300*time.Millisecond, s.finishAttempt(s.begin(), full).Step.RetryAfter)
}

// A refusal by an admission point reaches no backend server, so the next node
// is tried whatever the class is and without drawing on the retry budget.
func TestRefusalsByAdmissionPointsCostNoBudget(t *testing.T) {
	s := approvedService(t, mesh.Booking, 6)
	for range 200 {
		c := s.begin()
		for range 3 {
			c = s.finishAttempt(c, call.Outcome{Verdict: verdict.NotRun, Reason: verdict.QueueFull})
			must.False(t, c.Final())
		}
		must.Len(t, 4, c.Attempts)
		c = s.finishAttempt(c, call.Outcome{Verdict: verdict.NotRun, Reason: verdict.QueueFull})
		must.Eq(t, call.Refuse, c.Step.Kind)
		must.Eq(t, verdict.NotRun, c.Step.Refusal.Verdict)
	}
}

// While a service that this one calls is overloaded, every host fails at the
// same rate, and a retry would only call the overloaded service again. Server
// errors are retried only when the host fails more than the others.
func TestServerErrorIsRetriedOnlyWhenTheHostIsAnOutlier(t *testing.T) {
	s := approvedService(t, mesh.Lookup, 4)
	for i := range s.hosts {
		s.hosts[i].Stats.Load.Failing = 30
	}
	failed := call.Outcome{Verdict: verdict.Ran, BackendFailed: true, Load: mesh.Load{Slots: 6, Failing: 30}}
	c := s.finishAttempt(s.begin(), failed)
	must.Eq(t, call.Answer, c.Step.Kind, must.Sprint("the backend server's answer is passed on"))
	must.Len(t, 1, c.Attempts)

	for i := range s.hosts {
		s.hosts[i].Stats.Load.Failing = 0
	}
	c = s.finishAttempt(s.begin(), failed)
	must.Len(t, 2, c.Attempts)
	c = s.finishAttempt(c, failed)
	must.Eq(t, call.Answer, c.Step.Kind, must.Sprint("the route allows two backend servers"))
}

func TestBookingThatMayHaveRunIsNotRetried(t *testing.T) {
	s := approvedService(t, mesh.Booking, 6)
	c := s.finishAttempt(s.begin(), call.Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.TransportFailed})
	must.Eq(t, call.Refuse, c.Step.Kind)
	must.Eq(t, verdict.MayHaveRun, c.Step.Refusal.Verdict)
	must.Len(t, 1, c.Attempts)
}

func TestSplitFollowsItsWeights(t *testing.T) {
	s := approvedService(t, mesh.Lookup, 1)
	table, faults := route.CompileApproved(mesh.ApprovedConfig{Version: 4, Routes: []mesh.Route{{
		Rule:               mesh.Rule{ID: "r", HostName: "h", PathPrefix: "/", Class: mesh.Lookup, DeadlineMillis: 2000},
		Split:              []mesh.WeightedService{{Service: "old", Weight: 90}, {Service: "new", Weight: 10}, {Service: "off"}},
		MaxBackendAttempts: 2,
	}}})
	must.SliceEmpty(t, faults)
	s.environment.Routes = table
	const requests = 3000
	counts := make(map[mesh.ServiceName]int)
	for range requests {
		counts[s.begin().Rule.Service]++
	}
	must.Zero(t, counts["off"])
	must.Between(t, requests*8/100, counts["new"], requests*12/100)
	must.Eq(t, requests, counts["new"]+counts["old"])
}

// While every node is full, sending a lookup from node to node costs the full
// nodes the most. Lookups then try fewer nodes; bookings still try four.
func TestLookupsTryFewerNodesWhileAllAreFull(t *testing.T) {
	full := call.Outcome{Verdict: verdict.NotRun, Reason: verdict.QueueFull}
	countAttempts := func(s *service) int {
		c := s.begin()
		for !c.Final() {
			c = s.finishAttempt(c, full)
		}
		return len(c.Attempts)
	}
	lookups, bookings := approvedService(t, mesh.Lookup, 6), approvedService(t, mesh.Booking, 6)
	must.Eq(t, 4, countAttempts(lookups))
	for range 100 {
		countAttempts(lookups)
		countAttempts(bookings)
	}
	must.Eq(t, 2, countAttempts(lookups))
	must.Eq(t, 4, countAttempts(bookings))
	for range 100 {
		lookups.finishAttempt(lookups.begin(), call.Outcome{Verdict: verdict.Ran})
	}
	must.Eq(t, 4, countAttempts(lookups))
}
