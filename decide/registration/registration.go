// Package registration decides what a node believes of its own backend server
// from the reports that the backend server sends. Reports may be late, repeated
// or out of order, and a backend server may start again under the same name.
package registration

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Phase is where a backend server stands in its life.
type Phase uint8

// The phases.
const (
	// Unknown: nothing was reported yet.
	Unknown Phase = iota
	// Ready: it takes requests.
	Ready
	// Draining: it leaves; it takes no new requests.
	Draining
	// Gone: it has said that it is gone, or another one has its address.
	Gone
)

// String returns the phase's name.
func (p Phase) String() string {
	names := [...]string{"unknown", "ready", "draining", "gone"}
	if int(p) >= len(names) {
		return "invalid"
	}
	return names[p]
}

// Report is what a backend server says of itself.
type Report struct {
	// Instance names one backend server; a restarted one may have the same.
	Instance string
	Service  mesh.ServiceName
	// Address is its IP:port.
	Address string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Phase is Ready, Draining or Gone. A report of Gone has nothing but the
	// instance.
	Phase Phase
	// Cold is how much longer it stays slow after its start.
	Cold time.Duration
	// Sequence rises with each report of one start.
	Sequence uint64
	// Born is when it started, in milliseconds since 1970 by its own clock; it
	// orders the starts at one address. Zero when it did not say.
	Born int64
}

// Backend is what the node believes of its backend server. It is a value.
type Backend struct {
	Report
	// HeardAt is when the last report that counted came.
	HeardAt time.Time
	// ColdUntil is when it stops being slow after its start.
	ColdUntil time.Time
	// Failures counts the connections in a row that it did not take.
	Failures int
	// DownUntil is the end of the time in which it gets no requests because it
	// took no connection.
	DownUntil time.Time
	// Departed is an instance that said it was gone before this process knew
	// of it: a report of it may still be on its way.
	Departed Departure
}

// Departure is an instance that has gone.
type Departure struct {
	Instance string
	// Born is its time of start; zero while it is not known.
	Born int64
}

// firstReports is the number of reports at the start of a backend server by
// which it is told from one that left under the same name: one of them gets
// through unless both were lost.
const firstReports = 2

// Verdict is what became of a report.
type Verdict uint8

// What becomes of a report.
const (
	// Accepted: the belief changed or was confirmed.
	Accepted Verdict = iota
	// Stale: a newer report is known.
	Stale
	// Mismatched: it is about another service or address than this node's.
	Mismatched
)

// String returns the verdict's name.
func (v Verdict) String() string {
	names := [...]string{"accepted", "stale", "mismatched"}
	if int(v) >= len(names) {
		return "invalid"
	}
	return names[v]
}

const (
	// downBase is how long the backend server rests after the first connection
	// that it did not take; it doubles. A report ends it.
	downBase = 250 * time.Millisecond
	// maxDown bounds it: a backend server that came back without a report that
	// arrived is found again within that.
	maxDown = 2 * time.Second
)

// Apply returns the belief after a report. own is the service and address that
// the node's settings name.
func Apply(now time.Time, b Backend, r Report, own Report) (Backend, Verdict) {
	if r.Phase == Gone {
		return b.gone(r)
	}
	if r.Service != own.Service || r.Address != own.Address {
		return b, Mismatched
	}
	departed, late := b.Departed.hear(r)
	b.Departed = departed
	if late || !b.isNews(r) {
		return b, Stale
	}
	return Backend{Report: r, HeardAt: now, ColdUntil: now.Add(r.Cold), Departed: departed}, Accepted
}

// gone takes in that an instance has gone.
func (b Backend) gone(r Report) (Backend, Verdict) {
	if r.Instance != b.Instance || b.Phase == Unknown {
		b.Departed = Departure{Instance: r.Instance, Born: r.Born}
		return b, Accepted
	}
	if r.Born != 0 && r.Born != b.Born {
		return b, Stale
	}
	b.Phase = Gone
	return b, Accepted
}

// hear returns the departure after a report, and whether the report is a late
// one of the instance that has gone.
func (d Departure) hear(r Report) (_ Departure, late bool) {
	if r.Instance != d.Instance {
		return d, false
	}
	if d.Born != 0 {
		return d, r.Born <= d.Born
	}
	if r.Sequence <= firstReports {
		return d, false
	}
	d.Born = r.Born
	return d, true
}

// isNews reports whether a report is newer than what is known.
func (b Backend) isNews(r Report) bool {
	switch {
	case b.Phase == Unknown:
		return true
	case r.Born != b.Born && r.Born != 0 && b.Born != 0:
		return r.Born > b.Born
	case r.Instance != b.Instance:
		// Without times of start a new name is a new backend server.
		return true
	case b.Phase == Gone:
		return false
	}
	return r.Sequence > b.Sequence
}

// Takes reports whether the backend server may get requests now.
func (b Backend) Takes(now time.Time) bool {
	return b.Phase == Ready && !now.Before(b.DownUntil)
}

// Refused returns the belief after the backend server took no connection.
func (b Backend) Refused(now time.Time) Backend {
	b.DownUntil = now.Add(min(downBase<<min(b.Failures, 8), maxDown))
	b.Failures++
	return b
}

// Replaced returns the belief after another backend server answered at the
// address of the instance given.
func (b Backend) Replaced(instance string) Backend {
	if instance == b.Instance {
		b.Phase = Gone
	}
	return b
}
