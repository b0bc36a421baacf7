// Package registration is the controller that maintains the state of the node's
// own backend server, from the reports that the backend server sends and from
// what forwarded requests find out about it. It writes the table Backend, sets
// the limits of the admission point (Limits, SlotLimit), and opens and closes
// it (Drain).
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

// singletonKey is the only key of this controller: a node has one backend
// server.
const singletonKey = 0

// Config holds the controller's settings. Its callbacks run inside the
// transaction and must not block.
type Config struct {
	// Configured has the service and address from the node's settings. Reports
	// that name others are rejected.
	Configured registration.Report
	// QueuePerSlot is the number of requests that can wait for a slot, per
	// slot.
	QueuePerSlot float64
	// OnChange is called for each change of the state, with its cause.
	OnChange func(from, to registration.Backend, cause string)
	// OnRejectedReport is called for each report that was not accepted.
	OnRejectedReport func(r registration.Report, v registration.ReportOutcome)
}

type reconciler struct {
	*tables.Tables
	Config
}

// Register adds the controller to the pool.
func Register(p *controller.Pool, t *tables.Tables, c Config) {
	r := reconciler{t, c}
	handle := controller.Register(p, "registration", func(now time.Time, _ int) (result controller.Result) {
		t.Board.Do(func(tx *blackboard.Tx) { result = r.reconcileTx(tx, now) },
			t.Backend.Backend.Write(), t.Drain.Write(), t.Limits.Write(), t.SlotLimit.Write(),
			t.Registrations.Write(), t.BackendObservations.Write(), t.BackendChecks.Write(), t.BackendCheckResults.Write())
		return result
	})
	t.Registrations.Watch(func(uint64) { handle.Add(singletonKey) })
	t.BackendObservations.Watch(func(uint64) { handle.Add(singletonKey) })
	t.BackendCheckResults.Watch(func(string) { handle.Add(singletonKey) })
	handle.Add(singletonKey)
}

// reconcileTx applies the reports and observations that arrived. It updates the
// limits when the backend server or its number of slots changed, and drains the
// admission point while the backend server takes no requests. It leaves the
// drain of a stopping node alone.
func (r reconciler) reconcileTx(tx *blackboard.Tx, now time.Time) controller.Result {
	before := r.Backend.Backend.Get(tx)
	b := before
	if b.ReceivingSince.IsZero() {
		b.ReceivingSince = now
	}
	b = r.applyObservations(tx, now, r.applyReports(tx, now, r.applyChecks(tx, b)))
	if b.Unverified && (b.Sequence != before.Sequence || b.StartKnownSince != before.StartKnownSince) {
		r.BackendChecks.Put(tx, b.Instance, tables.BackendCheck{Sequence: b.Sequence})
	}
	if b != before {
		r.Backend.Backend.Set(tx, b)
	}
	if b.Slots > 0 && (b.Slots != before.Slots || b.Instance != before.Instance || b.StartedAtMillis != before.StartedAtMillis) {
		r.Limits.Set(tx, admit.Limits{Slots: b.Slots, Queue: int(r.QueuePerSlot * float64(b.Slots)), PriorityOnly: true})
		r.SlotLimit.Set(tx, limit.Fixed(now, b.Slots))
	}
	available := b.Available(now)
	temporary := !available && b.Phase == registration.Ready && !b.Unverified
	if state := r.Drain.Get(tx); !state.Stopping && (state.Draining == available || state.Temporary != temporary) {
		r.Drain.Set(tx, drain.State{Draining: !available, Temporary: temporary, Since: now})
	}
	if b.Phase == registration.Ready && now.Before(b.DownUntil) {
		return controller.Result{RequeueAfter: b.DownUntil.Sub(now)}
	}
	return controller.Result{}
}

// applyChecks applies the results of health checks.
func (r reconciler) applyChecks(tx *blackboard.Tx, b registration.Backend) registration.Backend {
	r.BackendCheckResults.Each(tx, func(instance string, result tables.BackendCheckResult) bool {
		r.BackendCheckResults.Delete(tx, instance)
		before := b
		b = b.WithHealthCheck(instance, result.Healthy)
		switch {
		case b != before:
			r.OnChange(before, b, "health check")
		case b.Unverified && result.Err != nil:
			r.OnChange(before, b, "no health check: "+result.Err.Error())
		case b.Unverified:
			r.OnChange(before, b, "health check failed")
		}
		return true
	})
	return b
}

// applyReports decides the reports that are not decided yet, in the order of
// their arrival.
func (r reconciler) applyReports(tx *blackboard.Tx, now time.Time, b registration.Backend) registration.Backend {
	r.Registrations.Each(tx, func(number uint64, row tables.RegistrationRow) bool {
		if row.Decided {
			return true
		}
		before := b
		b, row.Outcome = registration.Apply(now, b, row.Report, r.Configured)
		row.Decided = true
		r.Registrations.Put(tx, number, row)
		if row.Outcome != registration.Accepted {
			r.OnRejectedReport(row.Report, row.Outcome)
		} else if before.Phase != b.Phase || before.Instance != b.Instance || before.Slots != b.Slots || before.StartedAtMillis != b.StartedAtMillis {
			r.OnChange(before, b, "report")
		}
		return true
	})
	return b
}

// applyObservations deletes the rows of BackendObservations and applies those
// about the current instance.
func (r reconciler) applyObservations(tx *blackboard.Tx, now time.Time, b registration.Backend) registration.Backend {
	r.BackendObservations.Each(tx, func(number uint64, s tables.BackendObservation) bool {
		r.BackendObservations.Delete(tx, number)
		before := b
		switch {
		case s.Instance != b.Instance:
			return true // about an earlier instance
		case s.Kind == tables.ConnectFailed && !now.Before(b.DownUntil):
			b = b.WithConnectFailure(now)
			r.OnChange(before, b, "connection failed")
		case s.Kind == tables.InstanceReplaced && b.Phase != registration.Gone:
			b = b.WithReplacedInstance(s.Instance)
			r.OnChange(before, b, "address taken over by another backend server")
		}
		return true
	})
	return b
}
