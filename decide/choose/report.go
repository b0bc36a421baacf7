package choose

import (
	"math"
	"time"

	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

const (
	// latencyGain is the weight of one latency below the estimate; one above
	// it is taken over at once.
	latencyGain = 4
	// latencyAging is the time in which an estimate that nothing renews falls
	// to a third of its distance from its peers.
	latencyAging = time.Second
	// loadAging is the same for a reported load.
	loadAging = 500 * time.Millisecond
	// failingAging is the same for the reported part of failures: a host that
	// gets nothing is tried again within seconds.
	failingAging = 2 * time.Second
	// ejectFailures is the number of failures in a row that eject a host.
	ejectFailures = 3
	// ejectTime is how long the first ejection lasts; it doubles.
	ejectTime    = 500 * time.Millisecond
	maxEjectTime = 30 * time.Second
	// drainTime is how long a host is left alone after it said that it drains.
	drainTime = 5 * time.Second
	// maxClosed bounds how long a refusal keeps a class away.
	maxClosed = time.Second
)

// Report is what this node knows of a host from its own requests there. It is
// a value; the zero value knows nothing.
type Report struct {
	// Incarnation is the life of the host's node that it is about.
	Incarnation mesh.Incarnation
	// Load is what the host last reported, and At when.
	Load mesh.Load
	At   time.Time
	// Failures counts the failures since the last answer.
	Failures int
	// Ejections counts the ejections since the last answer.
	Ejections    int
	EjectedUntil time.Time
	// DrainingUntil is the end of the time in which it gets nothing because
	// it said that it drains.
	DrainingUntil time.Time
	latency       [mesh.NumClasses]time.Duration
	latencyAt     [mesh.NumClasses]time.Time
	closedUntil   [mesh.NumClasses]time.Time
}

// For returns the report where it is about the given life of the host, and an
// empty one otherwise: a host that came back starts anew.
func (r Report) For(i mesh.Incarnation) Report {
	if r.Incarnation == i {
		return r
	}
	return Report{Incarnation: i}
}

// Answered returns the report after an answer to a request of the class.
func (r Report) Answered(now time.Time, c mesh.Class, took time.Duration, load mesh.Load) Report {
	i := c.Index()
	if took >= r.latency[i] {
		r.latency[i] = took
	} else {
		r.latency[i] += (took - r.latency[i]) / latencyGain
	}
	r.latencyAt[i] = now
	r.closedUntil[i] = time.Time{}
	r.Failures, r.Ejections = 0, 0
	r.EjectedUntil, r.DrainingUntil = time.Time{}, time.Time{}
	return r.loaded(now, load)
}

// Slow returns the report after a request that was given up after so long: it
// can only raise the estimate.
func (r Report) Slow(now time.Time, c mesh.Class, atLeast time.Duration) Report {
	if i := c.Index(); atLeast > r.latency[i] {
		r.latency[i] = atLeast
		r.latencyAt[i] = now
	}
	return r
}

// Refused returns the report after a refusal by the host's node, which is
// alive and knows its load.
func (r Report) Refused(now time.Time, c mesh.Class, reason verdict.Reason, after time.Duration, load mesh.Load) Report {
	if reason == verdict.Draining {
		r.DrainingUntil = now.Add(drainTime)
	}
	if after > 0 {
		r.closedUntil[c.Index()] = now.Add(min(after, maxClosed))
	}
	return r.loaded(now, load)
}

// Failed returns the report after a failure without any word from the host.
func (r Report) Failed(now time.Time) Report {
	r.Failures++
	if r.Failures >= ejectFailures {
		r.EjectedUntil = now.Add(min(ejectTime<<min(r.Ejections, 16), maxEjectTime))
		r.Ejections++
		r.Failures = ejectFailures - 1 // one more failure ejects again
	}
	return r
}

func (r Report) loaded(now time.Time, load mesh.Load) Report {
	if load.Slots > 0 {
		r.Load = load
		r.At = now
	}
	return r
}

// Age is how long ago the load was reported; zero when it never was.
func (r Report) Age(now time.Time) time.Duration {
	if r.At.IsZero() {
		return 0
	}
	return now.Sub(r.At)
}

// Closed reports whether the host asked not to be sent the class for now.
func (r Report) Closed(now time.Time, c mesh.Class) bool {
	return now.Before(r.closedUntil[c.Index()])
}

// out reports whether the host gets nothing for now.
func (r Report) out(now time.Time) bool {
	return now.Before(r.EjectedUntil) || now.Before(r.DrainingUntil)
}

// reported is the reported work for each slot; zero when none was reported.
func (r Report) reported() float64 {
	return float64(r.Load.Busy+r.Load.Queued) / float64(max(r.Load.Slots, 1))
}

// load is the reported work for each slot, drawn towards the usual as the
// report ages. Towards none, a full host would look idle to those that heard of
// it a second ago, which is most nodes of a large fleet.
func (r Report) load(now time.Time, usual float64) float64 {
	return usual + (r.reported()-usual)*fade(now.Sub(r.At), loadAging)
}

// failing is the reported part of requests that fail, less as the report ages.
func (r Report) failing(now time.Time) float64 {
	return float64(r.Load.Failing) / 100 * fade(now.Sub(r.At), failingAging)
}

// expected is the latency estimate, drawn towards typical as it ages.
func (r Report) expected(now time.Time, c mesh.Class, typical float64) float64 {
	i := c.Index()
	if r.latency[i] == 0 {
		return typical
	}
	return typical + (float64(r.latency[i])-typical)*fade(now.Sub(r.latencyAt[i]), latencyAging)
}

func fade(age, scale time.Duration) float64 {
	return math.Exp(-float64(age) / float64(scale))
}
