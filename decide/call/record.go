package call

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/decide/choose"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// HostStatsStore gives RecordOutcomes access to the statistics that the node
// keeps about the hosts it sends requests to.
type HostStatsStore interface {
	HostStats(mesh.HostID) choose.HostStats
	SetHostStats(mesh.HostID, choose.HostStats)
	// DecrementInFlight decrements the number of requests in flight at the
	// host.
	DecrementInFlight(mesh.HostID)
}

// RecordOutcomes updates the statistics of the hosts and of the service with
// the outcomes of the attempts, each attempt once, and returns the call with
// those attempts marked as recorded. An attempt that was abandoned, because
// another one got a response or the caller canceled, counts as a request that
// took at least as long as it ran.
func RecordOutcomes(now time.Time, c Call, hosts HostStatsStore, service *ServiceState) Call {
	over := c.Ended || c.Final()
	attempts := append([]Attempt(nil), c.Attempts...)
	for i, a := range attempts {
		if a.Recorded || a.Outcome == nil && !over {
			continue
		}
		attempts[i].Recorded = true
		host := a.Target.Host
		hosts.DecrementInFlight(host)
		stats := hosts.HostStats(host).ForIncarnation(a.Target.Incarnation)
		hosts.SetHostStats(host, updateStats(now, c.Rule.Class, stats, a))
		if a.Outcome != nil && a.Outcome.Reason == "" && c.Rule.Class == mesh.Lookup {
			service.HedgeState = service.HedgeState.Observe(a.Outcome.Latency)
		}
	}
	c.Attempts = attempts
	return c
}

// HasUnrecorded reports whether RecordOutcomes has an attempt to record.
func (c Call) HasUnrecorded() bool {
	for _, a := range c.Attempts {
		if !a.Recorded && (a.Outcome != nil || c.Ended || c.Final()) {
			return true
		}
	}
	return false
}

// updateStats returns the statistics of a host after one attempt there.
func updateStats(now time.Time, class mesh.Class, r choose.HostStats, a Attempt) choose.HostStats {
	o := a.Outcome
	switch {
	case o == nil:
		return r.ObserveAbandoned(now, class, now.Sub(a.Sent))
	case o.Reason == "":
		return r.ObserveResponse(now, class, o.Latency, o.Load)
	case o.Reason == verdict.ConnectFailed || o.Reason == verdict.TransportFailed:
		return r.ObserveFailure(now)
	case o.Load.Slots > 0:
		return r.ObserveRefusal(now, class, o.Reason, o.RetryAfter, o.Load)
	case o.Reason == verdict.DeadlineExceeded || o.Reason == verdict.NotAdmitted:
		return r.ObserveAbandoned(now, class, o.Latency)
	}
	return r
}
