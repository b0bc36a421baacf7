// Package submit decides how a record is appended to the log and which result is
// returned to its author: the record is in the log with an outcome, it is not in
// the log, or neither is certain. It reads no clock and does no I/O.
package submit

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/decide/change"
)

// State is the state of a submission. It is part of the operators' API.
type State string

// The states of a submission.
const (
	// Pending: the record is being appended, or was appended and has not been
	// read back from the log.
	Pending State = "pending"
	// InLog: the record was read back from the log. Outcome is valid.
	InLog State = "in_log"
	// NotAppended: the platform refused every append of this submission. The
	// record is not in the log, unless an earlier submission or another node
	// appended it.
	NotAppended State = "not_appended"
	// OutcomeUnknown: an append was not confirmed and the record was not read
	// back before the deadline. The state changes to InLog if it is read back
	// later.
	OutcomeUnknown State = "unknown"
	// Refused: the record was not applied. Either it was not appended, because
	// the log would refuse it, or another record with its ID is in the log.
	// Outcome is valid.
	Refused State = "refused"
)

const (
	// retryDelay is the delay before the second append of a record. It doubles
	// with each further append.
	retryDelay = 300 * time.Millisecond
	// maxDelayDoublings bounds the delay at 9.6 s.
	maxDelayDoublings = 5
	// settledRetention is how long a submission is kept after it is settled, for
	// requests that wait for it and requests that repeat it.
	settledRetention = 30 * time.Second
	// MaxSubmissions bounds the submissions of a node.
	MaxSubmissions = 1024
)

// Submission is a record that is to be appended to the log, with the results of
// its appends so far.
type Submission struct {
	Record  change.Record
	State   State
	Outcome change.Outcome
	// Deadline is when a pending submission is settled without having been read
	// back.
	Deadline time.Time
	// Appended is true once the platform confirmed an append.
	Appended bool
	// MayHaveAppended is true once an unconfirmed append may have taken effect.
	MayHaveAppended bool
	// FailedAppends counts the failed appends since the submission became pending.
	FailedAppends int
	// RetryAt is the earliest time of the next append after a failed one; zero
	// before the first append, while an append is in progress and after one was
	// confirmed.
	RetryAt time.Time
	// DropAt is when a settled submission is deleted; zero while pending.
	DropAt time.Time
}

// AddOrJoin returns the submission for a new request. earlier is the node's
// submission with the same record ID, if found.
//
// A repeat of the same record joins the earlier submission. If that one ended
// without a certain result, it becomes pending again and keeps the results of its
// appends. A different record with the same ID is refused. AddOrJoin reports
// false if the node has no earlier submission and count, the number of its
// submissions, has reached MaxSubmissions.
func AddOrJoin(earlier Submission, found bool, count int, r change.Record, deadline time.Time) (Submission, bool) {
	if !found {
		return Submission{Record: r, State: Pending, Deadline: deadline}, count < MaxSubmissions
	}
	if change.Fingerprint(earlier.Record) != change.Fingerprint(r) {
		return Submission{Record: r, State: Refused, Outcome: change.Outcome{
			Refusal: change.IDReused, Detail: "another request with this ID is under way",
		}}, true
	}
	s := earlier
	if s.State == InLog || s.State == Refused {
		return s, true
	}
	s.State = Pending
	s.FailedAppends = 0
	s.DropAt = time.Time{}
	if deadline.After(s.Deadline) {
		s.Deadline = deadline
	}
	return s, true
}

// ResolveFromState returns the result of a record that does not need to be
// appended, and whether there is one: the record is in the log already, another
// record has its ID, or it is a proposal that the log would refuse.
func ResolveFromState(state change.State, r change.Record) (Submission, bool) {
	s := Submission{Record: r, State: Refused}
	if seen, found := state.FindSeen(r.ID); found {
		s.Outcome = seen.OutcomeFor(r, state.Version)
		if s.Outcome.Refusal != change.IDReused {
			s.State = InLog
		}
		return s, true
	}
	// A base newer than the state means that this node lags behind the log. Only
	// the fold of the log can decide on the proposal.
	if r.Kind != change.Propose || r.Base > state.Version {
		return s, false
	}
	s.Outcome = state.Preview(r)
	return s, !s.Outcome.Accepted
}

// AppendResult is the result of one append. An append that has neither flag set did
// not take effect.
type AppendResult struct {
	// Confirmed: the record is in the log.
	Confirmed bool
	// MayBeInLog: the append was not confirmed but may have taken effect.
	MayBeInLog bool
}

// WithAppendResult returns the submission after one append. A failed append is
// retried after a delay that doubles with each failure.
func (s Submission) WithAppendResult(now time.Time, a AppendResult) Submission {
	switch {
	case a.Confirmed:
		s.Appended = true
		s.RetryAt = time.Time{}
	default:
		s.MayHaveAppended = s.MayHaveAppended || a.MayBeInLog
		s.RetryAt = now.Add(retryDelay << min(s.FailedAppends, maxDelayDoublings))
		s.FailedAppends++
	}
	return s
}

// Expire settles a pending submission whose deadline has passed. The result is
// NotAppended only if no append was confirmed, unconfirmed or in progress. Other
// submissions are returned unchanged.
func (s Submission) Expire(now time.Time) Submission {
	if s.State != Pending || now.Before(s.Deadline) {
		return s
	}
	inProgress := s.RetryAt.IsZero()
	if s.Appended || s.MayHaveAppended || inProgress {
		s.State = OutcomeUnknown
	} else {
		s.State = NotAppended
	}
	s.DropAt = now.Add(settledRetention)
	return s
}

// WithOutcome settles the submission once a record with its ID was applied to the
// state. o is the outcome for this submission's record: with IDReused, another
// record has the ID.
func (s Submission) WithOutcome(now time.Time, o change.Outcome) Submission {
	s.State = InLog
	if o.Refusal == change.IDReused {
		s.State = Refused
	}
	s.Outcome = o
	s.DropAt = now.Add(settledRetention)
	return s
}
