package call

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/decide/choose"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// Hosts gives Settle access to the statistics that the node keeps about the
// hosts it sends requests to.
type Hosts interface {
	Report(mesh.HostID) choose.Report
	SetReport(mesh.HostID, choose.Report)
	// Leave decrements the number of requests in flight at the host.
	Leave(mesh.HostID)
}

// Settle updates the statistics of the hosts and of the service with the
// outcomes of the attempts, each attempt once, and returns the call with those
// attempts marked as settled. An attempt that was abandoned, because another
// one was answered or the caller left, counts as a request that took at least
// as long as it ran.
func Settle(now time.Time, c Call, hosts Hosts, service *Service) Call {
	over := c.Ended || c.Final()
	attempts := append([]Attempt(nil), c.Attempts...)
	for i, a := range attempts {
		if a.Settled || a.Outcome == nil && !over {
			continue
		}
		attempts[i].Settled = true
		host := a.Target.Host
		hosts.Leave(host)
		report := hosts.Report(host).For(a.Target.Incarnation)
		hosts.SetReport(host, updateReport(now, c.Rule.Class, report, a))
		if a.Outcome != nil && a.Outcome.Reason == "" && c.Rule.Class == mesh.Lookup {
			service.Hedges = service.Hedges.Observe(a.Outcome.Took)
		}
	}
	c.Attempts = attempts
	return c
}

// Unsettled reports whether Settle has an attempt to count.
func (c Call) Unsettled() bool {
	for _, a := range c.Attempts {
		if !a.Settled && (a.Outcome != nil || c.Ended || c.Final()) {
			return true
		}
	}
	return false
}

// updateReport returns the statistics of a host after one attempt there.
func updateReport(now time.Time, class mesh.Class, r choose.Report, a Attempt) choose.Report {
	o := a.Outcome
	switch {
	case o == nil:
		return r.Slow(now, class, now.Sub(a.Sent))
	case o.Reason == "":
		return r.Answered(now, class, o.Took, o.Load)
	case o.Reason == verdict.ConnectFailed || o.Reason == verdict.TransportFailed:
		return r.Failed(now)
	case o.Load.Slots > 0:
		return r.Refused(now, class, o.Reason, o.RetryAfter, o.Load)
	case o.Reason == verdict.DeadlineExceeded:
		return r.Slow(now, class, o.Took)
	}
	return r
}
