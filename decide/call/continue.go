package call

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/decide/retry"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// defaultRetryAfter is the retry delay after a refusal for overload when no
// node returned one.
const defaultRetryAfter = 250 * time.Millisecond

// Continue decides the next step from the outcomes of the attempts and the
// time, or the first step of a call whose token has been decided. It returns the
// call unchanged when nothing is due.
func Continue(now time.Time, c Call, w Environment) Call {
	if c.Step.Number == 0 && c.Token.State == TokenDecided {
		return c.resume(now, w).returnToken()
	}
	if c.Final() || len(c.Attempts) == 0 {
		return c
	}
	return c.next(now, w).returnToken()
}

// next decides the next step of a call that has attempts.
func (c Call) next(now time.Time, w Environment) Call {
	if winner, found := c.winningAttempt(); found {
		w.Service(c.Rule.Service).recordCapacity(true)
		return c.withStep(Step{Kind: Answer, Attempt: winner})
	}
	if !now.Before(c.expiry()) {
		return c.giveUp(verdict.DeadlineExceeded, w)
	}
	if c.hasOutstanding() {
		return c.hedge(now, w)
	}
	return c.retry(now, w)
}

// expiry returns when the call is refused without waiting further: at the
// deadline, or Grace later while an attempt is outstanding, so that the
// receiving node's own refusal, which carries the verdict, arrives first.
func (c Call) expiry() time.Time {
	if c.hasOutstanding() {
		return c.Deadline.Add(c.Grace)
	}
	return c.Deadline
}

// winningAttempt returns the first attempt whose response can be passed on. A
// server error counts only where it is not retried at another backend server.
func (c Call) winningAttempt() (attempt int, found bool) {
	return c.firstResponse(func(o Outcome) bool { return !o.BackendFailed || !c.retriesServerErrors() })
}

// retriesServerErrors reports whether the route allows a retry at another
// backend server after a server error.
func (c Call) retriesServerErrors() bool {
	return c.MaxBackendAttempts > 0 && c.Rule.Class.Idempotent()
}

// firstResponse returns the first attempt with a response that accept allows.
func (c Call) firstResponse(accept func(Outcome) bool) (attempt int, found bool) {
	for i, a := range c.Attempts {
		if a.Outcome != nil && a.Outcome.Reason == "" && accept(*a.Outcome) {
			return i, true
		}
	}
	return 0, false
}

// giveUp ends a call that is not retried: with the response of a backend server
// if there is one, else with a refusal.
func (c Call) giveUp(reason verdict.Reason, w Environment) Call {
	service := w.Service(c.Rule.Service)
	if attempt, found := c.firstResponse(func(Outcome) bool { return true }); found {
		service.recordCapacity(true)
		return c.withStep(Step{Kind: Answer, Attempt: attempt})
	}
	c = c.refuseAfterAttempts(reason)
	if c.MaxBackendAttempts > 0 && c.Step.Refusal.Verdict == verdict.NotRun {
		service.recordCapacity(false)
		c.Step.RetryAfter = service.retryAfter(w.Random)
	}
	return c
}

func (c Call) hasOutstanding() bool {
	for _, a := range c.Attempts {
		if a.Outcome == nil {
			return true
		}
	}
	return false
}

// hedge adds a second attempt beside the first when it is due, the budget
// allows it, and there is another backend server.
func (c Call) hedge(now time.Time, w Environment) Call {
	if c.HedgeAt.IsZero() || now.Before(c.HedgeAt) {
		return c
	}
	c.HedgeAt = time.Time{}
	service := w.Service(c.Rule.Service)
	withdrawn, allowed := service.HedgeState.Withdraw()
	if !allowed {
		return c
	}
	target, found := w.Pick(c.query(now, w), w.Candidates(c.Rule.Service))
	if !found || c.hasTried(target.Host) {
		return c
	}
	service.HedgeState = withdrawn
	return c.withAttempt(Attempt{Target: target, Sent: now, Hedge: true})
}

// retry plans another attempt after the last one failed, adds it when it is
// due, or refuses the request.
func (c Call) retry(now time.Time, w Environment) Call {
	last := *c.Attempts[len(c.Attempts)-1].Outcome
	c.HedgeAt = time.Time{} // no attempt is outstanding that a hedge could overtake
	if !c.RetryAt.IsZero() {
		if now.Before(c.RetryAt) {
			return c
		}
		return c.retryNow(now, w, last)
	}
	if !c.canRetry(now, last, *w.Service(c.Rule.Service)) || last.BackendFailed && !c.isOutlier(last, w) {
		return c.giveUp(last.Reason, w)
	}
	if !c.skipsRetryBudget(last) {
		service := w.Service(c.Rule.Service)
		withdrawn, allowed := service.RetryBudget.Withdraw(w.RetryPolicy)
		if !allowed {
			return c.giveUp(verdict.RetryBudget, w)
		}
		service.RetryBudget = withdrawn
		if delay := retry.Delay(c.retryCount()+1, w.Random); delay > 0 {
			c.RetryAt = now.Add(delay)
			return c
		}
	}
	return c.retryNow(now, w, last)
}

const (
	// maxAttempts limits the nodes that one request is sent to while all of
	// them refuse it. Each attempt costs a round trip between nodes, and after
	// four refusals the service as a whole is taken to be full.
	maxAttempts = 4
	// minAttempts is the limit for idempotent requests to a service that refuses
	// most requests.
	minAttempts = 2
	// shedRatioPerAttempt is the rise of the service's shed ratio that lowers
	// the limit for idempotent requests by one attempt.
	shedRatioPerAttempt = 0.15
)

// attemptLimit returns the maximum number of nodes that the request is sent to.
// During a load peak each further attempt is less likely to find capacity, and
// handling it takes time from the requests that the node has admitted, so
// idempotent requests are refused earlier and the caller retries.
//
// A request that has missed its objective has one attempt less: it only gets a
// slot that no other request waits for, and such a slot is rare then.
func (c Call) attemptLimit(now time.Time, s ServiceState) int {
	if !c.Rule.Class.Idempotent() {
		return maxAttempts
	}
	limit := max(maxAttempts-int(s.ShedRatio/shedRatioPerAttempt), minAttempts)
	if c.missedObjective(now) {
		limit--
	}
	return limit
}

// skipsRetryBudget reports whether the next attempt is made at once and without
// drawing on the retry budget. A refusal because of a drain says nothing about
// the load elsewhere. Where the route limits the backend servers that a request
// reaches, a refusal by an admission point costs the backend server nothing, so
// only attempts that reached a backend server count as retries.
func (c Call) skipsRetryBudget(last Outcome) bool {
	if c.MaxBackendAttempts > 0 {
		return c.backendAttempts() == 0
	}
	return excludesHost(last.Reason)
}

// excludesHost reports whether a refusal with the reason rules out another
// attempt at the same host.
func excludesHost(reason verdict.Reason) bool {
	return reason == verdict.Draining || reason == verdict.WrongHost
}

// backendAttempts returns the number of attempts that might have reached a
// backend server.
func (c Call) backendAttempts() int {
	count := 0
	for _, a := range c.Attempts {
		if a.Outcome == nil || a.Outcome.Verdict != verdict.NotRun || a.Outcome.Reason == verdict.BackendShed {
			count++
		}
	}
	return count
}

// outlierMarginPercent is how much higher, in percentage points, a host's
// failure rate is than the mean of the service's other hosts before its server
// errors are retried elsewhere.
const outlierMarginPercent = 15

// isOutlier reports whether the host of the last attempt fails more than the
// service's other hosts. Where all hosts fail alike, the cause is a service
// that they call, and a retry would only call that service once more.
func (c Call) isOutlier(last Outcome, w Environment) bool {
	host := c.Attempts[len(c.Attempts)-1].Target.Host
	total, count := 0, 0
	for _, candidate := range w.Candidates(c.Rule.Service) {
		if candidate.Host != host && candidate.Stats.Load.Slots > 0 {
			total += candidate.Stats.Load.Failing
			count++
		}
	}
	return count > 0 && last.Load.Failing > total/count+outlierMarginPercent
}

// hasAttemptsLeft reports whether the limits on attempts allow another one.
func (c Call) hasAttemptsLeft(now time.Time, s ServiceState) bool {
	if c.MaxBackendAttempts > 0 {
		return c.backendAttempts() < c.MaxBackendAttempts && len(c.Attempts) < c.attemptLimit(now, s)
	}
	return c.retryCount() < c.Rule.Retries
}

// canRetry reports whether another attempt is safe and allowed. It is safe when
// it is certain that no attempt ran, or when the class is idempotent.
func (c Call) canRetry(now time.Time, last Outcome, s ServiceState) bool {
	safe := c.worstVerdict() == verdict.NotRun || c.Rule.Class.Idempotent()
	return safe && last.Replayable && !last.RetriesExhausted && c.hasAttemptsLeft(now, s)
}

// retryNow adds another attempt. When every backend server was tried, one of
// them is tried again, unless the route limits the backend servers that a
// request reaches or the last refusal excludes its host.
func (c Call) retryNow(now time.Time, w Environment, last Outcome) Call {
	target, found := w.Pick(c.query(now, w), w.Candidates(c.Rule.Service))
	onlyUntried := c.MaxBackendAttempts > 0 || excludesHost(last.Reason)
	if !found || onlyUntried && c.hasTried(target.Host) {
		return c.giveUp(last.Reason, w)
	}
	return c.withAttempt(Attempt{Target: target, Sent: now})
}

// retryCount returns the number of retries so far; hedges do not count.
func (c Call) retryCount() int {
	count := -1
	for _, a := range c.Attempts {
		if !a.Hedge {
			count++
		}
	}
	return count
}

// worstVerdict returns NotRun when no attempt can have run, else MayHaveRun. An
// outstanding attempt counts as MayHaveRun.
func (c Call) worstVerdict() verdict.Verdict {
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

// refuseAfterAttempts refuses the request with the worst verdict of its
// attempts and the last retry delay that a node returned.
func (c Call) refuseAfterAttempts(reason verdict.Reason) Call {
	c.RetryAt = time.Time{}
	c = c.refuse(c.worstVerdict(), reason)
	c.Step.RetriesExhausted = true
	for _, a := range c.Attempts {
		if a.Outcome != nil && a.Outcome.RetryAfter > 0 {
			c.Step.RetryAfter = a.Outcome.RetryAfter
		}
	}
	if c.Step.RetryAfter == 0 && (reason == verdict.RetryBudget || reason == verdict.Shed) {
		c.Step.RetryAfter = defaultRetryAfter
	}
	return c
}

func (c Call) hasTried(host mesh.HostID) bool {
	for _, a := range c.Attempts {
		if a.Target.Host == host {
			return true
		}
	}
	return false
}
