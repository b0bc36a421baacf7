// Package admit decides which requests enter the node's own backend server. It
// is the only admission point of that server, so a refusal from it is a fact:
// the request did not run.
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
	ID       string
	Class    mesh.Class
	Arrived  time.Time
	Deadline time.Time
	State    State
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
}

// Decide returns the requests whose state changes now, in the order of the
// changes: waiting ones are granted a slot, refused, or left to wait.
func Decide(now time.Time, limits Limits, requests []Request) []Request {
	busy := 0
	var waiting []Request
	for _, r := range requests {
		switch r.State {
		case Granted:
			busy++
		case Waiting:
			waiting = append(waiting, r)
		}
	}
	slices.SortStableFunc(waiting, byUrgency)
	var changed []Request
	queued := 0
	for _, r := range waiting {
		switch {
		case limits.Draining:
			changed = append(changed, refuse(r, verdict.Draining))
		case !now.Before(r.Deadline):
			changed = append(changed, refuse(r, verdict.DeadlineTooShort))
		case busy < limits.Slots:
			busy++
			r.State = Granted
			changed = append(changed, r)
		case queued >= limits.Queue:
			changed = append(changed, refuse(r, verdict.QueueFull))
		default:
			queued++
		}
	}
	return changed
}

func refuse(r Request, reason verdict.Reason) Request {
	r.State = Refused
	r.Reason = reason
	return r
}

// byUrgency orders by class, then deadline, then arrival.
func byUrgency(a, b Request) int {
	classes := mesh.Classes()
	return cmp.Or(
		cmp.Compare(slices.Index(classes, a.Class), slices.Index(classes, b.Class)),
		a.Deadline.Compare(b.Deadline),
		a.Arrived.Compare(b.Arrived),
		cmp.Compare(a.ID, b.ID),
	)
}
