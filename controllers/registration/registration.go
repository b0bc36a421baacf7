// Package registration is the controller that keeps what the node believes of
// its own backend server, from the reports of the backend server and from what
// requests find out, and opens and closes the admission point accordingly.
package registration

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/admit"
	"github.com/marigoldshelf/marigoldshelf/decide/drain"
	"github.com/marigoldshelf/marigoldshelf/decide/limit"
	"github.com/marigoldshelf/marigoldshelf/decide/registration"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// theKey is the controller's only key: a node has one backend server.
const theKey = 0

// Config sets the controller up.
type Config struct {
	// Own is the service and address that the settings name.
	Own registration.Report
	// Queue is the number of requests that may wait for a slot, for each slot.
	Queue float64
	// Changed is told each change of belief and why; it must not block.
	Changed func(from, to registration.Backend, cause string)
	// Dropped is told each report that did not count; it must not block.
	Dropped func(r registration.Report, v registration.Verdict)
}

type keeper struct {
	*tables.Tables
	Config
}

// Register adds the controller.
func Register(p *controller.Pool, t *tables.Tables, c Config) {
	k := keeper{t, c}
	handle := controller.Register(p, "registration", func(now time.Time, _ int) (result controller.Result) {
		t.Board.Do(func(tx *blackboard.Tx) { result = k.step(tx, now) },
			t.Backend.Backend.Write(), t.Drain.Write(), t.Limits.Write(), t.Capacity.Write(),
			t.Registrations.Write(), t.Sendings.Write())
		return result
	})
	t.Registrations.Watch(func(uint64) { handle.Add(theKey) })
	t.Sendings.Watch(func(uint64) { handle.Add(theKey) })
	handle.Add(theKey)
}

func (k keeper) step(tx *blackboard.Tx, now time.Time) controller.Result {
	known := k.Backend.Backend.Get(tx)
	b := k.takeSendings(tx, now, k.takeReports(tx, now, known))
	if b != known {
		k.Backend.Backend.Set(tx, b)
	}
	if b.Slots > 0 && (b.Slots != known.Slots || b.Instance != known.Instance || b.Born != known.Born) {
		k.Limits.Set(tx, admit.Limits{Slots: b.Slots, Queue: int(k.Queue * float64(b.Slots)), Ranked: true})
		k.Capacity.Set(tx, limit.Told(now, b.Slots))
	}
	if state := k.Drain.Get(tx); !state.Stopping && state.Draining == b.Takes(now) {
		k.Drain.Set(tx, drain.State{Draining: !b.Takes(now), Since: now})
	}
	if b.Phase == registration.Ready && now.Before(b.DownUntil) {
		return controller.Result{After: b.DownUntil.Sub(now)}
	}
	return controller.Result{}
}

// takeReports decides the reports that came in, in the order of their arrival.
func (k keeper) takeReports(tx *blackboard.Tx, now time.Time, b registration.Backend) registration.Backend {
	k.Registrations.Each(tx, func(number uint64, row tables.RegistrationRow) bool {
		if row.Decided {
			return true
		}
		before := b
		b, row.Verdict = registration.Apply(now, b, row.Report, k.Own)
		row.Decided = true
		k.Registrations.Put(tx, number, row)
		if row.Verdict != registration.Accepted {
			k.Dropped(row.Report, row.Verdict)
		} else if before.Phase != b.Phase || before.Instance != b.Instance || before.Slots != b.Slots || before.Born != b.Born {
			k.Changed(before, b, "report")
		}
		return true
	})
	return b
}

func (k keeper) takeSendings(tx *blackboard.Tx, now time.Time, b registration.Backend) registration.Backend {
	k.Sendings.Each(tx, func(number uint64, s tables.Sending) bool {
		k.Sendings.Delete(tx, number)
		before := b
		switch {
		case s.Instance != b.Instance:
			return true // about a predecessor
		case s.Finding == tables.TookNone && !now.Before(b.DownUntil):
			b = b.Refused(now)
			k.Changed(before, b, "took no connection")
		case s.Finding == tables.Replaced && b.Phase != registration.Gone:
			b = b.Replaced(s.Instance)
			k.Changed(before, b, "another backend server has its address")
		}
		return true
	})
	return b
}
