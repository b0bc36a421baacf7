// Package admission is the controller at the admission point of the node's own
// backend server.
package admission

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/admit"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// theKey is the controller's only key: a node has one backend server.
const theKey = 0

// Register adds the controller.
func Register(p *controller.Pool, t *tables.Tables) {
	handle := controller.Register(p, "admission", func(now time.Time, _ int) (result controller.Result) {
		t.Board.Do(func(tx *blackboard.Tx) { result = step(tx, t, now) },
			t.Drain.Read(), t.Limits.Read(), t.Admissions.Write())
		return result
	})
	t.Admissions.Watch(func(string) { handle.Add(theKey) })
	t.Limits.Watch(func() { handle.Add(theKey) })
	t.Drain.Watch(func() { handle.Add(theKey) })
}

// step drops the finished requests, lets the decision change the others, and
// comes back at the earliest deadline of those that wait.
func step(tx *blackboard.Tx, t *tables.Tables, now time.Time) controller.Result {
	var present []admit.Request
	t.Admissions.Each(tx, func(id string, r admit.Request) bool {
		if r.State == admit.Finished {
			t.Admissions.Delete(tx, id)
			return true
		}
		present = append(present, r)
		return true
	})
	limits := t.Limits.Get(tx)
	limits.Draining = t.Drain.Get(tx).Draining
	for _, r := range admit.Decide(now, limits, present) {
		t.Admissions.Put(tx, r.ID, r)
	}
	return controller.Result{After: untilNextDeadline(tx, t, now)}
}

func untilNextDeadline(tx *blackboard.Tx, t *tables.Tables, now time.Time) (after time.Duration) {
	t.Admissions.Each(tx, func(_ string, r admit.Request) bool {
		left := max(r.Deadline.Sub(now), time.Millisecond)
		if r.State == admit.Waiting && (after == 0 || left < after) {
			after = left
		}
		return true
	})
	return after
}
