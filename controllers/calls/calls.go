// Package calls is the controller that takes the decisions of callers'
// requests at the node that took them.
package calls

import (
	"math/rand/v2"
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/call"
	"github.com/marigoldshelf/marigoldshelf/decide/choose"
	"github.com/marigoldshelf/marigoldshelf/decide/retry"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// Config sets the controller up.
type Config struct {
	// Zone and Region are the node's own.
	Zone   mesh.Zone
	Region mesh.Region
	// Budget is what all nodes together may send again; nil and the zero value
	// leave each node its own budget.
	Budget func() SharedBudget
	// ReplyMargin is how long before the caller's deadline an answer is due.
	ReplyMargin time.Duration
	// Random is the source of draws. It is used only under the write lock of
	// the table Calls.
	Random *rand.Rand
}

// SharedBudget bounds, for all nodes together and each service, the requests
// that go to a second backend server.
type SharedBudget struct {
	// Ratio is the part of the requests for the service, 0 to 1.
	Ratio float64
	// Extra is the number beyond that part, in a window of some seconds.
	Extra float64
}

const (
	// ratioShare is the part of the shared ratio that nodes use. A request that
	// runs a second time makes its own calls a second time, and those count
	// at the services called, whose own retries come on top.
	ratioShare = 0.4
	// extraShare is the same for the number beyond: a node that restarts within
	// the window begins with a full share, and members that are gone count as
	// long as they are remembered.
	extraShare = 0.4
)

// among returns one node's part among so many. Nodes need not agree on the
// number: the parts left unused cover what they differ by.
func (b SharedBudget) among(nodes int) retry.Policy {
	if b == (SharedBudget{}) {
		return retry.Policy{}
	}
	return retry.Policy{
		Ratio:    ratioShare * b.Ratio,
		Capacity: max(extraShare*b.Extra/float64(max(nodes, 1)), 1),
	}
}

// Register adds the controller; its key is the request ID.
func Register(p *controller.Pool, t *tables.Tables, c Config) {
	if c.Budget == nil {
		c.Budget = func() SharedBudget { return SharedBudget{} }
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
	t.Board.Do(func(tx *blackboard.Tx) { result = r.step(tx, now, id) },
		t.Routes.Read(), t.Floor.Read(), t.Members.Read(), t.Endpoints.Read(), t.Reports.Write(), t.InFlight.Write(), t.Services.Write(),
		t.Calls.Write(), t.Hedges.Write())
	return result
}

// step counts in what came of the attempts, decides what follows, and comes
// back when the call wants to be decided by the time alone.
func (r reconciler) step(tx *blackboard.Tx, now time.Time, id string) controller.Result {
	c, found := r.tables.Calls.Get(tx, id)
	if !found {
		return controller.Result{}
	}
	if c.Ended {
		r.settle(tx, now, c)
		r.tables.Calls.Delete(tx, id)
		r.tables.Hedges.Delete(tx, id)
		return controller.Result{}
	}
	next := r.decide(tx, now, r.settle(tx, now, c))
	r.join(tx, now, id, next, len(c.Attempts))
	next = r.settle(tx, now, next)
	if moved(c, next) {
		r.tables.Calls.Put(tx, id, next)
	}
	wake := next.Wake()
	if wake.IsZero() {
		return controller.Result{}
	}
	return controller.Result{After: max(wake.Sub(now), time.Microsecond)}
}

func (r reconciler) decide(tx *blackboard.Tx, now time.Time, c call.Call) call.Call {
	var service call.Service
	var name mesh.ServiceName
	world := call.World{
		Routes:       r.tables.Routes.Get(tx),
		FloorUnknown: !r.tables.Floor.Get(tx).Known,
		Zone:         r.config.Zone,
		Region:       r.config.Region,
		Random:       r.config.Random,
		Pick:         choose.Pick,
		ReplyMargin:  r.config.ReplyMargin,
		Budget:       r.config.Budget().among(r.tables.Members.Len(tx)),
		Candidates:   func(s mesh.ServiceName) []choose.Candidate { return r.candidates(tx, s) },
		Service: func(s mesh.ServiceName) *call.Service {
			if name != s {
				name = s
				service, _ = r.tables.Services.Get(tx, s)
			}
			return &service
		},
	}
	next := c
	if c.Step.Number == 0 {
		next = call.Begin(now, c.Request, world)
	} else {
		next = call.Continue(now, c, world)
	}
	if name != "" {
		r.tables.Services.Put(tx, name, service)
	}
	return next
}

func (r reconciler) candidates(tx *blackboard.Tx, s mesh.ServiceName) []choose.Candidate {
	members, _ := r.tables.Endpoints.Get(tx, s)
	candidates := make([]choose.Candidate, len(members))
	for i, m := range members {
		report, _ := r.tables.Reports.Get(tx, m.Host)
		inFlight, _ := r.tables.InFlight.Get(tx, m.Host)
		candidates[i] = choose.Candidate{
			Host: m.Host, Zone: m.Zone, Region: m.Region, Address: m.PeerAddress,
			Incarnation: m.Incarnation, Report: report.For(m.Incarnation), InFlight: inFlight,
		}
	}
	return candidates
}

// join counts the attempts from index first on as under way.
func (r reconciler) join(tx *blackboard.Tx, now time.Time, id string, c call.Call, first int) {
	for i, a := range c.Attempts[min(first, len(c.Attempts)):] {
		host := a.Target.Host
		count, _ := r.tables.InFlight.Get(tx, host)
		r.tables.InFlight.Put(tx, host, count.Joined(now))
		if a.Hedge {
			r.tables.Hedges.Put(tx, id, first+i)
		}
	}
}

// settle counts in the outcomes that were not counted yet.
func (r reconciler) settle(tx *blackboard.Tx, now time.Time, c call.Call) call.Call {
	if !c.Unsettled() {
		return c
	}
	service, _ := r.tables.Services.Get(tx, c.Rule.Service)
	c = call.Settle(now, c, hosts{tx, r.tables, now}, &service)
	r.tables.Services.Put(tx, c.Rule.Service, service)
	return c
}

// moved reports whether the row has to be written.
func moved(from, to call.Call) bool {
	if from.Step.Number != to.Step.Number || !from.RetryAt.Equal(to.RetryAt) || !from.HedgeAt.Equal(to.HedgeAt) {
		return true
	}
	for i := range from.Attempts {
		if from.Attempts[i].Settled != to.Attempts[i].Settled {
			return true
		}
	}
	return false
}

// hosts implements call.Hosts over the tables.
type hosts struct {
	tx     *blackboard.Tx
	tables *tables.Tables
	now    time.Time
}

// Report returns what is known of a host.
func (h hosts) Report(id mesh.HostID) choose.Report {
	report, _ := h.tables.Reports.Get(h.tx, id)
	return report
}

// SetReport notes what is known of a host.
func (h hosts) SetReport(id mesh.HostID, r choose.Report) { h.tables.Reports.Put(h.tx, id, r) }

// Leave counts one request less under way at a host.
func (h hosts) Leave(id mesh.HostID) {
	count, _ := h.tables.InFlight.Get(h.tx, id)
	if count = count.Left(h.now); count.Count == 0 {
		h.tables.InFlight.Delete(h.tx, id)
		return
	}
	h.tables.InFlight.Put(h.tx, id, count)
}
