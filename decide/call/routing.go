package call

import (
	"math/rand/v2"
	"time"

	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// identify sets the client account of the request. It returns false if the
// configuration has accounts and the request has no key of one.
func (c *Call) identify(routes *route.Table) (account mesh.Account, known bool) {
	if !routes.HasAccounts() {
		return mesh.Account{}, true
	}
	c.RemovesAccount = true
	account, known = routes.AccountOf(c.Request.Key)
	c.Account, c.AccountPriority = account.Name, account.Priority
	return account, known
}

// withRoute returns the call with the settings of its route and the version in
// force. The parent is the run that makes the request; nil if it is not a call of
// the own backend server.
func (c Call) withRoute(r mesh.Route, w Environment) (with Call, parent *RunningRequest) {
	c.Rule = r.Rule
	if len(r.Split) > 0 {
		c.Rule.Service = drawService(r.Split, w.Random)
	}
	c.Version = w.Routes.Version
	c.Priority = r.Priority
	c.MaxBackendAttempts = r.MaxBackendAttempts
	waited := time.Duration(0)
	if r.LatencyObjective > 0 || w.RanksCalls {
		waited, parent = c.observeRoute(r.ID, w)
	}
	if r.LatencyObjective > 0 {
		c.Objective = c.Request.Arrived.Add(r.LatencyObjective - waited)
	}
	return c, parent
}

// observeRoute counts the request in the state of its route. It estimates how
// long the caller has waited for earlier tries, and returns the run that makes
// the request, or nil. Clients' requests carry keys where accounts exist, and
// match a running request only by chance, so a request is taken for a call only
// if it has no key, and names the running request or has its deadline as most
// requests of its route do.
func (c Call) observeRoute(id string, w Environment) (waited time.Duration, parent *RunningRequest) {
	if c.Request.Deadline.IsZero() {
		return 0, nil
	}
	var isNamed bool
	if c.Request.Key == (mesh.KeyHash{}) { // calls have no key
		parent, isNamed = findParent(c.Request.ParentID, c.Request.Deadline, w.Running)
	}
	state := w.Route(id)
	remaining := c.Request.Deadline.Sub(c.Request.Arrived)
	waited = state.WaitedBefore(remaining)
	*state = state.Observe(remaining, parent != nil)
	if !w.RanksCalls || !isNamed && !state.IsNested() {
		parent = nil
	}
	return waited, parent
}

// missedObjective reports whether the latency objective has passed.
func (c Call) missedObjective(now time.Time) bool {
	return !c.Objective.IsZero() && !now.Before(c.Objective)
}

// drawService draws the service of one request at random, according to the
// weights of the split.
func drawService(shares []mesh.WeightedService, random *rand.Rand) mesh.ServiceName {
	total := 0
	for _, share := range shares {
		total += share.Weight
	}
	drawn := random.IntN(max(total, 1))
	for _, share := range shares {
		if drawn -= share.Weight; drawn < 0 {
			return share.Service
		}
	}
	return shares[len(shares)-1].Service
}
