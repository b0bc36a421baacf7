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
	// NotInLog: the platform refused every append.
	NotInLog State = "not_in_log"
	// Unknown: an append went unanswered and the record was not read back.
	Unknown State = "unknown"
)

// retryDelay is the pause between two appends of one record.
const retryDelay = 300 * time.Millisecond

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
	// RetryAt is when to append again; zero while an append is under way.
	RetryAt time.Time
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
		s.RetryAt = now.Add(retryDelay)
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
		s.State = NotInLog
	}
	return s
}

// ReadBack notes that the record was folded in.
func (s Submission) ReadBack(o change.Outcome) Submission {
	s.State = InLog
	s.Outcome = o
	return s
}
