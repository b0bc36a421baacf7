// Package admit decides which requests enter the node's own backend server. It
// is the only admission point of that server, so a refusal from it is a fact:
// the request did not run.
//
// Short work (bookings, lookups) may take every slot. Uploads and background
// work have a share of the slots that they cannot exceed together, so they
// never hold every slot, and a booking never waits for one of them to end.
package admit

import (
	"cmp"
	"slices"
	"time"

	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// State is where a request stands at the admission point.
type State uint8

// The states of a request at the admission point.
const (
	Waiting State = iota + 1
	Granted
	Refused
	// Finished: the request is over and gives its slot back.
	Finished
)

// Request is one request at the admission point.
type Request struct {
	ID    string
	Class mesh.Class
	// Priority is its rank; 0 goes first, and classes order the equal.
	Priority int
	Arrived  time.Time
	Deadline time.Time
	// Objective is when an answer is worth less; zero when nobody said.
	Objective time.Time
	State     State
	// Granted is when it got its slot; zero before.
	Granted time.Time
	// Whole is true on a finished request that was answered whole.
	Whole bool
	// Shed is true on a finished request that the backend server refused by
	// itself.
	Shed bool
	// Failed is true on a finished request that the backend server failed.
	Failed bool
	// Reason is why it was refused.
	Reason verdict.Reason
	// RetryAfter is when a refused request may come back, from now.
	RetryAfter time.Duration
}

// Limits bounds what the backend server takes.
type Limits struct {
	// Slots is the number of requests it runs at once.
	Slots int
	// Queue is the number of requests that may wait.
	Queue int
	// Draining is true once it takes no new work.
	Draining bool
	// Ranked is true where routes rank their requests: priority alone decides
	// who goes first, and classes have no shares of their own.
	Ranked bool
	// Service is how long requests have taken lately.
	Service ServiceTimes
}

// Decide returns the requests whose state changes now, in the order of the
// changes: waiting ones are granted a slot, refused, or left to wait. A request
// that cannot end before its deadline is refused at once.
func Decide(now time.Time, limits Limits, requests []Request) []Request {
	d := decision{now: now, limits: limits}
	urgency := byUrgency
	if limits.Ranked {
		urgency = d.byRank
	}
	waiting := make([]Request, 0, len(requests))
	for _, r := range requests {
		switch r.State {
		case Granted:
			d.busy[r.Class.Index()]++
		case Waiting:
			waiting = append(waiting, r)
		}
	}
	if len(waiting) > 1 {
		slices.SortFunc(waiting, urgency)
	}
	for _, r := range waiting {
		if next := d.next(r); next.State != Waiting {
			d.changed = append(d.changed, next)
		}
	}
	return d.changed
}

// decision is the state of one pass over the waiting requests.
type decision struct {
	now     time.Time
	limits  Limits
	busy    [mesh.NumClasses]int
	queued  int
	ahead   time.Duration // learned service time of those that wait before
	changed []Request
}

func (d *decision) next(r Request) Request {
	own := d.limits.Service.Fast(r.Class)
	switch {
	case d.limits.Draining:
		return refuse(r, verdict.Draining, 0)
	case !d.now.Add(own).Before(r.Deadline):
		return refuse(r, verdict.DeadlineTooShort, 0)
	case d.hasSlot(r.Class):
		d.busy[r.Class.Index()]++
		r.State = Granted
		r.Granted = d.now
		return r
	case d.queued >= d.queueFor(r.Class):
		return refuse(r, d.fullReason(), d.wait(r.Class))
	case d.limits.Ranked && r.Class == mesh.Lookup && !d.isOnTime(r, d.wait(r.Class)):
		// The caller does better to come back than to wait for a late answer
		// in the place of one that can still be in time.
		return refuse(r, verdict.Shed, d.wait(r.Class))
	case !d.now.Add(d.wait(r.Class) + own).Before(r.Deadline):
		return refuse(r, verdict.DeadlineTooShort, d.wait(r.Class))
	}
	d.queued++
	d.ahead += d.limits.Service.Mean(r.Class)
	return r
}

// queueFor is the length of the queue up to which a class may join.
func (d *decision) queueFor(c mesh.Class) int {
	if d.limits.Ranked {
		return d.limits.Queue
	}
	return queueShare(d.limits.Queue, c)
}

// isOnTime reports whether a request that gets its slot after the wait can be
// expected to end within its objective.
func (d *decision) isOnTime(r Request, wait time.Duration) bool {
	return r.Objective.IsZero() || d.now.Add(wait+d.limits.Service.Mean(r.Class)).Before(r.Objective)
}

// byRank orders by priority, then those that can still be in time before those
// that are late anyhow, then by deadline.
func (d *decision) byRank(a, b Request) int {
	if order := cmp.Compare(a.Priority, b.Priority); order != 0 {
		return order
	}
	if inTime := d.isOnTime(a, 0); inTime != d.isOnTime(b, 0) {
		if inTime {
			return -1
		}
		return 1
	}
	return cmp.Or(a.Deadline.Compare(b.Deadline), a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID))
}

func (d *decision) fullReason() verdict.Reason {
	if d.queued >= d.limits.Queue {
		return verdict.QueueFull
	}
	return verdict.Shed
}

// hasSlot reports whether a slot is free that the class may take.
func (d *decision) hasSlot(c mesh.Class) bool {
	total := 0
	for _, n := range d.busy {
		total += n
	}
	if total >= d.limits.Slots {
		return false
	}
	if d.limits.Ranked {
		return true
	}
	upload, background := d.busy[mesh.Upload.Index()], d.busy[mesh.Background.Index()]
	switch c {
	case mesh.Upload:
		return upload+background < longShare(d.limits.Slots)
	case mesh.Background:
		return background < backgroundShare(d.limits.Slots) && upload+background < longShare(d.limits.Slots)
	}
	return true
}

// wait estimates how long a request of the class would wait for its slot.
func (d *decision) wait(c mesh.Class) time.Duration {
	slots := d.limits.Slots
	if !d.limits.Ranked && (c == mesh.Upload || c == mesh.Background) {
		slots = longShare(slots)
	}
	return (d.ahead + d.limits.Service.Mean(c)) / time.Duration(max(slots, 1))
}

// longShare is the number of slots that uploads and background work may hold
// together: two thirds, and never all of several.
func longShare(slots int) int { return max(slots*2/3, 1) }

// backgroundShare is the number of slots that background work may hold.
func backgroundShare(slots int) int { return max(slots/4, 1) }

// queueShare is the part of the queue's length up to which a class may join:
// background work is turned away first, then uploads, then lookups.
func queueShare(queue int, c mesh.Class) int {
	switch c {
	case mesh.Booking:
		return queue
	case mesh.Lookup:
		return queue * 3 / 4
	case mesh.Upload:
		return queue / 2
	}
	return queue / 4
}

func refuse(r Request, reason verdict.Reason, retryAfter time.Duration) Request {
	r.State = Refused
	r.Reason = reason
	r.RetryAfter = retryAfter
	return r
}

// byUrgency orders by priority, then class, then deadline, then arrival.
func byUrgency(a, b Request) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.Class.Index(), b.Class.Index()),
		a.Deadline.Compare(b.Deadline),
		a.Arrived.Compare(b.Arrived),
		cmp.Compare(a.ID, b.ID),
	)
}

// Occupancy counts requests as the load that answers report.
func Occupancy(slots int, requests []Request) mesh.Load {
	load := mesh.Load{Slots: slots}
	for _, r := range requests {
		switch r.State {
		case Granted:
			load.Busy++
		case Waiting:
			load.Queued++
		}
	}
	return load
}
