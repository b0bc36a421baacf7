package idempotency

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// ClaimState is where an asker's claim stands.
type ClaimState uint8

// The states of a claim.
const (
	// Wanted: not decided yet.
	Wanted ClaimState = iota
	// Held: the attempt may run; see Usable.
	Held
	// Repeated: the first run's answer is Claim.Answer.
	Repeated
	// Refused: the attempt must not run; see Claim.Refusal.
	Refused
	// Ended: the attempt has ended; the home is told.
	Ended
)

// retryInterval is the pause between two tries to reach a key's home.
const retryInterval = 50 * time.Millisecond

// reportInterval is the pause between two reports of an attempt's end.
const reportInterval = time.Second

// Claim is the claim of one attempt at the node that took the request. It is a
// value.
type Claim struct {
	Attempt string
	Key     ID
	Digest  Digest
	// Run is the time that the attempt may take.
	Run     time.Duration
	Started time.Time
	State   ClaimState
	// Asked is true while a home may hold the key for this attempt.
	Asked bool
	// SentAt is when the last claim was sent; RetryAt is when to try again,
	// zero while one is under way.
	SentAt, RetryAt time.Time
	Answer          *Answer
	Refusal         *verdict.Error
	// Verdict is how the attempt ended, EndedAt when.
	Verdict verdict.Verdict
	EndedAt time.Time
}

// Usable reports whether the request may be sent to a backend server now.
func (c Claim) Usable(now time.Time, cfg Config) bool {
	return c.State == Held && elapsed(c.SentAt, now) <= cfg.GrantLife
}

// Settle ends what is out of time: a claim that reached no home, and a report
// that nobody took. It reports whether the row is of no more use.
func (c Claim) Settle(now time.Time, cfg Config) (Claim, bool) {
	switch {
	case c.State == Wanted && now.Sub(c.Started) >= cfg.Patience:
		// This attempt did not run, but one before it may have.
		return c.refuse(verdict.MayHaveRun, verdict.KeyHomeUnreached), false
	case c.State == Ended && !c.Asked:
		return c, true
	case c.State == Ended:
		return c, now.Sub(c.EndedAt) >= cfg.ReportFor
	}
	return c, false
}

// Due reports whether something is to be sent now.
func (c Claim) Due(now time.Time) bool {
	return (c.State == Wanted || c.State == Ended) && !now.Before(c.RetryAt)
}

// Sent notes that a claim is on its way.
func (c Claim) Sent(now time.Time) Claim {
	c.Asked = true
	c.SentAt = now
	return c
}

// Replied notes a home's reply to the claim sent last.
func (c Claim) Replied(now time.Time, cfg Config, r Reply) Claim {
	if c.State != Wanted {
		return c
	}
	switch r.Status {
	case Granted:
		if elapsed(c.SentAt, now) > cfg.GrantLife {
			return c.retry(now, retryInterval)
		}
		c.State = Held
		return c
	case NotHome:
		return c.retry(now, retryInterval)
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

// Unsent notes that no home could be asked.
func (c Claim) Unsent(now time.Time) Claim { return c.retry(now, retryInterval) }

// NotReported notes that the report of the end was not taken.
func (c Claim) NotReported(now time.Time) Claim { return c.retry(now, reportInterval) }

// End notes how the attempt ended.
func (c Claim) End(now time.Time, v verdict.Verdict, a *Answer) Claim {
	c.State = Ended
	c.Verdict, c.Answer = v, a
	c.EndedAt, c.RetryAt = now, time.Time{}
	return c
}

func (c Claim) retry(now time.Time, after time.Duration) Claim {
	c.RetryAt = now.Add(after)
	return c
}

func (c Claim) refuse(v verdict.Verdict, reason verdict.Reason) Claim {
	c.State = Refused
	c.Refusal = verdict.New(v, reason, nil)
	return c
}

// Request returns the message that claims the key at its home.
func (c Claim) Request(home Holder) *ClaimRequest {
	return &ClaimRequest{Key: c.Key, Digest: c.Digest, Attempt: c.Attempt, To: home, Run: c.Run}
}

// Report returns the message that tells the key's home how the attempt ended.
func (c Claim) Report(home Holder) *EndReport {
	return &EndReport{
		Key: c.Key, Digest: c.Digest, Attempt: c.Attempt, To: home, Verdict: c.Verdict, Answer: c.Answer,
	}
}

// Next returns how long until the claim is to be looked at again; zero when
// only a reply or the front end moves it on.
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
