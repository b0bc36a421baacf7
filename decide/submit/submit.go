// Package submit decides how a record gets into the log, and what its author is
// told: that it is in the log and what it did, that it is not in the log, or
// that nobody can say yet.
package submit

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/decide/change"
)

// State is what is known of a submitted record.
type State string

// The states of a submission.
const (
	// Pending: appending, or waiting for the record to be read back.
	Pending State = "pending"
	// InLog: the record was read back from the log; Outcome says what it did.
	InLog State = "in_log"
	// NotAppended: the platform refused every append of this submission. The
	// record is not in the log, unless it was submitted before or elsewhere.
	NotAppended State = "not_appended"
	// Unknown: an append went unanswered and the record was not read back.
	Unknown State = "unknown"
	// Refused: it was not appended, since the log could only refuse it.
	Refused State = "refused"
)

const (
	// retryDelay is the pause before the second append of a record; it doubles
	// with each further one.
	retryDelay = 300 * time.Millisecond
	// maxDoublings bounds the pause at 9.6 s.
	maxDoublings = 5
	// keepFor is how long a settled submission is kept: for those who wait for
	// it, and for those who ask again.
	keepFor = 30 * time.Second
	// MaxRows bounds the submissions of a node.
	MaxRows = 1024
)

// Submission is one record on its way into the log.
type Submission struct {
	Record   change.Record
	State    State
	Outcome  change.Outcome
	Deadline time.Time
	// Appended is true once the platform confirmed the append.
	Appended bool
	// Unanswered is true once an append may have taken effect unconfirmed.
	Unanswered bool
	// Failed is the number of appends that failed.
	Failed int
	// RetryAt is when to append again; zero while an append is under way.
	RetryAt time.Time
	// DropAt is when a settled submission is dropped; zero while pending.
	DropAt time.Time
}

// Join decides on a record that comes in, beside the submission that the node
// has under its ID, if there is one. A repeated record joins the submission; one
// that settled without a certain end is tried again, with what is known of its
// appends. Another record under the ID is refused. It reports false when rows
// submissions are too many for one more.
func Join(earlier Submission, found bool, rows int, r change.Record, deadline time.Time) (Submission, bool) {
	if !found {
		return Submission{Record: r, State: Pending, Deadline: deadline}, rows < MaxRows
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
	s.Failed = 0
	s.DropAt = time.Time{}
	if deadline.After(s.Deadline) {
		s.Deadline = deadline
	}
	return s, true
}

// Known returns how a record ends that need not be appended: one that is in the
// log already, one whose ID another record has, and a proposal that the log
// could only refuse.
func Known(state change.State, r change.Record) (Submission, bool) {
	s := Submission{Record: r, State: Refused}
	if seen, found := state.Recall(r.ID); found {
		s.Outcome = seen.OutcomeFor(r, state.Version)
		if s.Outcome.Refusal != change.IDReused {
			s.State = InLog
		}
		return s, true
	}
	// A base that is not known yet is left to the log: this node lags.
	if r.Kind != change.Propose || r.Base > state.Version {
		return s, false
	}
	s.Outcome = state.Preview(r)
	return s, !s.Outcome.Accepted
}

// Attempt is what came of one append.
type Attempt struct {
	// Confirmed: the record is in the log.
	Confirmed bool
	// MayBeInLog: not confirmed, but it may have taken effect.
	MayBeInLog bool
}

// Tried notes what came of one append.
func (s Submission) Tried(now time.Time, a Attempt) Submission {
	switch {
	case a.Confirmed:
		s.Appended = true
		s.RetryAt = time.Time{}
	default:
		s.Unanswered = s.Unanswered || a.MayBeInLog
		s.RetryAt = now.Add(retryDelay << min(s.Failed, maxDoublings))
		s.Failed++
	}
	return s
}

// Settle ends a submission whose time is over; the others stay as they are.
func (s Submission) Settle(now time.Time) Submission {
	if s.State != Pending || now.Before(s.Deadline) {
		return s
	}
	underWay := s.RetryAt.IsZero()
	if s.Appended || s.Unanswered || underWay {
		s.State = Unknown
	} else {
		s.State = NotAppended
	}
	s.DropAt = now.Add(keepFor)
	return s
}

// ReadBack notes that a record with the ID was folded in, and what that means
// for this one.
func (s Submission) ReadBack(now time.Time, o change.Outcome) Submission {
	s.State = InLog
	if o.Refusal == change.IDReused {
		s.State = Refused
	}
	s.Outcome = o
	s.DropAt = now.Add(keepFor)
	return s
}
