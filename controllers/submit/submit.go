// Package submit is the controller that brings operators' and customers'
// records into the log: it appends each until the platform confirms it or its
// time is over, notes what it did once it was folded in, and drops it when
// nobody asks for it any more. Appending a record again is harmless: of several
// with one ID only the first counts.
package submit

import (
	"strings"
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/submit"
	"github.com/marigoldshelf/marigoldshelf/encoding/record"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/tables"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

const (
	// outboxPrefix begins the outbox keys of this controller: operators choose
	// record IDs, and must not meet the keys of others.
	outboxPrefix = "submit/"
	// event counts the failed appends.
	event = "append_failed"
)

// The reasons that an append failed.
const (
	refused    verdict.Reason = "append_refused"
	unanswered verdict.Reason = "append_unanswered"
)

// Count adds one to the counter of an event for a reason.
type Count func(event string, reason verdict.Reason)

// theKey is the only key of the controller that notes what was folded in.
const theKey = 0

// Register adds the controllers; the key of the one that appends is the record
// ID.
func Register(p *controller.Pool, t *tables.Tables, count Count) {
	handle := controller.Register(p, "submit", func(now time.Time, id string) (result controller.Result) {
		t.Board.Do(func(tx *blackboard.Tx) { result = step(tx, t, count, now, id) },
			t.Submissions.Write(), t.Appends.Write(), t.AppendsDone.Write())
		return result
	})
	t.Submissions.Watch(handle.Add)
	t.AppendsDone.Watch(func(key string) {
		if id, own := strings.CutPrefix(key, outboxPrefix); own {
			handle.Add(id)
		}
	})
	readBack := controller.Register(p, "read back", func(now time.Time, _ int) controller.Result {
		t.Board.Do(func(tx *blackboard.Tx) { noteFolded(tx, t, now) },
			t.Changes.Read(), t.Submissions.Write())
		return controller.Result{}
	})
	t.Changes.Watch(func() { readBack.Add(theKey) })
}

// noteFolded tells the submissions that are in the state what they did. It asks
// the state, not the log: a node may get its state from a peer or a snapshot.
func noteFolded(tx *blackboard.Tx, t *tables.Tables, now time.Time) {
	state := t.Changes.Get(tx)
	t.Submissions.Each(tx, func(id string, s submit.Submission) bool {
		if s.State != submit.Pending && s.State != submit.Unknown {
			return true
		}
		if seen, found := state.Recall(id); found {
			t.Submissions.Put(tx, id, s.ReadBack(now, seen.OutcomeFor(s.Record, state.Version)))
		}
		return true
	})
}

func step(tx *blackboard.Tx, t *tables.Tables, count Count, now time.Time, id string) controller.Result {
	attempt, came := takeAttempt(tx, t, count, id)
	s, found := t.Submissions.Get(tx, id)
	switch {
	case !found:
		return controller.Result{}
	case s.State != submit.Pending:
		return keepOrDrop(tx, t, now, id, s)
	}
	before := s
	if came {
		s = s.Tried(now, attempt)
	}
	s = s.Settle(now)
	if s.State != submit.Pending {
		t.Submissions.Put(tx, id, s)
		return controller.Result{}
	}
	return appendOrWait(tx, t, now, id, before, s)
}

// takeAttempt takes what came of an append out of the inbox.
func takeAttempt(tx *blackboard.Tx, t *tables.Tables, count Count, id string) (submit.Attempt, bool) {
	done, came := t.AppendsDone.Get(tx, outboxPrefix+id)
	if !came {
		return submit.Attempt{}, false
	}
	t.AppendsDone.Delete(tx, outboxPrefix+id)
	attempt := submit.Attempt{Confirmed: done.Err == nil, MayBeInLog: eventlog.IsUnknown(done.Err)}
	switch {
	case attempt.MayBeInLog:
		count(event, unanswered)
	case !attempt.Confirmed:
		count(event, refused)
	}
	return attempt, true
}

// keepOrDrop drops a settled submission once its time is over.
func keepOrDrop(tx *blackboard.Tx, t *tables.Tables, now time.Time, id string, s submit.Submission) controller.Result {
	if left := s.DropAt.Sub(now); left > 0 {
		return controller.Result{After: left}
	}
	t.Submissions.Delete(tx, id)
	return controller.Result{}
}

// appendOrWait appends a record that is new or due again, and otherwise comes
// back when it is due or out of time.
func appendOrWait(tx *blackboard.Tx, t *tables.Tables, now time.Time, id string, before, s submit.Submission) controller.Result {
	_, underWay := t.Appends.Get(tx, outboxPrefix+id)
	due := !s.Appended && !underWay && !now.Before(s.RetryAt)
	if due {
		// A record that does not encode was refused before it got here.
		data, err := record.EncodeChange(s.Record)
		if err == nil {
			t.Appends.Put(tx, outboxPrefix+id, tables.Append{Stream: eventlog.Config, Data: string(data)})
			s.RetryAt = time.Time{}
		}
	}
	if before.Appended != s.Appended || before.Unanswered != s.Unanswered || !before.RetryAt.Equal(s.RetryAt) {
		t.Submissions.Put(tx, id, s)
	}
	after := s.Deadline.Sub(now)
	if s.RetryAt.After(now) {
		after = min(after, s.RetryAt.Sub(now))
	}
	return controller.Result{After: max(after, time.Millisecond)}
}
