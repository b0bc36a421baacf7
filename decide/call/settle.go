package call

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/decide/choose"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// Hosts is what the node knows of the hosts it sends to. Settle reads and
// writes it.
type Hosts interface {
	Report(mesh.HostID) choose.Report
	SetReport(mesh.HostID, choose.Report)
	// Leave counts one request less under way at the host.
	Leave(mesh.HostID)
}

// Settle counts what came of the attempts into what is known of their hosts
// and of the service, each attempt once. An attempt that is given up for
// another's answer, or with the caller, counts as one that took at least so
// long.
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
		hosts.SetReport(host, learn(now, c.Rule.Class, report, a))
		if a.Outcome != nil && a.Outcome.Reason == "" && c.Rule.Class == mesh.Lookup {
			service.Hedges = service.Hedges.Observe(a.Outcome.Took)
		}
	}
	c.Attempts = attempts
	return c
}

// Unsettled reports whether Settle has something to count in.
func (c Call) Unsettled() bool {
	for _, a := range c.Attempts {
		if !a.Settled && (a.Outcome != nil || c.Ended || c.Final()) {
			return true
		}
	}
	return false
}

// learn returns the report of a host after one attempt there.
func learn(now time.Time, class mesh.Class, r choose.Report, a Attempt) choose.Report {
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
