package submit

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/decide/submit"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// Take takes in a record from a front end: it puts it into the table, or joins
// the request that brought it before. It returns how the record ends, when that
// is known already, or a pending submission to wait for. It reports false when
// too many are under way.
func Take(t *tables.Tables, r change.Record, deadline time.Time) (s submit.Submission, taken bool) {
	t.Board.Do(func(tx *blackboard.Tx) {
		var known bool
		if s, known = submit.Known(t.Changes.Get(tx), r); known {
			taken = true
			return
		}
		earlier, found := t.Submissions.Get(tx, r.ID)
		s, taken = submit.Join(earlier, found, t.Submissions.Len(tx), r, deadline)
		if taken && s.State == submit.Pending {
			t.Submissions.Put(tx, r.ID, s)
		}
	}, t.Changes.Read(), t.Submissions.Write())
	return s, taken
}
