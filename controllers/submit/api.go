package submit

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/decide/submit"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// Submit submits a record for a front end. It adds the record to Submissions, or
// joins the submission that has the same ID. It returns the settled submission if
// the outcome is known already, and otherwise a pending one, whose row in
// Submissions the caller waits for. accepted is false when the node has too many
// submissions.
func Submit(t *tables.Tables, r change.Record, deadline time.Time) (s submit.Submission, accepted bool) {
	t.Board.Do(func(tx *blackboard.Tx) {
		var known bool
		if s, known = submit.ResolveFromState(t.Changes.Get(tx), r); known {
			accepted = true
			return
		}
		earlier, found := t.Submissions.Get(tx, r.ID)
		s, accepted = submit.AddOrJoin(earlier, found, t.Submissions.Len(tx), r, deadline)
		if accepted && s.State == submit.Pending {
			t.Submissions.Put(tx, r.ID, s)
		}
	}, t.Changes.Read(), t.Submissions.Write())
	return s, accepted
}
