package idempotency

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// ClaimState is the state of a claim at the receiving node.
type ClaimState uint8

// The states of a claim.
const (
	// Wanted: not decided yet.
	Wanted ClaimState = iota
	// Held: the claim is granted and the attempt is allowed to run; see
	// Claim.Usable.
	Held
	// Repeated: an earlier run completed; Claim.Answer is its response.
	Repeated
	// Refused: the attempt must not run; see Claim.Refusal.
	Refused
	// Ended: the attempt has ended; its end is reported to the primary.
	Ended
)

// claimRetryInterval is the pause between two tries to send a claim to the
// primary.
const claimRetryInterval = 50 * time.Millisecond

// reportRetryInterval is the pause between two reports of an attempt's end.
const reportRetryInterval = time.Second

// Claim is the claim of a key for one attempt, at the node that received the
// request. It is a value: its methods return a modified copy.
type Claim struct {
	Attempt string
	Key     ID
	Digest  Digest
	// Run is the time that the attempt can take.
	Run     time.Duration
	Started time.Time
	State   ClaimState
	// Asked is true while a primary can have the key recorded for this attempt,
	// so that the attempt's end has to be reported.
	Asked bool
	// SentAt is when the claim was last sent. RetryAt is the earliest time to
	// send the next message; zero means at once.
	SentAt, RetryAt time.Time
	// Answer is the response of an earlier run, or of this one after its end;
	// nil if it is not stored.
	Answer  *Answer
	Refusal *verdict.Error
	// Verdict is how the attempt ended, EndedAt when.
	Verdict verdict.Verdict
	EndedAt time.Time
}

// Usable reports whether the request can be sent to a backend server now.
func (c Claim) Usable(now time.Time, cfg Config) bool {
	return c.State == Held && elapsed(c.SentAt, now) <= cfg.GrantLife
}

// Settle applies the timeouts: a claim that reached no primary in time is
// refused, and a report that no primary accepted in time is given up. It
// reports whether the claim's row can be deleted.
func (c Claim) Settle(now time.Time, cfg Config) (Claim, bool) {
	switch {
	case c.State == Wanted && now.Sub(c.Started) >= cfg.Patience:
		// This attempt did not run, but an earlier one can have run.
		return c.refuse(verdict.MayHaveRun, verdict.KeyHomeUnreached), false
	case c.State == Ended && !c.Asked:
		return c, true
	case c.State == Ended:
		return c, now.Sub(c.EndedAt) >= cfg.ReportFor
	}
	return c, false
}

// Due reports whether a message to the primary is due.
func (c Claim) Due(now time.Time) bool {
	return (c.State == Wanted || c.State == Ended) && !now.Before(c.RetryAt)
}

// Sent returns the claim after it was sent to a primary.
func (c Claim) Sent(now time.Time) Claim {
	c.Asked = true
	c.SentAt = now
	return c
}

// Replied returns the claim after the reply to the last message with it.
func (c Claim) Replied(now time.Time, cfg Config, r Reply) Claim {
	if c.State != Wanted {
		return c
	}
	switch r.Status {
	case Granted:
		if elapsed(c.SentAt, now) > cfg.GrantLife {
			return c.scheduleRetry(now, claimRetryInterval)
		}
		c.State = Held
		return c
	case NotHome:
		return c.scheduleRetry(now, claimRetryInterval)
	}
	c.Asked = false
	switch r.Status {
	case Answered:
		c.State, c.Answer = Repeated, r.Answer
		return c
	case AnswerNotKept:
		return c.refuse(verdict.Ran, verdict.KeyAnswerNotKept)
	case InFlight:
		return c.refuse(verdict.MayHaveRun, verdict.KeyInFlight)
	case Unknown:
		return c.refuse(verdict.MayHaveRun, verdict.KeyUnknown)
	case Reused:
		return c.refuse(verdict.NotRun, verdict.KeyReused)
	default:
		return c.refuse(verdict.NotRun, verdict.KeysFull)
	}
}

// Unsent returns the claim after a message could not be sent because the
// primary or its address is unknown.
func (c Claim) Unsent(now time.Time) Claim { return c.scheduleRetry(now, claimRetryInterval) }

// NotReported returns the claim after the primary did not accept the report of
// the attempt's end.
func (c Claim) NotReported(now time.Time) Claim { return c.scheduleRetry(now, reportRetryInterval) }

// End returns the claim after the attempt ended with verdict v. a is its
// response, or nil if it is not stored.
func (c Claim) End(now time.Time, v verdict.Verdict, a *Answer) Claim {
	c.State = Ended
	c.Verdict, c.Answer = v, a
	c.EndedAt, c.RetryAt = now, time.Time{}
	return c
}

func (c Claim) scheduleRetry(now time.Time, after time.Duration) Claim {
	c.RetryAt = now.Add(after)
	return c
}

func (c Claim) refuse(v verdict.Verdict, reason verdict.Reason) Claim {
	c.State = Refused
	c.Refusal = verdict.New(v, reason, nil)
	return c
}

// Request returns the message that claims the key at its shard's primary.
func (c Claim) Request(primary Holder) *ClaimRequest {
	return &ClaimRequest{Key: c.Key, Digest: c.Digest, Attempt: c.Attempt, To: primary, Run: c.Run}
}

// Report returns the message that reports the attempt's end to the primary.
func (c Claim) Report(primary Holder) *EndReport {
	return &EndReport{
		Key: c.Key, Digest: c.Digest, Attempt: c.Attempt, To: primary, Verdict: c.Verdict, Answer: c.Answer,
	}
}

// Next returns how long until the claim has to be checked again; zero if only a
// reply or the front end changes it.
func (c Claim) Next(now time.Time, cfg Config) time.Duration {
	var next time.Time
	switch c.State {
	case Wanted:
		next = c.Started.Add(cfg.Patience)
	case Ended:
		next = c.EndedAt.Add(cfg.ReportFor)
	default:
		return 0
	}
	if c.RetryAt.After(now) && c.RetryAt.Before(next) {
		next = c.RetryAt
	}
	return max(next.Sub(now), time.Millisecond)
}
