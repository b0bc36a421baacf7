// Package call decides the steps of one caller's request at the node that took
// it: where to send it, whether to send it again or to a second backend server
// at once, and what to answer. It holds no bytes: the HTTP side moves them and
// reports what came of each attempt.
package call

import (
	"math/rand/v2"
	"time"

	"github.com/marigoldshelf/marigoldshelf/decide/choose"
	"github.com/marigoldshelf/marigoldshelf/decide/hedge"
	"github.com/marigoldshelf/marigoldshelf/decide/retry"
	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// Grace is how long after the deadline an attempt under way is waited for.
const Grace = 50 * time.Millisecond

// Request is what the decision needs to know of a caller's request.
type Request struct {
	ID       string
	HostName string
	Path     string
	Arrived  time.Time
	// Deadline is the caller's own bound; zero for none.
	Deadline time.Time
	// Whole is true when the whole body is at hand, so that the request can
	// be sent to two backend servers at once.
	Whole bool
	// Large is true when the body is long enough for its way to matter.
	Large bool
	// CallerID is the caller's own name for the request, for logs.
	CallerID string
}

// StepKind is what the HTTP side has to do next, beside the attempts.
type StepKind uint8

// The kinds of step.
const (
	// Wait: make the attempts that are listed, and wait.
	Wait StepKind = iota
	// Answer: pass on the answer of Step.Attempt; end the others.
	Answer
	// Refuse: answer with Step.Refusal; end every attempt.
	Refuse
)

// Step is one instruction to the HTTP side. Each step of a call has a higher
// number than the one before.
type Step struct {
	Number int
	Kind   StepKind
	// Attempt is the index of the attempt that is answered with.
	Attempt int
	Refusal *verdict.Error
	// RetryAfter is when the caller may come back, from now; zero for no
	// advice.
	RetryAfter time.Duration
	// Exhausted is true when the request was retried, or may not be: nobody
	// upstream should try it again for the same failure.
	Exhausted bool
}

// Outcome is what came of one attempt.
type Outcome struct {
	Verdict verdict.Verdict
	// Reason is why it failed; empty when there is an answer to pass on.
	Reason verdict.Reason
	// Replayable is true while the request's body can be sent again from its
	// start.
	Replayable bool
	// Exhausted is true when the failure was already retried further down.
	Exhausted bool
	// Failed is true when the answer says that the backend server failed, which
	// another one may not.
	Failed bool
	// Took is the time from sending to the head of the answer.
	Took time.Duration
	// Load is what the receiving node reported; no slots when it did not.
	Load mesh.Load
	// RetryAfter is what it advised.
	RetryAfter time.Duration
}

// Attempt is one sending of the request.
type Attempt struct {
	Target choose.Candidate
	Sent   time.Time
	Hedge  bool
	// Outcome is nil while the attempt is under way.
	Outcome *Outcome
	// Settled is true once the outcome was counted into what is known of the
	// host and the service.
	Settled bool
}

// Call is the state of one request. It is a value.
type Call struct {
	Request Request
	// Rule is the route's rule, with the service that the split gave.
	Rule    mesh.Rule
	Version mesh.Version
	// Priority and MaxBackends are the route's.
	Priority    int
	MaxBackends int
	Deadline    time.Time
	// Objective is when an answer is worth less; zero when nobody said.
	Objective time.Time
	Attempts  []Attempt
	Step      Step
	// RetryAt is when the next attempt is due; zero when none is planned.
	RetryAt time.Time
	// HedgeAt is when a second attempt is due; zero for never.
	HedgeAt time.Time
	// Ended is set by the HTTP side when it is done with the request.
	Ended bool
}

// Service is what this node has learned of one service. It is a value.
type Service struct {
	Retries retry.Budget
	Hedges  hedge.State
	// Shedding is the part of the latest requests that found no room, 0 to 1.
	Shedding float64
}

// World is what the decision may look at, and the service's state, which it
// moves on.
type World struct {
	// Routes is the configuration in force; nil for none.
	Routes *route.Table
	// FloorUnknown is true while a started node does not know yet which
	// versions it may serve.
	FloorUnknown bool
	// Zone and Region are the node's own.
	Zone   mesh.Zone
	Region mesh.Region
	// Candidates returns the backend servers of a service that may get work.
	Candidates func(mesh.ServiceName) []choose.Candidate
	// Service returns the state of a service, to be modified in place.
	Service func(mesh.ServiceName) *Service
	// Pick chooses among the candidates.
	Pick choose.Policy
	// ReplyMargin is how long before the caller's own deadline the last word
	// on its request is due, Grace included. A caller that gets none closes its
	// connection, and with it every other request on it.
	ReplyMargin time.Duration
	// Budget bounds the retries of a service; the zero value takes the default.
	Budget retry.Policy
	Random *rand.Rand
}

// Begin routes a new request and takes its first step. The request keeps the
// version it was routed under until its end.
func Begin(now time.Time, r Request, w World) Call {
	c := Call{Request: r}
	switch {
	case w.Routes == nil && w.FloorUnknown:
		return c.refuse(verdict.NotRun, verdict.FloorUnknown)
	case w.Routes == nil:
		return c.refuse(verdict.NotRun, verdict.NoConfiguration)
	}
	matched, found := w.Routes.Match(r.HostName, r.Path)
	if !found {
		return c.refuse(verdict.NotRun, verdict.NoRoute)
	}
	c = c.routed(matched, w)
	rule := c.Rule
	c.Deadline = r.Arrived.Add(rule.Deadline())
	if own := r.Deadline.Add(-w.ReplyMargin); !r.Deadline.IsZero() && own.Before(c.Deadline) {
		c.Deadline = own
	}
	if !now.Before(c.Deadline) {
		return c.refuse(verdict.NotRun, verdict.DeadlineExceeded)
	}
	service := w.Service(rule.Service)
	service.Retries = service.Retries.Deposit(w.Budget)
	if c.mayHedge() {
		service.Hedges = service.Hedges.Deposit()
		if delay, known := service.Hedges.Delay(); known {
			c.HedgeAt = now.Add(delay)
		}
	}
	return c.sendFirst(now, w)
}

// routed returns the call with what its route says, under the version in force.
func (c Call) routed(r mesh.Route, w World) Call {
	c.Rule = r.Rule
	if len(r.Split) > 0 {
		c.Rule.Service = drawShare(r.Split, w.Random)
	}
	c.Version = w.Routes.Version
	c.Priority = r.Priority
	c.MaxBackends = r.MaxBackends
	if r.Objective > 0 {
		c.Objective = c.Request.Arrived.Add(r.Objective)
	}
	return c
}

// drawShare draws the service of one request by the shares' weights.
func drawShare(shares []mesh.Share, random *rand.Rand) mesh.ServiceName {
	total := 0
	for _, share := range shares {
		total += share.Weight
	}
	drawn := random.IntN(max(total, 1))
	for _, share := range shares {
		if drawn -= share.Weight; drawn < 0 {
			return share.Service
		}
	}
	return shares[len(shares)-1].Service
}

func (c Call) mayHedge() bool {
	return c.Rule.Hedge && c.Rule.Class == mesh.Lookup && c.Request.Whole
}

// sendFirst makes the first attempt. While every host has asked not to be sent
// the class, the request is refused here, which costs nobody anything.
func (c Call) sendFirst(now time.Time, w World) Call {
	candidates := w.Candidates(c.Rule.Service)
	open := make([]choose.Candidate, 0, len(candidates))
	for _, candidate := range candidates {
		if !candidate.Report.Closed(now, c.Rule.Class) {
			open = append(open, candidate)
		}
	}
	if len(open) == 0 && len(candidates) > 0 {
		return c.giveUp(verdict.Shed, w)
	}
	target, found := w.Pick(c.query(now, w), open)
	if !found {
		return c.giveUp(verdict.NoBackend, w)
	}
	return c.attempt(Attempt{Target: target, Sent: now})
}

func (c Call) query(now time.Time, w World) choose.Query {
	tried := make([]mesh.HostID, len(c.Attempts))
	for i, a := range c.Attempts {
		tried[i] = a.Target.Host
	}
	return choose.Query{
		Now: now, Class: c.Rule.Class, Zone: w.Zone, Region: w.Region, Tried: tried, Random: w.Random,
		Large: c.Request.Large,
	}
}

// attempt returns the call with one more attempt under way.
func (c Call) attempt(a Attempt) Call {
	c.Attempts = append(c.Attempts[:len(c.Attempts):len(c.Attempts)], a)
	c.RetryAt = time.Time{}
	return c.next(Step{Kind: Wait})
}

func (c Call) refuse(v verdict.Verdict, reason verdict.Reason) Call {
	return c.next(Step{Kind: Refuse, Refusal: verdict.New(v, reason, nil)})
}

func (c Call) next(s Step) Call {
	s.Number = c.Step.Number + 1
	c.Step = s
	return c
}

// Final reports whether the call has its answer or refusal.
func (c Call) Final() bool { return c.Step.Kind != Wait }

// WithOutcome returns the call with the outcome of one attempt set.
func (c Call) WithOutcome(attempt int, o Outcome) Call {
	attempts := append([]Attempt(nil), c.Attempts...)
	attempts[attempt].Outcome = &o
	c.Attempts = attempts
	return c
}

// Wake returns when the call wants to be decided again without an outcome;
// zero for never.
func (c Call) Wake() time.Time {
	if c.Final() || len(c.Attempts) == 0 {
		return time.Time{}
	}
	wake := c.limit()
	for _, due := range []time.Time{c.RetryAt, c.HedgeAt} {
		if !due.IsZero() && due.Before(wake) {
			wake = due
		}
	}
	return wake
}
