// Package call decides the next step of one caller's request at the node that
// took it: where to send it, whether to try again, or what to answer. It holds
// no bytes: the HTTP side moves them and reports what came of each attempt.
package call

import (
	"math/rand/v2"
	"time"

	"github.com/marigoldshelf/marigoldshelf/decide/choose"
	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// Request is what the decision needs to know of a caller's request.
type Request struct {
	ID       string
	HostName string
	Path     string
	Arrived  time.Time
	// Deadline is the caller's own bound; zero for none.
	Deadline time.Time
}

// StepKind is what the HTTP side has to do next.
type StepKind uint8

// The kinds of step.
const (
	// Wait: nothing yet.
	Wait StepKind = iota
	// Send: forward the request to Step.Target.
	Send
	// Answer: pass on the answer of the last attempt.
	Answer
	// Refuse: answer with Step.Refusal.
	Refuse
)

// Step is one instruction to the HTTP side. Each step of a call has a higher
// number than the one before.
type Step struct {
	Number  int
	Kind    StepKind
	Target  choose.Candidate
	Refusal *verdict.Error
}

// Outcome is what came of one attempt.
type Outcome struct {
	Verdict verdict.Verdict
	// Reason is why it failed; empty when there is an answer to pass on.
	Reason verdict.Reason
	// Replayable is true while the request's body can be sent again from its
	// start.
	Replayable bool
}

// Attempt is one sending of the request.
type Attempt struct {
	Host    mesh.HostID
	Outcome *Outcome // nil while it is under way
}

// Call is the state of one request. It is a value.
type Call struct {
	Request  Request
	Rule     mesh.Rule
	Version  mesh.Version
	Deadline time.Time
	Attempts []Attempt
	Step     Step
}

// World is what the decision may look at.
type World struct {
	// Routes is the configuration in force; nil for none.
	Routes *route.Table
	// Zone is the node's own zone.
	Zone mesh.Zone
	// Candidates returns the backend servers of a service that may get work.
	Candidates func(mesh.ServiceName) []choose.Candidate
	Random     *rand.Rand
}

// Begin routes a new request and takes its first step. The request keeps the
// version it was routed under until its end.
func Begin(now time.Time, r Request, w World) Call {
	c := Call{Request: r}
	if w.Routes == nil {
		return c.refuse(verdict.NotRun, verdict.NoConfiguration)
	}
	rule, found := w.Routes.Match(r.HostName, r.Path)
	if !found {
		return c.refuse(verdict.NotRun, verdict.NoRoute)
	}
	c.Rule = rule
	c.Version = w.Routes.Version
	c.Deadline = r.Arrived.Add(rule.Deadline())
	if !r.Deadline.IsZero() && r.Deadline.Before(c.Deadline) {
		c.Deadline = r.Deadline
	}
	return c.send(now, w)
}

// Continue takes the step that follows from the outcome of the last attempt.
func Continue(now time.Time, c Call, w World) Call {
	if len(c.Attempts) == 0 {
		return c
	}
	last := c.Attempts[len(c.Attempts)-1].Outcome
	switch {
	case last == nil || c.Step.Kind != Send:
		return c
	case last.Reason == "":
		return c.next(Step{Kind: Answer})
	case !c.mayRetry(now, *last):
		return c.refuse(last.Verdict, last.Reason)
	}
	return c.send(now, w)
}

// mayRetry reports whether another attempt is safe, allowed and in time.
func (c Call) mayRetry(now time.Time, last Outcome) bool {
	safe := last.Verdict == verdict.NotRun || c.Rule.Class.Idempotent()
	return safe && last.Replayable && len(c.Attempts) <= c.Rule.Retries && now.Before(c.Deadline)
}

func (c Call) send(now time.Time, w World) Call {
	if !now.Before(c.Deadline) {
		return c.refuse(verdict.NotRun, verdict.DeadlineExceeded)
	}
	tried := make([]mesh.HostID, len(c.Attempts))
	for i, a := range c.Attempts {
		tried[i] = a.Host
	}
	query := choose.Query{Zone: w.Zone, Tried: tried, Random: w.Random}
	target, found := choose.Pick(query, w.Candidates(c.Rule.Service))
	if !found {
		return c.refuse(verdict.NotRun, verdict.NoBackend)
	}
	c.Attempts = append(c.Attempts[:len(c.Attempts):len(c.Attempts)], Attempt{Host: target.Host})
	return c.next(Step{Kind: Send, Target: target})
}

func (c Call) refuse(v verdict.Verdict, reason verdict.Reason) Call {
	return c.next(Step{Kind: Refuse, Refusal: verdict.New(v, reason, nil)})
}

func (c Call) next(s Step) Call {
	s.Number = c.Step.Number + 1
	c.Step = s
	return c
}

// WithOutcome returns the call with the outcome of its last attempt set.
func (c Call) WithOutcome(o Outcome) Call {
	attempts := append([]Attempt(nil), c.Attempts...)
	attempts[len(attempts)-1].Outcome = &o
	c.Attempts = attempts
	return c
}
