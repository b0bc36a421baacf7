package idempotency

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// ClaimState is the state of a claim at the receiving node.
type ClaimState uint8

// The states of a claim.
const (
	// ClaimPending: not decided yet.
	ClaimPending ClaimState = iota
	// ClaimGranted: the claim is granted and the attempt is allowed to run; see
	// Claim.Usable.
	ClaimGranted
	// ClaimReplayed: an earlier run completed; Claim.Response is its response.
	ClaimReplayed
	// ClaimRefused: the attempt must not run; see Claim.Refusal.
	ClaimRefused
	// ClaimEnded: the attempt has ended; its end is reported to the primary.
	ClaimEnded
)

// claimRetryInterval is the delay before a claim is sent to the primary again.
const claimRetryInterval = 50 * time.Millisecond

// inFlightWait is how long a claim waits for the end of an earlier attempt. The report
// of that end can still be on its way when the caller of that attempt has its response
// and repeats the request.
const inFlightWait = 500 * time.Millisecond

// reportRetryInterval is the delay before the next report of an attempt's end.
const reportRetryInterval = time.Second

// Claim is the claim of a key for one attempt, at the node that received the
// request. It is a value: its methods return a modified copy.
type Claim struct {
	Attempt string
	Key     KeyID
	Digest  Digest
	// RunTimeout is the maximum duration of the attempt.
	RunTimeout time.Duration
	Started    time.Time
	State      ClaimState
	// MayBeRecorded is true while a primary can have the key recorded for this
	// attempt, so that the attempt's end has to be reported.
	MayBeRecorded bool
	// SentAt is when the claim was last sent. RetryAt is the earliest time to
	// send the next message; zero means at once.
	SentAt, RetryAt time.Time
	// Response is the response of an earlier run, or of this one after its end;
	// nil if it is not stored.
	Response *StoredResponse
	Refusal  *verdict.Error
	// Verdict is how the attempt ended, EndedAt when.
	Verdict verdict.Verdict
	EndedAt time.Time
}

// Usable reports whether the request can be sent to a backend server now.
func (c Claim) Usable(now time.Time, cfg Config) bool {
	return c.State == ClaimGranted && elapsed(c.SentAt, now) <= cfg.GrantTTL
}

// CheckTimeouts applies the timeouts: a claim that reached no primary in time is
// refused, and a report that no primary accepted in time is no longer retried. It
// reports whether the claim's row can be deleted.
func (c Claim) CheckTimeouts(now time.Time, cfg Config) (Claim, bool) {
	switch {
	case c.State == ClaimPending && now.Sub(c.Started) >= cfg.ClaimTimeout:
		// This attempt did not run, but an earlier one can have run.
		return c.refuse(verdict.MayHaveRun, verdict.KeyPrimaryUnreachable), false
	case c.State == ClaimEnded && !c.MayBeRecorded:
		return c, true
	case c.State == ClaimEnded:
		return c, now.Sub(c.EndedAt) >= cfg.ReportTimeout
	}
	return c, false
}

// SendDue reports whether a message to the primary is due.
func (c Claim) SendDue(now time.Time) bool {
	return (c.State == ClaimPending || c.State == ClaimEnded) && !now.Before(c.RetryAt)
}

// WithClaimSent returns the claim after it was sent to a primary.
func (c Claim) WithClaimSent(now time.Time) Claim {
	c.MayBeRecorded = true
	c.SentAt = now
	return c
}

// WithReply returns the claim after the reply to the last message with it.
func (c Claim) WithReply(now time.Time, cfg Config, r Reply) Claim {
	if c.State != ClaimPending {
		return c
	}
	switch r.Status {
	case Granted:
		if elapsed(c.SentAt, now) > cfg.GrantTTL {
			return c.scheduleRetry(now, claimRetryInterval)
		}
		c.State = ClaimGranted
		return c
	case NotPrimary:
		return c.scheduleRetry(now, claimRetryInterval)
	}
	c.MayBeRecorded = false
	switch r.Status {
	case Replay:
		c.State, c.Response = ClaimReplayed, r.Response
		return c
	case ResponseNotStored:
		return c.refuse(verdict.Ran, verdict.KeyResponseNotStored)
	case InFlight:
		if now.Sub(c.Started) < inFlightWait {
			return c.scheduleRetry(now, claimRetryInterval)
		}
		return c.refuse(verdict.MayHaveRun, verdict.KeyInFlight)
	case OutcomeUnknown:
		return c.refuse(verdict.MayHaveRun, verdict.KeyOutcomeUnknown)
	case KeyReused:
		return c.refuse(verdict.NotRun, verdict.KeyReused)
	default:
		return c.refuse(verdict.NotRun, verdict.KeyTableFull)
	}
}

// WithSendFailure returns the claim after a message could not be sent because the
// primary or its address is unknown.
func (c Claim) WithSendFailure(now time.Time) Claim { return c.scheduleRetry(now, claimRetryInterval) }

// WithReportFailure returns the claim after the primary did not accept the
// report of the attempt's end.
func (c Claim) WithReportFailure(now time.Time) Claim {
	return c.scheduleRetry(now, reportRetryInterval)
}

// WithEnd returns the claim after the attempt ended with verdict v. response
// is nil if it is not stored.
func (c Claim) WithEnd(now time.Time, v verdict.Verdict, response *StoredResponse) Claim {
	c.State = ClaimEnded
	c.Verdict, c.Response = v, response
	c.EndedAt, c.RetryAt = now, time.Time{}
	return c
}

func (c Claim) scheduleRetry(now time.Time, after time.Duration) Claim {
	c.RetryAt = now.Add(after)
	return c
}

func (c Claim) refuse(v verdict.Verdict, reason verdict.Reason) Claim {
	c.State = ClaimRefused
	c.Refusal = verdict.New(v, reason, nil)
	return c
}

// Request returns the message that claims the key at its shard's primary.
func (c Claim) Request(primary Holder) *ClaimRequest {
	return &ClaimRequest{Key: c.Key, Digest: c.Digest, Attempt: c.Attempt, To: primary, RunTimeout: c.RunTimeout}
}

// Report returns the message that reports the attempt's end to the primary.
func (c Claim) Report(primary Holder) *EndReport {
	return &EndReport{
		Key: c.Key, Digest: c.Digest, Attempt: c.Attempt, To: primary, Verdict: c.Verdict, Response: c.Response,
	}
}

// NextCheckIn returns how long until the claim has to be checked again; zero if
// only a reply or the front end changes it.
func (c Claim) NextCheckIn(now time.Time, cfg Config) time.Duration {
	var next time.Time
	switch c.State {
	case ClaimPending:
		next = c.Started.Add(cfg.ClaimTimeout)
	case ClaimEnded:
		next = c.EndedAt.Add(cfg.ReportTimeout)
	default:
		return 0
	}
	if c.RetryAt.After(now) && c.RetryAt.Before(next) {
		next = c.RetryAt
	}
	return max(next.Sub(now), time.Millisecond)
}
