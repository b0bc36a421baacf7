// Package submit is the controller that brings operators' and customers'
// records into the log: it appends each until the platform confirms it or its
// time is over. Appending a record again is harmless: of several with one ID
// only the first counts.
package submit

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/submit"
	"github.com/marigoldshelf/marigoldshelf/encoding/record"
	"github.com/marigoldshelf/marigoldshelf/platform"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// Register adds the controller; its key is the record ID.
func Register(p *controller.Pool, t *tables.Tables) {
	handle := controller.Register(p, "submit", func(now time.Time, id string) (result controller.Result) {
		t.Board.Do(func(tx *blackboard.Tx) { result = step(tx, t, now, id) },
			t.Submissions.Write(), t.Appends.Write(), t.AppendsDone.Write())
		return result
	})
	t.Submissions.Watch(handle.Add)
	t.AppendsDone.Watch(handle.Add)
}

func step(tx *blackboard.Tx, t *tables.Tables, now time.Time, id string) controller.Result {
	s, found := t.Submissions.Get(tx, id)
	if !found || s.State != submit.Pending {
		return controller.Result{}
	}
	before := s
	if done, came := t.AppendsDone.Get(tx, id); came {
		t.AppendsDone.Delete(tx, id)
		s = s.Tried(now, submit.Attempt{Confirmed: done.Err == nil, MayBeInLog: platform.IsUnknown(done.Err)})
	}
	s = s.Settle(now)
	if s.State != submit.Pending {
		t.Submissions.Put(tx, id, s)
		return controller.Result{}
	}
	return appendOrWait(tx, t, now, id, before, s)
}

// appendOrWait appends a record that is new or due again, and otherwise comes
// back when it is due or out of time.
func appendOrWait(tx *blackboard.Tx, t *tables.Tables, now time.Time, id string, before, s submit.Submission) controller.Result {
	_, underWay := t.Appends.Get(tx, id)
	due := !s.Appended && !underWay && !now.Before(s.RetryAt)
	if due {
		// A record that does not encode was refused before it got here.
		data, err := record.EncodeChange(s.Record)
		if err == nil {
			t.Appends.Put(tx, id, tables.Append{Stream: platform.Config, Data: string(data)})
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
