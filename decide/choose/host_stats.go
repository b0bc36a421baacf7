package choose

import (
	"math"
	"time"

	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

const (
	// latencyWeightDivisor gives a latency below the estimate a weight of 1/4;
	// a latency above it replaces the estimate at once.
	latencyWeightDivisor = 4
	// latencyDecayTime is the time constant with which an estimate that is not
	// renewed decays towards the median of the candidates: the distance falls
	// to about a third in that time.
	latencyDecayTime = time.Second
	// loadDecayTime is the time constant for a reported load, which decays
	// towards the mean of the candidates.
	loadDecayTime = 500 * time.Millisecond
	// failureDecayTime is the time constant for the reported failure ratio,
	// which decays towards zero, so that a host that gets no requests is tried
	// again within seconds.
	failureDecayTime = 2 * time.Second
	// ejectionThreshold is the number of consecutive failures that ejects a
	// host.
	ejectionThreshold = 3
	// baseEjectionTime is the duration of the first ejection; each further one
	// lasts twice as long, up to maxEjectionTime.
	baseEjectionTime = 500 * time.Millisecond
	maxEjectionTime  = 30 * time.Second
	// drainingTime is how long a host gets no requests after it reported that
	// it drains.
	drainingTime = 5 * time.Second
	// maxRefusedTime limits how long a refusal keeps requests of its class from
	// being sent to a host.
	maxRefusedTime = time.Second
)

// HostStats holds the statistics of a host that this node collects from its own
// requests to it. It is a value; the zero value has no observations.
type HostStats struct {
	// Incarnation is the incarnation of the host's node that the statistics are
	// about.
	Incarnation mesh.Incarnation
	// Load is the load that the host reported last, and LoadAt when it did.
	Load   mesh.Load
	LoadAt time.Time
	// ConsecutiveFailures counts the consecutive failures since the last
	// response.
	ConsecutiveFailures int
	// Ejections counts the ejections since the last response.
	Ejections    int
	EjectedUntil time.Time
	// DrainingUntil is when requests are sent to the host again after it
	// reported that it drains; zero when it did not.
	DrainingUntil time.Time
	latency       [mesh.NumClasses]time.Duration
	latencyAt     [mesh.NumClasses]time.Time
	refusedUntil  [mesh.NumClasses]time.Time
}

// ForIncarnation returns the statistics if they are about the given incarnation
// of the host, else empty ones: the statistics of an earlier process do not
// apply to a restarted host.
func (r HostStats) ForIncarnation(i mesh.Incarnation) HostStats {
	if r.Incarnation == i {
		return r
	}
	return HostStats{Incarnation: i}
}

// ObserveResponse returns the statistics after a response to a request of the
// class. It resets failures, ejection and draining.
func (r HostStats) ObserveResponse(now time.Time, c mesh.Class, took time.Duration, load mesh.Load) HostStats {
	i := c.Index()
	if took >= r.latency[i] {
		r.latency[i] = took
	} else {
		r.latency[i] += (took - r.latency[i]) / latencyWeightDivisor
	}
	r.latencyAt[i] = now
	r.refusedUntil[i] = time.Time{}
	r.ConsecutiveFailures, r.Ejections = 0, 0
	r.EjectedUntil, r.DrainingUntil = time.Time{}, time.Time{}
	return r.withLoad(now, load)
}

// ObserveAbandoned returns the statistics after a request that was abandoned
// without a response after atLeast. That time is a lower bound, so it can only
// raise the latency estimate.
func (r HostStats) ObserveAbandoned(now time.Time, c mesh.Class, atLeast time.Duration) HostStats {
	if i := c.Index(); atLeast > r.latency[i] {
		r.latency[i] = atLeast
		r.latencyAt[i] = now
	}
	return r
}

// ObserveRefusal returns the statistics after a refusal by the host's node,
// with the retry delay (zero for none) and load that the node returned. It is
// not a failure: the node is alive.
func (r HostStats) ObserveRefusal(now time.Time, c mesh.Class, reason verdict.Reason, retryAfter time.Duration, load mesh.Load) HostStats {
	if reason == verdict.Draining {
		r.DrainingUntil = now.Add(drainingTime)
	}
	if retryAfter > 0 {
		r.refusedUntil[c.Index()] = now.Add(min(retryAfter, maxRefusedTime))
	}
	return r.withLoad(now, load)
}

// ObserveFailure returns the statistics after a connection or transport
// failure. It ejects the host after ejectionThreshold consecutive failures.
func (r HostStats) ObserveFailure(now time.Time) HostStats {
	r.ConsecutiveFailures++
	if r.ConsecutiveFailures >= ejectionThreshold {
		r.EjectedUntil = now.Add(min(baseEjectionTime<<min(r.Ejections, 16), maxEjectionTime))
		r.Ejections++
		r.ConsecutiveFailures = ejectionThreshold - 1 // one more failure ejects the host again
	}
	return r
}

// withLoad returns the statistics with a reported load; without slots it counts
// as not reported.
func (r HostStats) withLoad(now time.Time, load mesh.Load) HostStats {
	if load.Slots > 0 {
		r.Load = load
		r.LoadAt = now
	}
	return r
}

// LoadAge returns how long ago the load was reported; zero when none was.
func (r HostStats) LoadAge(now time.Time) time.Duration {
	if r.LoadAt.IsZero() {
		return 0
	}
	return now.Sub(r.LoadAt)
}

// RefusesClass reports whether the host has refused the class with a retry
// delay that is not over yet.
func (r HostStats) RefusesClass(now time.Time, c mesh.Class) bool {
	return now.Before(r.refusedUntil[c.Index()])
}

// isUnavailable reports whether the host is ejected or draining.
func (r HostStats) isUnavailable(now time.Time) bool {
	return now.Before(r.EjectedUntil) || now.Before(r.DrainingUntil)
}

// reportedLoad returns the reported requests, running and queued, for each
// slot; zero when none were reported.
func (r HostStats) reportedLoad() float64 {
	return float64(r.Load.Busy+r.Load.Queued) / float64(max(r.Load.Slots, 1))
}

// expectedLoad returns the load for each slot, which decays from the reported
// one to the typical one. Decaying to zero would make a full host look idle to
// every node whose last report is a second old, which is most nodes of a large
// fleet.
func (r HostStats) expectedLoad(now time.Time, typical float64) float64 {
	return typical + (r.reportedLoad()-typical)*decay(now.Sub(r.LoadAt), loadDecayTime)
}

// failureRatio returns the reported failure ratio, 0 to 1, which decays to zero
// as the report ages.
func (r HostStats) failureRatio(now time.Time) float64 {
	return float64(r.Load.Failing) / 100 * decay(now.Sub(r.LoadAt), failureDecayTime)
}

// expectedLatency returns the latency estimate for the class in nanoseconds,
// which decays to the typical latency as it ages.
func (r HostStats) expectedLatency(now time.Time, c mesh.Class, typical float64) float64 {
	i := c.Index()
	if r.latency[i] == 0 {
		return typical
	}
	return typical + (float64(r.latency[i])-typical)*decay(now.Sub(r.latencyAt[i]), latencyDecayTime)
}

// decay returns the weight of a value of the given age, e^(-age/timeConstant).
func decay(age, timeConstant time.Duration) float64 {
	return math.Exp(-float64(age) / float64(timeConstant))
}
