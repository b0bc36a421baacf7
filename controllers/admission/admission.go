// Package admission is the controller at the admission point of the node's own
// backend server. It grants or refuses the requests in the table Admissions,
// adapts the capacity to how the backend server responds, and publishes the
// occupancy that responses report.
package admission

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/admit"
	"github.com/marigoldshelf/marigoldshelf/decide/limit"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// singletonKey is the only key of this controller: a node has one backend
// server.
const singletonKey = 0

// Config holds the settings of the controller.
type Config struct {
	// LearnsLimit reports whether the limit and speed of the backend server are
	// learned. Nil means that they are not.
	LearnsLimit func() bool
}

// Register adds the controller to the pool.
func Register(p *controller.Pool, t *tables.Tables, c Config) {
	handle := controller.Register(p, "admission", func(now time.Time, _ int) (result controller.Result) {
		t.Board.Do(func(tx *blackboard.Tx) { result = reconcile(tx, t, now, c.LearnsLimit != nil && c.LearnsLimit()) },
			t.Drain.Read(), t.Limits.Read(), t.SlotLimit.Write(), t.Admissions.Write(),
			t.AccountUsage.Write(), t.ServiceTimes.Write(), t.LearnedLimit.Write(), t.Occupancy.Write())
		return result
	})
	t.Admissions.Watch(func(string) { handle.Add(singletonKey) })
	t.Limits.Watch(func() { handle.Add(singletonKey) })
	t.Drain.Watch(func() { handle.Add(singletonKey) })
}

// reconcile processes the finished requests, decides on the others, and
// schedules the next call for when time alone changes a decision.
func reconcile(tx *blackboard.Tx, t *tables.Tables, now time.Time, learns bool) controller.Result {
	learned := t.LearnedLimit.Get(tx)
	if !learns {
		learned = limit.Learned{}
	}
	active := processFinished(tx, t, now, func(r admit.Request) {
		if learns {
			learned = learned.Observe(now, t.Limits.Get(tx).Slots, limit.Sample{
				Class: r.Class, Granted: r.Granted, Took: now.Sub(r.Granted), Busy: r.BusyAtGrant,
			})
		}
	})
	limits := t.Limits.Get(tx)
	capacity, growsAt := t.SlotLimit.Get(tx).Grow(now, limits.Slots)
	if capacity != t.SlotLimit.Get(tx) {
		t.SlotLimit.Set(tx, capacity)
	}
	// Only the requests that the last decision left waiting wait for the limit.
	learned = learned.Advance(now, t.Occupancy.Get(tx).Queued)
	if learned != t.LearnedLimit.Get(tx) {
		t.LearnedLimit.Set(tx, learned)
	}
	sustained := learned.Slots(limits.Slots)
	limits.Slots = min(capacity.Slots, sustained)
	limits.Draining = t.Drain.Get(tx).Draining
	limits.ServiceTimes = t.ServiceTimes.Get(tx)
	limits.Usage = readUsage(tx, t, now, limits.PriorityOnly && len(active) > 0)
	for _, r := range admit.Decide(now, limits, active) {
		t.Admissions.Put(tx, r.ID, r)
		if limits.PriorityOnly {
			observeUsage(tx, t, now, r)
		}
		replaceRequest(active, r)
	}
	load := admit.Occupancy(limits.Slots, active)
	load.Failing = limits.ServiceTimes.FailurePercent()
	load.Speeds = learned.Speeds(sustained)
	if load != t.Occupancy.Get(tx) {
		t.Occupancy.Set(tx, load)
	}
	if at := learned.NextDecisionAt(); !at.IsZero() && (growsAt.IsZero() || at.Before(growsAt)) {
		growsAt = at
	}
	delay := nextCallDelay(now, growsAt, limits.ServiceTimes, active)
	if delay == 0 && t.AccountUsage.Len(tx) > 0 {
		delay = admit.UsageRetention // to delete the rows
	}
	return controller.Result{RequeueAfter: delay}
}

// maxAccountUsage bounds the rows of AccountUsage.
const maxAccountUsage = 256

// readUsage deletes the usage that has expired and returns the rest; nil for none
// or if it is not needed.
func readUsage(tx *blackboard.Tx, t *tables.Tables, now time.Time, needed bool) (usage *admit.AccountUsage) {
	t.AccountUsage.Each(tx, func(name mesh.AccountName, u admit.Usage) bool {
		switch {
		case u.Expired(now):
			t.AccountUsage.Delete(tx, name)
		case needed:
			if usage == nil {
				usage = &admit.AccountUsage{}
			}
			usage.Add(now, name, u)
		}
		return true
	})
	return usage
}

// observeUsage counts a decision in the usage of the request's account. Requests
// without an account are counted only beside accounts. At the bound, the account
// with the oldest usage makes room.
func observeUsage(tx *blackboard.Tx, t *tables.Tables, now time.Time, r admit.Request) {
	rows := t.AccountUsage.Len(tx)
	if r.Nested || r.Account == "" && rows == 0 {
		return
	}
	u, found := t.AccountUsage.Get(tx, r.Account)
	if !found && rows >= maxAccountUsage {
		var oldest mesh.AccountName
		var oldestAt time.Time
		t.AccountUsage.Each(tx, func(name mesh.AccountName, other admit.Usage) bool {
			if oldestAt.IsZero() || other.At.Before(oldestAt) {
				oldest, oldestAt = name, other.At
			}
			return true
		})
		t.AccountUsage.Delete(tx, oldest)
	}
	t.AccountUsage.Put(tx, r.Account, u.Observe(now, r.State == admit.Granted))
}

// processFinished deletes the finished requests and returns the others. It
// updates the service times from the finished ones, and reduces the capacity if
// the backend server shed any of them. It passes completed those whose response
// was passed on in full.
func processFinished(tx *blackboard.Tx, t *tables.Tables, now time.Time, completed func(admit.Request)) (active []admit.Request) {
	times := t.ServiceTimes.Get(tx)
	capacity := t.SlotLimit.Get(tx)
	t.Admissions.Each(tx, func(id string, r admit.Request) bool {
		if r.State != admit.Finished {
			active = append(active, r)
			return true
		}
		t.Admissions.Delete(tx, id)
		if !r.Granted.IsZero() {
			times = times.ObserveOutcome(r.BackendShed || r.BackendFailed)
		}
		if r.BackendShed {
			capacity = capacity.Decrease(now, t.Limits.Get(tx).Slots)
		} else if r.ResponseComplete {
			times = times.ObserveDuration(r.Class, now.Sub(r.Granted))
			completed(r)
		}
		return true
	})
	if times != t.ServiceTimes.Get(tx) {
		t.ServiceTimes.Set(tx, times)
	}
	if capacity != t.SlotLimit.Get(tx) {
		t.SlotLimit.Set(tx, capacity)
	}
	return active
}

func replaceRequest(requests []admit.Request, updated admit.Request) {
	for i := range requests {
		if requests[i].ID == updated.ID {
			requests[i] = updated
		}
	}
}

// nextCallDelay returns the time until the capacity can change at growsAt, or until
// a waiting request can no longer finish before its deadline, whichever comes
// first; zero when neither applies. The request is refused at that point, and
// not at the deadline itself, so that its caller learns in time that it did not
// run.
func nextCallDelay(now, growsAt time.Time, times admit.ServiceTimes, requests []admit.Request) (delay time.Duration) {
	callBy := func(due time.Time) {
		if remaining := max(due.Sub(now), time.Millisecond); delay == 0 || remaining < delay {
			delay = remaining
		}
	}
	if !growsAt.IsZero() {
		callBy(growsAt)
	}
	for _, r := range requests {
		if r.State == admit.Waiting {
			callBy(r.Deadline.Add(-times.P10(r.Class)))
		}
	}
	return delay
}

// SetInitialLimits sets the limits of a backend server, and the reduced
// capacity and occupancy of one that has just started.
func SetInitialLimits(t *tables.Tables, now time.Time, limits admit.Limits) {
	t.Board.Do(func(tx *blackboard.Tx) {
		t.Limits.Set(tx, limits)
		t.SlotLimit.Set(tx, limit.ColdStart(now, limits.Slots))
		t.Occupancy.Set(tx, admit.Occupancy(limit.ColdStart(now, limits.Slots).Slots, nil))
	}, t.Limits.Write(), t.SlotLimit.Write(), t.Occupancy.Write())
}
