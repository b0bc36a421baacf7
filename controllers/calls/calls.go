// Package calls is the controller of callers' requests at the node that
// received them. It decides the next step of each request in the table Calls
// (attempt, retry, hedge, response or refusal), and maintains what this node
// measures of hosts and services in the tables HostStats, InFlight and
// Services. A call of an account with a quota takes a token from the account's
// lease before its first attempt is chosen.
package calls

import (
	"iter"
	"math/rand/v2"
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/admit"
	"github.com/marigoldshelf/marigoldshelf/decide/call"
	"github.com/marigoldshelf/marigoldshelf/decide/choose"
	"github.com/marigoldshelf/marigoldshelf/decide/quota"
	"github.com/marigoldshelf/marigoldshelf/decide/retry"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// Config holds the controller's settings.
type Config struct {
	// Zone and Region are those of this node.
	Zone   mesh.Zone
	Region mesh.Region
	// RetryBudget returns the retry budget shared by all nodes. If it is nil or
	// returns the zero value, each node uses the default retry policy.
	RetryBudget func() SharedRetryBudget
	// ResponseMargin is how long before the caller's deadline a response is due.
	ResponseMargin time.Duration
	// Random is the source of random choices. It is used only under the write
	// lock of the table Calls.
	Random *rand.Rand
}

// SharedRetryBudget bounds, for each service and all nodes together, the
// requests that are sent to a second backend server.
type SharedRetryBudget struct {
	// Ratio is the fraction of the requests for the service, 0 to 1.
	Ratio float64
	// ExtraRetries is the number of requests beyond that fraction, in a window
	// of some seconds.
	ExtraRetries float64
}

const (
	// usedRatioFraction is the fraction of SharedRetryBudget.Ratio that nodes
	// use. A request that runs twice also makes its own calls twice. Those
	// count as requests at the services called, whose own retries come on top.
	usedRatioFraction = 0.4
	// usedExtraFraction is the fraction of SharedRetryBudget.ExtraRetries that
	// nodes use. A node that restarts within the window starts with a full
	// share, and dead members are counted until they are removed from the table
	// Members.
	usedExtraFraction = 0.4
)

// perNode returns the retry policy of one node when nodes share the budget.
// Nodes can have different member counts: the unused fractions absorb the
// difference.
func (b SharedRetryBudget) perNode(nodes int) retry.Policy {
	if b == (SharedRetryBudget{}) {
		return retry.Policy{}
	}
	return retry.Policy{
		Ratio:    usedRatioFraction * b.Ratio,
		Capacity: max(usedExtraFraction*b.ExtraRetries/float64(max(nodes, 1)), 1),
	}
}

// Register adds the controller to the pool; its key is the request ID.
func Register(p *controller.Pool, t *tables.Tables, c Config) {
	if c.RetryBudget == nil {
		c.RetryBudget = func() SharedRetryBudget { return SharedRetryBudget{} }
	}
	r := reconciler{tables: t, config: c}
	handle := controller.Register(p, "calls", r.reconcile)
	t.Calls.Watch(handle.Add)
}

type reconciler struct {
	tables *tables.Tables
	config Config
}

func (r reconciler) reconcile(now time.Time, id string) (result controller.Result) {
	t := r.tables
	step := func() (before, after call.Token, account mesh.AccountName) {
		t.Board.Do(func(tx *blackboard.Tx) {
			c, _ := t.Calls.Get(tx, id)
			before = c.Token
			result = r.reconcileTx(tx, now, id)
			c, _ = t.Calls.Get(tx, id)
			after, account = c.Token, c.Account
		},
			t.Routes.Read(), t.Rejected.Read(), t.Floor.Read(), t.Members.Read(), t.Endpoints.Read(), t.HostStats.Write(), t.InFlight.Write(), t.Services.Write(), t.RouteStates.Write(),
			t.Calls.Write(), t.Drain.Read(), t.Limits.Read(), t.Admissions.Read(), t.PendingHedges.Write())
		return before, after, account
	}
	before, after, account := step()
	if before.State == call.NoToken && after.State == call.TokenNeeded && r.takeToken(now, id) {
		before, after, account = step()
	}
	if before.State != call.TokenReturned && after.Returns() {
		r.returnToken(now, account, after)
	}
	return result
}

// takeToken takes a token from the lease of the call's account, or adds the call to
// those that wait for one. It reports whether the call's token is decided.
func (r reconciler) takeToken(now time.Time, id string) (decided bool) {
	t := r.tables
	t.Board.Do(func(tx *blackboard.Tx) {
		c, found := t.Calls.Get(tx, id)
		if !found || c.Token.State != call.TokenNeeded {
			return
		}
		account, _ := t.Routes.Get(tx).Account(c.Account)
		lease, _ := t.Leases.Get(tx, c.Account)
		lease, decision := lease.Take(now, account, t.QuotaDuty.Get(tx))
		t.Leases.Put(tx, c.Account, lease)
		if decision.Outcome == quota.Waiting {
			request, _ := t.LeaseRequests.Get(tx, c.Account)
			if request, added := request.Add(id); added {
				t.LeaseRequests.Put(tx, c.Account, request)
				return
			}
			decision.Outcome = quota.Unavailable
		}
		t.Calls.Put(tx, id, c.WithToken(decision))
		decided = true
	}, t.Routes.Read(), t.QuotaDuty.Read(), t.Leases.Write(), t.LeaseRequests.Write(), t.Calls.Write())
	return decided
}

// returnToken puts the token of a call that was refused without having run back
// into the lease of its account.
func (r reconciler) returnToken(now time.Time, account mesh.AccountName, token call.Token) {
	t := r.tables
	t.Board.Do(func(tx *blackboard.Tx) {
		if lease, found := t.Leases.Get(tx, account); found {
			t.Leases.Put(tx, account, lease.Return(now, token.Decision.Expires))
		}
	}, t.Leases.Write())
}

// reconcileTx records the outcomes of the attempts, decides the next step, and
// schedules the next call for when time alone requires a decision. It deletes a
// call that the front end has marked as ended.
func (r reconciler) reconcileTx(tx *blackboard.Tx, now time.Time, id string) controller.Result {
	c, found := r.tables.Calls.Get(tx, id)
	if !found {
		return controller.Result{}
	}
	if c.Ended {
		r.recordOutcomes(tx, now, c)
		r.tables.Calls.Delete(tx, id)
		r.tables.PendingHedges.Delete(tx, id)
		return controller.Result{}
	}
	next := r.decide(tx, now, r.recordOutcomes(tx, now, c))
	r.startAttempts(tx, now, id, next, len(c.Attempts))
	next = r.recordOutcomes(tx, now, next)
	if needsWrite(c, next) {
		r.tables.Calls.Put(tx, id, next)
	}
	wakeAt := next.NextDecisionAt()
	if wakeAt.IsZero() {
		return controller.Result{}
	}
	return controller.Result{RequeueAfter: max(wakeAt.Sub(now), time.Microsecond)}
}

// decide returns the call after its next step. It reads the state of the
// service when the decision first needs it, and writes it back after the
// decision.
func (r reconciler) decide(tx *blackboard.Tx, now time.Time, c call.Call) call.Call {
	var service call.ServiceState
	var serviceName mesh.ServiceName
	var route call.RouteState
	var routeID string
	inputs := call.Environment{
		Routes:         r.tables.Routes.Get(tx),
		FloorUnknown:   !r.tables.Floor.Get(tx).Known,
		ConfigRejected: r.tables.Rejected.Get(tx).Reason != "",
		Zone:           r.config.Zone,
		Region:         r.config.Region,
		Random:         r.config.Random,
		Pick:           choose.Pick,
		ResponseMargin: r.config.ResponseMargin,
		AnswersDue:     r.tables.Drain.Get(tx).AnswersDue(),
		RetryPolicy:    r.config.RetryBudget().perNode(r.tables.Members.Len(tx)),
		Candidates:     func(s mesh.ServiceName) []choose.Candidate { return r.candidates(tx, s) },
		Service: func(s mesh.ServiceName) *call.ServiceState {
			if serviceName != s {
				serviceName = s
				service, _ = r.tables.Services.Get(tx, s)
			}
			return &service
		},
		Running:    r.running(tx),
		RanksCalls: r.tables.Limits.Get(tx).PriorityOnly,
		Route: func(id string) *call.RouteState {
			routeID = id
			route, _ = r.tables.RouteStates.Get(tx, id)
			return &route
		},
	}
	next := c
	if c.Step.Number == 0 && c.Token.State == call.NoToken {
		next = call.Begin(now, c.Request, inputs)
	} else {
		next = call.Continue(now, c, inputs)
	}
	if serviceName != "" {
		r.tables.Services.Put(tx, serviceName, service)
	}
	if routeID != "" {
		r.putRouteState(tx, routeID, route)
	}
	return next
}

// maxRouteStates bounds the rows of RouteStates, which are kept when a
// configuration drops their route.
const maxRouteStates = 4096

// putRouteState writes the state of a route. At the bound it drops those of all
// routes, which are learned again within a few requests each.
func (r reconciler) putRouteState(tx *blackboard.Tx, id string, state call.RouteState) {
	if r.tables.RouteStates.Len(tx) >= maxRouteStates {
		r.tables.RouteStates.Each(tx, func(old string, _ call.RouteState) bool {
			r.tables.RouteStates.Delete(tx, old)
			return true
		})
	}
	r.tables.RouteStates.Put(tx, id, state)
}

// running returns the requests that the own backend server is running.
func (r reconciler) running(tx *blackboard.Tx) iter.Seq[call.RunningRequest] {
	return func(yield func(call.RunningRequest) bool) {
		r.tables.Admissions.Each(tx, func(_ string, row admit.Request) bool {
			return row.State != admit.Granted ||
				yield(call.RunningRequest{CallerID: row.CallerID, Deadline: row.Deadline, AccountPriority: row.AccountPriority, Priority: row.Priority})
		})
	}
}

func (r reconciler) candidates(tx *blackboard.Tx, s mesh.ServiceName) []choose.Candidate {
	members, _ := r.tables.Endpoints.Get(tx, s)
	candidates := make([]choose.Candidate, len(members))
	for i, m := range members {
		stats, _ := r.tables.HostStats.Get(tx, m.Host)
		inFlight, _ := r.tables.InFlight.Get(tx, m.Host)
		candidates[i] = choose.Candidate{
			Host: m.Host, Zone: m.Zone, Region: m.Region, Address: m.PeerAddress,
			Incarnation: m.Incarnation, Stats: stats.ForIncarnation(m.Incarnation), InFlight: inFlight,
		}
	}
	return candidates
}

// startAttempts counts the attempts from index firstNew on as in flight at
// their hosts, and puts the hedges among them into the outbox.
func (r reconciler) startAttempts(tx *blackboard.Tx, now time.Time, id string, c call.Call, firstNew int) {
	for i, a := range c.Attempts[min(firstNew, len(c.Attempts)):] {
		host := a.Target.Host
		inFlight, _ := r.tables.InFlight.Get(tx, host)
		r.tables.InFlight.Put(tx, host, inFlight.Incremented(now))
		if a.Hedge {
			r.tables.PendingHedges.Put(tx, id, firstNew+i)
		}
	}
}

// recordOutcomes adds the outcomes that are not recorded yet to the statistics
// of their hosts and of the service.
func (r reconciler) recordOutcomes(tx *blackboard.Tx, now time.Time, c call.Call) call.Call {
	if !c.HasUnrecorded() {
		return c
	}
	service, _ := r.tables.Services.Get(tx, c.Rule.Service)
	c = call.RecordOutcomes(now, c, hostTables{tx, r.tables, now}, &service)
	r.tables.Services.Put(tx, c.Rule.Service, service)
	return c
}

// needsWrite reports whether the row has to be written: the step, a timer or
// the record of an outcome, or the state of the token has changed.
func needsWrite(before, after call.Call) bool {
	if before.Token.State != after.Token.State || before.Step.Number != after.Step.Number || !before.RetryAt.Equal(after.RetryAt) || !before.HedgeAt.Equal(after.HedgeAt) {
		return true
	}
	for i := range before.Attempts {
		if before.Attempts[i].Recorded != after.Attempts[i].Recorded {
			return true
		}
	}
	return false
}

// hostTables implements call.HostStatsStore over the tables HostStats and
// InFlight, within one transaction.
type hostTables struct {
	tx     *blackboard.Tx
	tables *tables.Tables
	now    time.Time
}

// HostStats returns the statistics of a host; the zero value when there is
// none.
func (h hostTables) HostStats(id mesh.HostID) choose.HostStats {
	stats, _ := h.tables.HostStats.Get(h.tx, id)
	return stats
}

// SetHostStats writes the statistics of a host.
func (h hostTables) SetHostStats(id mesh.HostID, r choose.HostStats) {
	h.tables.HostStats.Put(h.tx, id, r)
}

// DecrementInFlight decrements the number of requests in flight at a host, and
// deletes the row when it reaches zero.
func (h hostTables) DecrementInFlight(id mesh.HostID) {
	inFlight, _ := h.tables.InFlight.Get(h.tx, id)
	if inFlight = inFlight.Decremented(h.now); inFlight.Count == 0 {
		h.tables.InFlight.Delete(h.tx, id)
		return
	}
	h.tables.InFlight.Put(h.tx, id, inFlight)
}
