// Package submit has the controllers that append operators' and customers'
// records to the log. A record in the table Submissions is appended until the
// platform confirms it or its deadline has passed. Once the record is folded
// into the state, its outcome is set, and the submission is deleted when its
// retention time is over. Appending a record twice is harmless: of several
// records with one ID only the first takes effect.
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
	// appendPrefix is the prefix of this controller's keys in Appends and
	// AppendResults. Operators choose record IDs, and without it an ID could
	// equal another controller's key.
	appendPrefix = "submit/"
	// appendFailed counts the failed appends.
	appendFailed = "append_failed"
)

// The reasons of appendFailed.
const (
	appendRefused    verdict.Reason = "append_refused"
	appendUnanswered verdict.Reason = "append_unanswered"
)

// Count increments the counter of an event for a reason.
type Count func(event string, reason verdict.Reason)

// singletonKey is the only key of the controller that sets outcomes.
const singletonKey = 0

// Register adds the controllers to the pool. The key of the one that appends is
// the record ID.
func Register(p *controller.Pool, t *tables.Tables, count Count) {
	handle := controller.Register(p, "submit", func(now time.Time, id string) (result controller.Result) {
		t.Board.Do(func(tx *blackboard.Tx) { result = reconcile(tx, t, count, now, id) },
			t.Submissions.Write(), t.Appends.Write(), t.AppendResults.Write())
		return result
	})
	t.Submissions.Watch(handle.Add)
	t.AppendResults.Watch(func(key string) {
		if id, found := strings.CutPrefix(key, appendPrefix); found {
			handle.Add(id)
		}
	})
	readBack := controller.Register(p, "read back", func(now time.Time, _ int) controller.Result {
		t.Board.Do(func(tx *blackboard.Tx) { setOutcomes(tx, t, now) },
			t.Changes.Read(), t.Submissions.Write())
		return controller.Result{}
	})
	t.Changes.Watch(func() { readBack.Add(singletonKey) })
}

// setOutcomes sets the outcome of each submission whose record is in the state.
// It checks the state and not the log, because a node can get its state from a
// peer or a snapshot.
func setOutcomes(tx *blackboard.Tx, t *tables.Tables, now time.Time) {
	state := t.Changes.Get(tx)
	t.Submissions.Each(tx, func(id string, s submit.Submission) bool {
		if s.State != submit.Pending && s.State != submit.OutcomeUnknown {
			return true
		}
		if seen, found := state.FindSeen(id); found {
			t.Submissions.Put(tx, id, s.WithOutcome(now, seen.OutcomeFor(s.Record, state.Version)))
		}
		return true
	})
}

// reconcile advances one submission: it applies the outcome of its last append,
// expires it after its deadline, and appends its record when that is due.
func reconcile(tx *blackboard.Tx, t *tables.Tables, count Count, now time.Time, id string) controller.Result {
	attempt, attempted := popAppendResult(tx, t, count, id)
	s, found := t.Submissions.Get(tx, id)
	switch {
	case !found:
		return controller.Result{}
	case s.State != submit.Pending:
		return deleteExpired(tx, t, now, id, s)
	}
	before := s
	if attempted {
		s = s.WithAppendResult(now, attempt)
	}
	s = s.Expire(now)
	if s.State != submit.Pending {
		t.Submissions.Put(tx, id, s)
		return controller.Result{}
	}
	return appendOrWait(tx, t, now, id, before, s)
}

// popAppendResult removes the result of an append from the inbox, counts a
// failure, and returns the result.
func popAppendResult(tx *blackboard.Tx, t *tables.Tables, count Count, id string) (submit.AppendResult, bool) {
	outcome, found := t.AppendResults.Get(tx, appendPrefix+id)
	if !found {
		return submit.AppendResult{}, false
	}
	t.AppendResults.Delete(tx, appendPrefix+id)
	attempt := submit.AppendResult{Confirmed: outcome.Err == nil, MayBeInLog: eventlog.MayHaveAppended(outcome.Err)}
	switch {
	case attempt.MayBeInLog:
		count(appendFailed, appendUnanswered)
	case !attempt.Confirmed:
		count(appendFailed, appendRefused)
	}
	return attempt, true
}

// deleteExpired deletes a settled submission once its retention time is over,
// and otherwise schedules the next call for then.
func deleteExpired(tx *blackboard.Tx, t *tables.Tables, now time.Time, id string, s submit.Submission) controller.Result {
	if remaining := s.DropAt.Sub(now); remaining > 0 {
		return controller.Result{RequeueAfter: remaining}
	}
	t.Submissions.Delete(tx, id)
	return controller.Result{}
}

// appendOrWait appends a record that is new or due for a retry. It schedules
// the next call for the retry or the deadline, whichever comes first. before is
// the submission as it is in the table.
func appendOrWait(tx *blackboard.Tx, t *tables.Tables, now time.Time, id string, before, s submit.Submission) controller.Result {
	_, pending := t.Appends.Get(tx, appendPrefix+id)
	due := !s.Appended && !pending && !now.Before(s.RetryAt)
	if due {
		// The front end has refused records that cannot be encoded.
		data, err := record.EncodeChange(s.Record)
		if err == nil {
			t.Appends.Put(tx, appendPrefix+id, tables.Append{Stream: eventlog.ConfigStream, Data: string(data)})
			s.RetryAt = time.Time{}
		}
	}
	if before.Appended != s.Appended || before.MayHaveAppended != s.MayHaveAppended || !before.RetryAt.Equal(s.RetryAt) {
		t.Submissions.Put(tx, id, s)
	}
	delay := s.Deadline.Sub(now)
	if s.RetryAt.After(now) {
		delay = min(delay, s.RetryAt.Sub(now))
	}
	return controller.Result{RequeueAfter: max(delay, time.Millisecond)}
}
