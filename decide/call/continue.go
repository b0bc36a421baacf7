package call

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/decide/retry"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// advice is when a caller may come back after a refusal for load, where no
// node said better.
const advice = 250 * time.Millisecond

// Continue takes the step that follows from the outcomes of the attempts and
// from the time; the same call comes back when there is nothing to do.
func Continue(now time.Time, c Call, w World) Call {
	if c.Final() || len(c.Attempts) == 0 {
		return c
	}
	if winner, found := c.answered(); found {
		w.Service(c.Rule.Service).found(true)
		return c.next(Step{Kind: Answer, Attempt: winner})
	}
	if !now.Before(c.limit()) {
		return c.giveUp(verdict.DeadlineExceeded, w)
	}
	if c.underWay() {
		return c.hedge(now, w)
	}
	return c.retry(now, w)
}

// limit is when the call is refused whatever comes: at the deadline, and a
// little later while an attempt is under way, so that the receiving node's own
// word on the deadline, which knows the verdict, arrives first.
func (c Call) limit() time.Time {
	if c.underWay() {
		return c.Deadline.Add(Grace)
	}
	return c.Deadline
}

// answered returns the first attempt that has an answer to pass on. A failure
// of the backend server is one only where no other attempt may be made.
func (c Call) answered() (attempt int, found bool) {
	return c.firstAnswer(func(o Outcome) bool { return !o.Failed || !c.retriesFailures() })
}

// retriesFailures reports whether an answer that says that the backend server
// failed is reason enough to ask another one.
func (c Call) retriesFailures() bool {
	return c.MaxBackends > 0 && c.Rule.Class.Idempotent()
}

func (c Call) firstAnswer(fits func(Outcome) bool) (attempt int, found bool) {
	for i, a := range c.Attempts {
		if a.Outcome != nil && a.Outcome.Reason == "" && fits(*a.Outcome) {
			return i, true
		}
	}
	return 0, false
}

// giveUp ends a call that is not tried again: with a backend server's answer
// where there is one, else with a refusal.
func (c Call) giveUp(reason verdict.Reason, w World) Call {
	service := w.Service(c.Rule.Service)
	if attempt, found := c.firstAnswer(func(Outcome) bool { return true }); found {
		service.found(true)
		return c.next(Step{Kind: Answer, Attempt: attempt})
	}
	c = c.refuseAfter(reason)
	if c.MaxBackends > 0 && c.Step.Refusal.Verdict == verdict.NotRun {
		service.found(false)
		c.Step.RetryAfter = service.advice(w.Random)
	}
	return c
}

func (c Call) underWay() bool {
	for _, a := range c.Attempts {
		if a.Outcome == nil {
			return true
		}
	}
	return false
}

// hedge makes a second attempt beside the first when it is due, the budget
// allows it, and there is another backend server.
func (c Call) hedge(now time.Time, w World) Call {
	if c.HedgeAt.IsZero() || now.Before(c.HedgeAt) {
		return c
	}
	c.HedgeAt = time.Time{}
	service := w.Service(c.Rule.Service)
	left, allowed := service.Hedges.Withdraw()
	if !allowed {
		return c
	}
	target, found := w.Pick(c.query(now, w), w.Candidates(c.Rule.Service))
	if !found || c.tried(target.Host) {
		return c
	}
	service.Hedges = left
	return c.attempt(Attempt{Target: target, Sent: now, Hedge: true})
}

// retry plans another attempt after the last one failed, makes it when it is
// due, or refuses.
func (c Call) retry(now time.Time, w World) Call {
	last := *c.Attempts[len(c.Attempts)-1].Outcome
	c.HedgeAt = time.Time{} // nothing is under way that a hedge could overtake
	if !c.RetryAt.IsZero() {
		if now.Before(c.RetryAt) {
			return c
		}
		return c.sendAgain(now, w, last)
	}
	if !c.mayRetry(last, *w.Service(c.Rule.Service)) || last.Failed && !c.stoodOut(last, w) {
		return c.giveUp(last.Reason, w)
	}
	if !c.isFree(last) {
		service := w.Service(c.Rule.Service)
		left, allowed := service.Retries.Withdraw(w.Budget)
		if !allowed {
			return c.giveUp(verdict.RetryBudget, w)
		}
		service.Retries = left
		if delay := retry.Delay(c.retries()+1, w.Random); delay > 0 {
			c.RetryAt = now.Add(delay)
			return c
		}
	}
	return c.sendAgain(now, w, last)
}

const (
	// maxTries bounds the nodes that one request is taken to while none of them
	// passes it on. Each costs a round trip between nodes; past four the service
	// as a whole is full.
	maxTries = 4
	// minTries is the same for lookups to a service that turns most away.
	minTries = 2
	// sheddingPerTry is the part of the latest requests, turned away by every
	// node asked, that takes one try off.
	sheddingPerTry = 0.15
)

// triesFor is how many nodes a request is taken to. In a crest each further try
// finds room more seldom, and what it costs the node asked is missing there for
// the requests that it has admitted; a lookup is better told to come back.
func (c Call) triesFor(s Service) int {
	if c.Rule.Class != mesh.Lookup {
		return maxTries
	}
	return max(maxTries-int(s.Shedding/sheddingPerTry), minTries)
}

// isFree reports whether the next node is asked at once and without drawing on
// the retry budget. A drain says nothing of the load elsewhere. Where the route
// bounds the backend servers that a request may reach, a refusal by an
// admission point costs no backend server anything, so only requests that
// reached one are retries.
func (c Call) isFree(last Outcome) bool {
	if c.MaxBackends > 0 {
		return c.reached() == 0
	}
	return movesOn(last.Reason)
}

// movesOn reports whether the refusal means that the host must not be asked
// again.
func movesOn(reason verdict.Reason) bool {
	return reason == verdict.Draining || reason == verdict.WrongHost
}

// reached is the number of attempts that a backend server may have seen.
func (c Call) reached() int {
	count := 0
	for _, a := range c.Attempts {
		if a.Outcome == nil || a.Outcome.Verdict != verdict.NotRun || a.Outcome.Reason == verdict.BackendShed {
			count++
		}
	}
	return count
}

// standsOut is by how much, in 100 requests, a host has to fail more than the
// others of its service before its failure is tried elsewhere.
const standsOut = 15

// stoodOut reports whether the host of the last attempt fails more than the
// others do. Where all of them fail alike the cause lies behind them, in a
// service that they call, and a second run would only call it once more.
func (c Call) stoodOut(last Outcome, w World) bool {
	host := c.Attempts[len(c.Attempts)-1].Target.Host
	total, count := 0, 0
	for _, candidate := range w.Candidates(c.Rule.Service) {
		if candidate.Host != host && candidate.Report.Load.Slots > 0 {
			total += candidate.Report.Load.Failing
			count++
		}
	}
	return count > 0 && last.Load.Failing > total/count+standsOut
}

// mayTryMore reports whether the bound on attempts leaves another one.
func (c Call) mayTryMore(s Service) bool {
	if c.MaxBackends > 0 {
		return c.reached() < c.MaxBackends && len(c.Attempts) < c.triesFor(s)
	}
	return c.retries() < c.Rule.Retries
}

// mayRetry reports whether another attempt is safe and allowed. It is safe
// when no attempt can have run, or when the class may run more than once.
func (c Call) mayRetry(last Outcome, s Service) bool {
	safe := c.worst() == verdict.NotRun || c.Rule.Class.Idempotent()
	return safe && last.Replayable && !last.Exhausted && c.mayTryMore(s)
}

// sendAgain makes another attempt. When there is no other backend server, one
// that was tried may be asked again, unless it drains.
func (c Call) sendAgain(now time.Time, w World, last Outcome) Call {
	target, found := w.Pick(c.query(now, w), w.Candidates(c.Rule.Service))
	onlyOthers := c.MaxBackends > 0 || movesOn(last.Reason)
	if !found || onlyOthers && c.tried(target.Host) {
		return c.giveUp(last.Reason, w)
	}
	return c.attempt(Attempt{Target: target, Sent: now})
}

func (c Call) retries() int {
	count := -1
	for _, a := range c.Attempts {
		if !a.Hedge {
			count++
		}
	}
	return count
}

// worst is the least safe verdict of the attempts; one under way may run.
func (c Call) worst() verdict.Verdict {
	worst := verdict.NotRun
	for _, a := range c.Attempts {
		if a.Outcome == nil {
			return verdict.MayHaveRun
		}
		if a.Outcome.Verdict != verdict.NotRun {
			worst = verdict.MayHaveRun
		}
	}
	return worst
}

// refuseAfter refuses a request that was tried: with the verdict of its worst
// attempt, and the latest advice.
func (c Call) refuseAfter(reason verdict.Reason) Call {
	c.RetryAt = time.Time{}
	c = c.refuse(c.worst(), reason)
	c.Step.Exhausted = true
	for _, a := range c.Attempts {
		if a.Outcome != nil && a.Outcome.RetryAfter > 0 {
			c.Step.RetryAfter = a.Outcome.RetryAfter
		}
	}
	if c.Step.RetryAfter == 0 && (reason == verdict.RetryBudget || reason == verdict.Shed) {
		c.Step.RetryAfter = advice
	}
	return c
}

func (c Call) tried(host mesh.HostID) bool {
	for _, a := range c.Attempts {
		if a.Target.Host == host {
			return true
		}
	}
	return false
}
