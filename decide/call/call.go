// Package call decides how the node that received a caller's request handles
// it: which backend server each attempt goes to, when to retry or hedge, and
// whether to pass on a response or refuse. The package sends nothing itself:
// the HTTP handlers carry out the steps and report the outcome of each attempt.
package call

import (
	"iter"
	"math/rand/v2"
	"time"

	"github.com/marigoldshelf/marigoldshelf/decide/choose"
	"github.com/marigoldshelf/marigoldshelf/decide/hedge"
	"github.com/marigoldshelf/marigoldshelf/decide/retry"
	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// DeadlineGrace is how long after the deadline the node still waits for an
// outstanding attempt, at most.
const DeadlineGrace = 50 * time.Millisecond

// marginDivisor limits the response margin to a quarter of the time that the caller
// waits. The calls of backend servers wait for 200 ms, of which a margin of 100 ms
// left too little to wait for a slot and to run.
const marginDivisor = 4

// BodyGrace is how long after the deadline and DeadlineGrace the rest of a response
// may still arrive, if its header came in time. The node that sends it ends a body
// without end at the deadline itself, so only a node that has fallen silent is cut
// off here.
const BodyGrace = 200 * time.Millisecond

// Request holds the properties of a caller's request that decisions depend on.
type Request struct {
	// ID is the node's own identifier of the request, unique among all nodes.
	ID       string
	HostName string
	// Path is the path as received, with its escapes.
	Path    string
	Arrived time.Time
	// Deadline is the deadline that the caller set; zero for none.
	Deadline time.Time
	// BodyBuffered is true when the complete body is buffered, so that the
	// request can be sent to two backend servers at once.
	BodyBuffered bool
	// LargeBody is true when the body is large enough that its transfer between
	// zones has a cost.
	LargeBody bool
	// CallerID is the caller's identifier of the request, for logs.
	CallerID string
	// ParentID is the caller's ID of the request whose run makes this one, if the
	// caller's ID tells; empty otherwise.
	ParentID string
	// Key is the hash of the account key that the caller sent; zero for none.
	Key mesh.KeyHash
}

// StepKind is the kind of instruction to the HTTP handler.
type StepKind uint8

// The kinds of step.
const (
	// Wait is to start the attempts that are listed and wait for the next step.
	Wait StepKind = iota
	// Answer is to pass on the response of Step.Attempt and cancel the other
	// attempts.
	Answer
	// Refuse is to reply with Step.Refusal and cancel every attempt.
	Refuse
)

// Step is one instruction to the HTTP handler.
type Step struct {
	// Number rises with each step of a call; zero before the first.
	Number int
	Kind   StepKind
	// Attempt is the index of the attempt whose response is passed on.
	Attempt int
	Refusal *verdict.Error
	// RetryAfter is the delay after which the caller can retry; zero when there
	// is no estimate.
	RetryAfter time.Duration
	// RetriesExhausted tells nodes and callers upstream not to retry for the
	// same failure: this node has retried the request already, or must not.
	RetriesExhausted bool
}

// Outcome is the result of one attempt.
type Outcome struct {
	Verdict verdict.Verdict
	// Reason is why the attempt failed; empty when there is a response to pass
	// on.
	Reason verdict.Reason
	// Replayable is true while the request's body can be sent again from its
	// start.
	Replayable bool
	// RetriesExhausted is true when the failure was already retried downstream.
	RetriesExhausted bool
	// BackendFailed is true when the response is a server error, so that
	// another backend server might succeed.
	BackendFailed bool
	// Latency is the time from sending the request to receiving the response
	// headers.
	Latency time.Duration
	// Load is the load that the receiving node reported; its Slots are zero
	// when it reported none.
	Load mesh.Load
	// RetryAfter is the retry delay that the receiving node returned; zero for
	// none.
	RetryAfter time.Duration
}

// Attempt is one sending of the request to a backend server.
type Attempt struct {
	Target choose.Candidate
	Sent   time.Time
	Hedge  bool
	// Outcome is nil while the attempt is outstanding.
	Outcome *Outcome
	// Recorded is true once the attempt is counted in the statistics of its
	// host and service.
	Recorded bool
}

// Call is the state of one request. It is a value.
type Call struct {
	Request Request
	// Rule is the route's rule; its Service is the one drawn from the route's
	// split, if it has one.
	Rule mesh.Rule
	// Version is the configuration version that the request was routed by.
	Version mesh.Version
	// Account is the client account of the request; empty for none. Its priority
	// goes before the route's.
	Account         mesh.AccountName
	AccountPriority int
	// RemovesAccount is true if the configuration has client accounts, so that
	// what a caller states about its account is not passed on.
	RemovesAccount bool
	// Token is the call's token of the account's quota.
	Token Token
	// Priority and MaxBackendAttempts are the route's.
	Priority           int
	MaxBackendAttempts int
	// Nested is true for a call that the own backend server makes while it runs a
	// request. It has the account priority of that request, and the better priority
	// of the two routes.
	Nested   bool
	Deadline time.Time
	// Grace is how long after Deadline an outstanding attempt is still awaited.
	Grace time.Duration
	// Objective is the time after which the response is worth less to the
	// caller, counted from the caller's first try; zero when the route sets no
	// latency objective.
	Objective time.Time
	Attempts  []Attempt
	Step      Step
	// RetryAt is when the next attempt is due; zero when none is planned.
	RetryAt time.Time
	// HedgeAt is when a hedged second attempt is due; zero for never.
	HedgeAt time.Time
	// Ended is set by the HTTP handler when it has finished the request.
	Ended bool
}

// ServiceState is the state that this node keeps about one service. It is a
// value.
type ServiceState struct {
	RetryBudget retry.Budget
	HedgeState  hedge.State
	// ShedRatio is a moving average of the requests that no backend server had
	// capacity for, 0 to 1.
	ShedRatio float64
}

// Environment holds the inputs of a decision, and access to the state of the
// services, which the decision updates.
type Environment struct {
	// Routes is the configuration in force; nil for none.
	Routes *route.Table
	// FloorUnknown is true until the node has learned the lowest version that
	// it is allowed to serve after its start.
	FloorUnknown bool
	// ConfigRejected is true while the newest configuration is one that this node
	// could not put in force.
	ConfigRejected bool
	// Zone and Region are those of this node.
	Zone   mesh.Zone
	Region mesh.Region
	// Candidates returns the backend servers of a service that requests can be
	// sent to.
	Candidates func(mesh.ServiceName) []choose.Candidate
	// Service returns the state of a service, which decisions modify in place.
	Service func(mesh.ServiceName) *ServiceState
	// Route returns the state of a route, which decisions modify in place.
	Route func(id string) *RouteState
	// Running yields the requests that the own backend server is running.
	Running iter.Seq[RunningRequest]
	// RanksCalls is true where routes set priorities (admit.Limits.PriorityOnly),
	// so that calls take over the rank of the run that makes them.
	RanksCalls bool
	// Pick is the load balancing policy.
	Pick choose.Policy
	// ResponseMargin is how long before the caller's own deadline the response
	// or refusal is due at most, DeadlineGrace included. A caller that gets no
	// reply in time closes its connection, which ends every other request on it.
	ResponseMargin time.Duration
	// AnswersDue is when this node, which is being stopped, answers its last
	// requests; zero while it is not.
	AnswersDue time.Time
	// RetryPolicy limits the retries of each service; the zero value is the
	// default.
	RetryPolicy retry.Policy
	Random      *rand.Rand
}

// Begin routes a new request and decides its first step. The request keeps the
// configuration version that it was routed by until its end. The call of an
// account with a quota has no step yet, but waits for a token; see
// Token.State.
func Begin(now time.Time, r Request, w Environment) Call {
	c := Call{Request: r}
	switch {
	case w.Routes == nil && w.ConfigRejected:
		return c.refuse(verdict.NotRun, verdict.ConfigurationRejected)
	case w.Routes == nil && w.FloorUnknown:
		return c.refuse(verdict.NotRun, verdict.VersionFloorUnknown)
	case w.Routes == nil:
		return c.refuse(verdict.NotRun, verdict.NoConfiguration)
	}
	matched, found := w.Routes.Match(r.HostName, r.Path)
	if !found {
		return c.refuse(verdict.NotRun, verdict.NoRoute)
	}
	c, parent := c.withRoute(matched, w)
	account, known := c.identify(w.Routes)
	if !known && !matched.Public {
		return c.refuse(verdict.NotRun, verdict.UnknownKey)
	}
	if matched.Unreadable != "" {
		return c.refuse(verdict.NotRun, verdict.RouteUnreadable)
	}
	if parent != nil {
		c.Nested = true
		// The better of both ranks: behind work of the own route's rank, the call would
		// fail and waste the run that waits for it.
		c.AccountPriority, c.Priority = parent.AccountPriority, min(c.Priority, parent.Priority)
	}
	rule := c.Rule
	c.Deadline, c.Grace = r.Arrived.Add(rule.Deadline()), DeadlineGrace
	margin := min(w.ResponseMargin, r.Deadline.Sub(r.Arrived)/marginDivisor)
	if replyDue := r.Deadline.Add(-margin); !r.Deadline.IsZero() && replyDue.Before(c.Deadline) {
		c.Deadline = replyDue
		if w.ResponseMargin > 0 {
			c.Grace = min(DeadlineGrace, margin/2)
		}
	}
	if !w.AnswersDue.IsZero() && w.AnswersDue.Before(c.Deadline) {
		c.Deadline = w.AnswersDue
	}
	if !now.Before(c.Deadline) {
		return c.refuse(verdict.NotRun, verdict.DeadlineExceeded)
	}
	if waiting, needed := c.needsToken(account); needed {
		return waiting
	}
	return c.start(now, w)
}

// start counts the call at its service and decides its first attempt.
func (c Call) start(now time.Time, w Environment) Call {
	service := w.Service(c.Rule.Service)
	service.RetryBudget = service.RetryBudget.Deposit(w.RetryPolicy)
	if c.canHedge() {
		service.HedgeState = service.HedgeState.Deposit()
		if delay, known := service.HedgeState.Delay(); known {
			c.HedgeAt = now.Add(delay)
		}
	}
	return c.firstAttempt(now, w)
}

func (c Call) canHedge() bool {
	return c.Rule.Hedge && c.Rule.Class == mesh.Lookup && c.Request.BodyBuffered
}

// firstAttempt adds the first attempt. While every host refuses the class, it
// refuses the request at this node, so that no host spends work on a refusal. A
// call is sent all the same: its parent holds a slot and fails without it, and a
// host that refuses others can still have room for the rank of the call.
func (c Call) firstAttempt(now time.Time, w Environment) Call {
	candidates := w.Candidates(c.Rule.Service)
	open := choose.Filter(candidates, func(candidate *choose.Candidate) bool { return !candidate.Stats.RefusesClass(now, c.Rule.Class) })
	if len(open) == 0 && c.Nested {
		open = candidates
	}
	if len(open) == 0 && len(candidates) > 0 {
		return c.giveUp(verdict.Shed, w)
	}
	target, found := w.Pick(c.query(now, w), open)
	if !found {
		return c.giveUp(verdict.NoBackend, w)
	}
	return c.withAttempt(Attempt{Target: target, Sent: now})
}

func (c Call) query(now time.Time, w Environment) choose.Query {
	tried := make([]mesh.HostID, len(c.Attempts))
	for i, a := range c.Attempts {
		tried[i] = a.Target.Host
	}
	return choose.Query{
		Now: now, Class: c.Rule.Class, Zone: w.Zone, Region: w.Region, Tried: tried, Random: w.Random,
		LargeBody: c.Request.LargeBody,
	}
}

// withAttempt returns the call with one more outstanding attempt.
func (c Call) withAttempt(a Attempt) Call {
	c.Attempts = append(c.Attempts[:len(c.Attempts):len(c.Attempts)], a)
	c.RetryAt = time.Time{}
	return c.withStep(Step{Kind: Wait})
}

func (c Call) refuse(v verdict.Verdict, reason verdict.Reason) Call {
	return c.withStep(Step{Kind: Refuse, Refusal: verdict.New(v, reason, nil)})
}

// withStep returns the call with s as its next step.
func (c Call) withStep(s Step) Call {
	s.Number = c.Step.Number + 1
	c.Step = s
	return c
}

// admissionDivisor gives a node a third of the time that is left to admit a request.
// One that is cut off says nothing, and what is left is enough for another one.
const admissionDivisor = 3

// AdmissionTimeout returns how long the next attempt waits for its admission, if its
// body is sent on admission; zero for no limit. A request that can run only once is
// known not to have run where no admission was received.
func (c Call) AdmissionTimeout(now time.Time) time.Duration {
	if c.Rule.Class.Idempotent() {
		return 0
	}
	return max(c.Deadline.Sub(now)/admissionDivisor, time.Millisecond)
}

// Final reports whether the call has reached its response or refusal.
func (c Call) Final() bool { return c.Step.Kind != Wait }

// WithOutcome returns the call with the outcome of one attempt set.
func (c Call) WithOutcome(attempt int, o Outcome) Call {
	attempts := append([]Attempt(nil), c.Attempts...)
	attempts[attempt].Outcome = &o
	c.Attempts = attempts
	return c
}

// NextDecisionAt returns when Continue is due next if no outcome arrives
// before; zero for never.
func (c Call) NextDecisionAt() time.Time {
	if c.Final() || len(c.Attempts) == 0 {
		return time.Time{}
	}
	next := c.expiry()
	for _, due := range []time.Time{c.RetryAt, c.HedgeAt} {
		if !due.IsZero() && due.Before(next) {
			next = due
		}
	}
	return next
}
