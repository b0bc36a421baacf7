// Package admit implements admission control in front of the node's own
// backend server. It is the only admission point of that server, so a refused
// request is known not to have run.
//
// Short requests (bookings, lookups) can use every slot. Uploads, downloads and
// background requests together are limited to a share of the slots that is smaller
// than the total, so a booking never waits for one of them to end. Where routes
// set priorities (Limits.PriorityOnly), priority alone decides, and only downloads
// have a share.
//
// The package holds no state: the caller passes the requests and limits, and
// writes the decisions back.
package admit

import (
	"cmp"
	"slices"
	"time"

	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// State is the state of a request at the admission point.
type State uint8

// The states of a request at the admission point.
const (
	// Waiting is a request that has no slot yet.
	Waiting State = iota + 1
	// Granted is a request that holds a slot.
	Granted
	// Refused is a request that gets no slot; it did not run.
	Refused
	// Finished is a request that has ended; its slot is free again.
	Finished
)

// Request is one request at the admission point.
type Request struct {
	ID string
	// CallerID is the caller's ID of the request; empty when absent.
	CallerID string
	Class    mesh.Class
	// Account is the client account of the request; empty for none.
	// AccountPriority, of which 0 is the highest, goes before Priority.
	Account         mesh.AccountName
	AccountPriority int
	// Priority is the priority of the request's route; 0 is the highest.
	// Without Limits.PriorityOnly, the class orders requests of equal priority.
	Priority int
	// Nested is true for a call that a backend server makes while it runs a
	// request; the priorities are those of that request.
	Nested   bool
	Arrived  time.Time
	Deadline time.Time
	// Objective is the time after which the response is worth less to the
	// caller; zero when the route sets no latency objective.
	Objective time.Time
	State     State
	// Granted is when the request got its slot; zero before.
	Granted time.Time
	// BusyAtGrant is the number of slots in use when the request got its slot,
	// including its own; zero before.
	BusyAtGrant int
	// ResponseComplete is true on a finished request whose response was passed on
	// in full.
	ResponseComplete bool
	// BackendShed is true on a finished request that the backend server itself
	// refused because of overload.
	BackendShed bool
	// BackendFailed is true on a finished request that failed at the backend
	// server.
	BackendFailed bool
	// Reason is set on a refused request.
	Reason verdict.Reason
	// RetryAfter is the delay after which a refused request can be retried;
	// zero when there is no estimate.
	RetryAfter time.Duration
}

// Limits holds the capacity of the backend server and the admission mode.
type Limits struct {
	// Slots is the maximum number of requests that run at once.
	Slots int
	// Queue is the maximum number of waiting requests.
	Queue int
	// Draining is true while the backend server takes no new requests.
	Draining bool
	// PriorityOnly is true where routes set priorities: priority alone orders
	// the requests, and of the classes only downloads have a share of the slots,
	// beside other requests.
	PriorityOnly bool
	// Usage is how much capacity each account had lately; nil where no request
	// has an account. It orders requests only with PriorityOnly.
	Usage *AccountUsage
	// ServiceTimes holds the observed service times.
	ServiceTimes ServiceTimes
}

// Decide returns the requests whose state changes at the given time, in the
// order of the changes: waiting requests that get a slot or are refused. A
// request that cannot end before its deadline is refused at once. Requests that
// keep waiting are not returned.
func Decide(now time.Time, limits Limits, requests []Request) []Request {
	d := decision{now: now, limits: limits}
	compare := compareByClass
	if limits.PriorityOnly {
		compare = d.compareByObjective
	}
	waiting := make([]Request, 0, len(requests))
	for _, r := range requests {
		if r.Class != mesh.Download && (r.State == Granted || r.State == Waiting) {
			d.shortPresent = true
		}
		switch r.State {
		case Granted:
			d.busy[r.Class.Index()]++
		case Waiting:
			waiting = append(waiting, r)
		}
	}
	if len(waiting) > 1 {
		slices.SortFunc(waiting, compare)
		if limits.PriorityOnly && limits.Usage != nil {
			d.overShare = limits.Usage.overShare(requests, waiting)
			slices.SortStableFunc(waiting, compare)
		}
	}
	for _, r := range waiting {
		if decided := d.decide(r); decided.State != Waiting {
			d.changed = append(d.changed, decided)
		}
	}
	return d.changed
}

// decision is the state of one pass over the waiting requests.
type decision struct {
	now    time.Time
	limits Limits
	busy   [mesh.NumClasses]int // slots in use, by class index
	// shortPresent is true if a request of another class than downloads runs or
	// waits.
	shortPresent bool
	// overShare holds by how much waiting requests exceed the share of their
	// account, by ID; nil for none.
	overShare  map[string]int
	queued     int
	queuedTime time.Duration // sum of the mean service times of the queued requests
	changed    []Request
}

// decide returns the request granted, refused or still waiting, and counts it
// into the pass. A call that would miss its objective waits all the same: its
// parent holds a slot elsewhere, and fails if the call is refused.
func (d *decision) decide(r Request) Request {
	minServiceTime := d.limits.ServiceTimes.P10(r.Class)
	switch {
	case d.limits.Draining:
		return refuse(r, verdict.Draining, 0)
	case !d.now.Add(minServiceTime).Before(r.Deadline):
		return refuse(r, verdict.DeadlineTooShort, 0)
	case d.hasSlot(r.Class):
		d.busy[r.Class.Index()]++
		r.State = Granted
		r.Granted = d.now
		r.BusyAtGrant = d.busySlots()
		return r
	case d.queued >= d.queueLimit(r.Class):
		return refuse(r, d.queueFullReason(), d.estimateWait(r.Class))
	case d.limits.PriorityOnly && !r.Nested && r.Class.Idempotent() && !d.meetsObjective(r, 0):
		// The refusal says nothing about requests that can still meet their
		// objective, so it has no retry delay that would hold those back.
		return refuse(r, verdict.Shed, 0)
	case d.limits.PriorityOnly && !r.Nested && r.Class.Idempotent() && !d.meetsObjective(r, d.estimateWait(r.Class)):
		// Waiting would give the caller a late response and take the place of a
		// request that can still meet its objective, so a retry is better.
		return refuse(r, verdict.Shed, d.estimateWait(r.Class))
	case !d.now.Add(d.estimateWait(r.Class) + minServiceTime).Before(r.Deadline):
		return refuse(r, verdict.DeadlineTooShort, d.estimateWait(r.Class))
	}
	d.queued++
	d.queuedTime += d.limits.ServiceTimes.Mean(r.Class)
	return r
}

// queueLimit returns the queue length at which requests of the class are
// refused.
func (d *decision) queueLimit(c mesh.Class) int {
	if d.limits.PriorityOnly {
		return d.limits.Queue
	}
	return classQueueLimit(d.limits.Queue, c)
}

// meetsObjective reports whether a request that gets its slot after the given
// wait ends before its objective with the service time of four in five requests.
// With the mean in its place, a full queue would hold requests of which half
// miss their objective, and all of them would wait as long as that allows.
func (d *decision) meetsObjective(r Request, wait time.Duration) bool {
	return r.Objective.IsZero() || d.now.Add(wait+d.limits.ServiceTimes.P80(r.Class)).Before(r.Objective)
}

// compareByObjective orders requests by priority, then calls before other
// requests, because their parents hold slots already, then requests that can still
// meet their objective before the others, then requests within the share of their
// account, then by deadline, arrival and ID.
func (d *decision) compareByObjective(a, b Request) int {
	if order := cmp.Or(cmp.Compare(a.AccountPriority, b.AccountPriority), cmp.Compare(a.Priority, b.Priority)); order != 0 {
		return order
	}
	if a.Nested != b.Nested {
		if a.Nested {
			return -1
		}
		return 1
	}
	if inTime := d.meetsObjective(a, 0); inTime != d.meetsObjective(b, 0) {
		if inTime {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(d.overShare[a.ID], d.overShare[b.ID]), a.Deadline.Compare(b.Deadline), a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID))
}

// queueFullReason returns QueueFull when the whole queue is full, and Shed when
// only the share of the request's class is.
func (d *decision) queueFullReason() verdict.Reason {
	if d.queued >= d.limits.Queue {
		return verdict.QueueFull
	}
	return verdict.Shed
}

// busySlots returns the number of slots in use.
func (d *decision) busySlots() (total int) {
	for _, n := range d.busy {
		total += n
	}
	return total
}

// hasSlot reports whether a slot is free for a request of the class.
func (d *decision) hasSlot(c mesh.Class) bool {
	if d.busySlots() >= d.limits.Slots {
		return false
	}
	if d.limits.PriorityOnly {
		return c != mesh.Download || !d.shortPresent || d.busy[c.Index()] < downloadSlots(d.limits.Slots)
	}
	background := d.busy[mesh.Background.Index()]
	longRunning := d.busy[mesh.Upload.Index()] + d.busy[mesh.Download.Index()] + background
	switch c {
	case mesh.Upload, mesh.Download:
		return longRunning < longRunningSlots(d.limits.Slots)
	case mesh.Background:
		return background < backgroundSlots(d.limits.Slots) && longRunning < longRunningSlots(d.limits.Slots)
	}
	return true
}

// estimateWait estimates how long a request of the class would wait for a slot.
func (d *decision) estimateWait(c mesh.Class) time.Duration {
	slots := d.limits.Slots
	if !d.limits.PriorityOnly && (c.LongRunning() || c == mesh.Background) {
		slots = longRunningSlots(slots)
	}
	return (d.queuedTime + d.limits.ServiceTimes.Mean(c)) / time.Duration(max(slots, 1))
}

// longRunningSlots returns the maximum number of slots that uploads, downloads
// and background requests hold together: two thirds, at least one, and fewer than
// all where there are two or more.
func longRunningSlots(slots int) int { return max(slots*2/3, 1) }

// downloadSlots returns the maximum number of slots that downloads hold beside
// other requests where routes set priorities. A download keeps its slot until its
// response is transferred. On a slow link the transfers take longer the more of
// them share it, until downloads hold every slot, and the responses of short
// requests wait behind them on the link.
func downloadSlots(slots int) int { return max(slots/3, 1) }

// backgroundSlots returns the maximum number of slots that background requests
// hold.
func backgroundSlots(slots int) int { return max(slots/4, 1) }

// classQueueLimit returns the queue length at which requests of the class are
// refused: background requests are refused first, then uploads and downloads, then
// lookups.
func classQueueLimit(queue int, c mesh.Class) int {
	switch c {
	case mesh.Booking:
		return queue
	case mesh.Lookup:
		return queue * 3 / 4
	case mesh.Upload, mesh.Download:
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

// compareByClass orders requests by priority, then class, deadline, arrival and
// ID.
func compareByClass(a, b Request) int {
	return cmp.Or(
		cmp.Compare(a.AccountPriority, b.AccountPriority),
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.Class.Index(), b.Class.Index()),
		a.Deadline.Compare(b.Deadline),
		a.Arrived.Compare(b.Arrived),
		cmp.Compare(a.ID, b.ID),
	)
}

// Occupancy returns the load that responses report: slots, busy slots and
// queued requests. It leaves Load.Failing zero.
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
