// Package admission is the controller at the admission point of the node's own
// backend server.
package admission

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/admit"
	"github.com/marigoldshelf/marigoldshelf/decide/limit"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// theKey is the controller's only key: a node has one backend server.
const theKey = 0

// Register adds the controller.
func Register(p *controller.Pool, t *tables.Tables) {
	handle := controller.Register(p, "admission", func(now time.Time, _ int) (result controller.Result) {
		t.Board.Do(func(tx *blackboard.Tx) { result = step(tx, t, now) },
			t.Drain.Read(), t.Limits.Read(), t.Capacity.Write(), t.Admissions.Write(),
			t.Times.Write(), t.Occupancy.Write())
		return result
	})
	t.Admissions.Watch(func(string) { handle.Add(theKey) })
	t.Limits.Watch(func() { handle.Add(theKey) })
	t.Drain.Watch(func() { handle.Add(theKey) })
}

// step drops the finished requests and learns from them, lets the decision
// change the others, and comes back when time alone changes something.
func step(tx *blackboard.Tx, t *tables.Tables, now time.Time) controller.Result {
	present := dropFinished(tx, t, now)
	limits := t.Limits.Get(tx)
	capacity, grows := t.Capacity.Get(tx).Grow(now, limits.Slots)
	if capacity != t.Capacity.Get(tx) {
		t.Capacity.Set(tx, capacity)
	}
	limits.Slots = capacity.Slots
	limits.Draining = t.Drain.Get(tx).Draining
	limits.Service = t.Times.Get(tx)
	for _, r := range admit.Decide(now, limits, present) {
		t.Admissions.Put(tx, r.ID, r)
		replace(present, r)
	}
	load := admit.Occupancy(limits.Slots, present)
	load.Failing = limits.Service.Failing()
	if load != t.Occupancy.Get(tx) {
		t.Occupancy.Set(tx, load)
	}
	return controller.Result{After: next(now, grows, limits.Service, present)}
}

func dropFinished(tx *blackboard.Tx, t *tables.Tables, now time.Time) (present []admit.Request) {
	times := t.Times.Get(tx)
	capacity := t.Capacity.Get(tx)
	t.Admissions.Each(tx, func(id string, r admit.Request) bool {
		if r.State != admit.Finished {
			present = append(present, r)
			return true
		}
		t.Admissions.Delete(tx, id)
		if !r.Granted.IsZero() {
			times = times.Ended(r.Shed || r.Failed)
		}
		if r.Shed {
			capacity = capacity.Cut(now, t.Limits.Get(tx).Slots)
		} else if r.Whole {
			times = times.Observe(r.Class, now.Sub(r.Granted))
		}
		return true
	})
	if times != t.Times.Get(tx) {
		t.Times.Set(tx, times)
	}
	if capacity != t.Capacity.Get(tx) {
		t.Capacity.Set(tx, capacity)
	}
	return present
}

func replace(rows []admit.Request, by admit.Request) {
	for i := range rows {
		if rows[i].ID == by.ID {
			rows[i] = by
		}
	}
}

// next is the time until a waiting request can no longer end before its
// deadline, or until the next slot; zero when there is neither. Refused then and
// not at the deadline itself, the word that it has not run is back in time.
func next(now, grows time.Time, times admit.ServiceTimes, rows []admit.Request) (after time.Duration) {
	earlier := func(due time.Time) {
		if left := max(due.Sub(now), time.Millisecond); after == 0 || left < after {
			after = left
		}
	}
	if !grows.IsZero() {
		earlier(grows)
	}
	for _, r := range rows {
		if r.State == admit.Waiting {
			earlier(r.Deadline.Add(-times.Fast(r.Class)))
		}
	}
	return after
}

// Start puts the limits of a backend server that begins cold.
func Start(t *tables.Tables, now time.Time, limits admit.Limits) {
	t.Board.Do(func(tx *blackboard.Tx) {
		t.Limits.Set(tx, limits)
		t.Capacity.Set(tx, limit.Start(now, limits.Slots))
		t.Occupancy.Set(tx, admit.Occupancy(limit.Start(now, limits.Slots).Slots, nil))
	}, t.Limits.Write(), t.Capacity.Write(), t.Occupancy.Write())
}
