// Package stop is the controller of a node's planned stop. Until the node can
// exit, it logs every few seconds how many requests are in flight, as a warning
// once the stop takes longer than its limit. It reads the tables Calls and
// Admissions and marks the stop as done in Drain.
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
	// singletonKey is the only key of this controller.
	singletonKey = 0
	// lineSubject is the key of this controller's row in the table LogLines.
	lineSubject = "stop"
)

// Register adds the controller to the pool. A stop that has lasted limit or
// longer is logged as a warning.
func Register(p *controller.Pool, t *tables.Tables, limit time.Duration) {
	handle := controller.Register(p, "stop", func(now time.Time, _ int) (result controller.Result) {
		t.Board.Do(func(tx *blackboard.Tx) { result = reconcile(tx, t, now, limit) },
			t.Calls.Read(), t.Drain.Write(), t.Admissions.Read(), t.LogLines.Write())
		return result
	})
	// Requests are polled by a timer and not watched, so that they cause no
	// calls of this controller while no stop is in progress.
	t.Drain.Watch(func() { handle.Add(singletonKey) })
}

func reconcile(tx *blackboard.Tx, t *tables.Tables, now time.Time, limit time.Duration) controller.Result {
	state := t.Drain.Get(tx)
	if !state.Stopping || state.Done {
		return controller.Result{}
	}
	inFlight := countInFlight(tx, t)
	next, delay := state.Advance(now, inFlight, limit)
	if next != state {
		t.Drain.Set(tx, next)
	}
	if !next.Done && next.ProgressLoggedAt != state.ProgressLoggedAt {
		t.LogLines.Put(tx, lineSubject, waitLine(next, inFlight))
	}
	return controller.Result{RequeueAfter: delay}
}

func countInFlight(tx *blackboard.Tx, t *tables.Tables) drain.InFlight {
	inFlight := drain.InFlight{Calls: t.Calls.Len(tx)}
	t.Admissions.Each(tx, func(_ string, r admit.Request) bool {
		if r.State == admit.Granted || r.State == admit.Waiting {
			inFlight.Admitted++
		}
		return true
	})
	return inFlight
}

func waitLine(s drain.State, inFlight drain.InFlight) tables.LogLine {
	message := fmt.Sprintf("waiting for %d caller requests and %d requests at the backend server", inFlight.Calls, inFlight.Admitted)
	if s.Overdue {
		message = "time limit exceeded, no request is cut off, " + message
	}
	return tables.LogLine{Part: "stop", Message: message, Warning: s.Overdue}
}
