// Package stop is the controller of a node's planned stop: it says what the
// stop waits for, tells the operator when it takes longer than its limit, and
// lets the node end when nothing is under way.
package stop

import (
	"fmt"
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/admit"
	"github.com/marigoldshelf/marigoldshelf/decide/drain"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

const (
	// theKey is the controller's only key.
	theKey = 0
	// subject is its line in the log's outbox.
	subject = "stop"
)

// Register adds the controller. After limit the operator is told.
func Register(p *controller.Pool, t *tables.Tables, limit time.Duration) {
	handle := controller.Register(p, "stop", func(now time.Time, _ int) (result controller.Result) {
		t.Board.Do(func(tx *blackboard.Tx) { result = step(tx, t, now, limit) },
			t.Calls.Read(), t.Drain.Write(), t.Admissions.Read(), t.Lines.Write())
		return result
	})
	// It looks by a timer, not at every change of a request, so that requests
	// cost nothing more while no stop is under way.
	t.Drain.Watch(func() { handle.Add(theKey) })
}

func step(tx *blackboard.Tx, t *tables.Tables, now time.Time, limit time.Duration) controller.Result {
	state := t.Drain.Get(tx)
	if !state.Stopping || state.Done {
		return controller.Result{}
	}
	u := underway(tx, t)
	next, after := state.Advance(now, u, limit)
	if next != state {
		t.Drain.Set(tx, next)
	}
	if !next.Done && next.Told != state.Told {
		t.Lines.Put(tx, subject, line(next, u))
	}
	return controller.Result{After: after}
}

func underway(tx *blackboard.Tx, t *tables.Tables) drain.Underway {
	u := drain.Underway{Calls: t.Calls.Len(tx)}
	t.Admissions.Each(tx, func(_ string, r admit.Request) bool {
		if r.State == admit.Granted || r.State == admit.Waiting {
			u.Admitted++
		}
		return true
	})
	return u
}

func line(s drain.State, u drain.Underway) tables.Line {
	sentence := fmt.Sprintf("waits for %d requests of callers and %d at the backend server", u.Calls, u.Admitted)
	if s.Overdue {
		sentence = "limit passed, nothing is cut, " + sentence
	}
	return tables.Line{Part: "stop", Sentence: sentence, Warning: s.Overdue}
}
