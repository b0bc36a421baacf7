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
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// Config sets the controller up.
type Config struct {
	// Zone is the node's own zone.
	Zone mesh.Zone
	// Random is the source of draws. It is used only under the write lock of
	// the table Calls.
	Random *rand.Rand
}

// Register adds the controller; its key is the request ID.
func Register(p *controller.Pool, t *tables.Tables, c Config) {
	r := reconciler{tables: t, config: c}
	handle := controller.Register(p, "calls", r.reconcile)
	t.Calls.Watch(handle.Add)
}

type reconciler struct {
	tables *tables.Tables
	config Config
}

func (r reconciler) reconcile(now time.Time, id string) controller.Result {
	t := r.tables
	t.Board.Do(func(tx *blackboard.Tx) { r.step(tx, now, id) },
		t.Routes.Read(), t.Endpoints.Read(), t.Loads.Read(), t.InFlight.Write(), t.Calls.Write())
	return controller.Result{}
}

func (r reconciler) step(tx *blackboard.Tx, now time.Time, id string) {
	c, found := r.tables.Calls.Get(tx, id)
	if !found {
		return
	}
	next := r.decide(tx, now, c)
	if next.Step.Number == c.Step.Number {
		return
	}
	r.countInFlight(tx, c, -1)
	r.countInFlight(tx, next, 1)
	r.tables.Calls.Put(tx, id, next)
}

func (r reconciler) decide(tx *blackboard.Tx, now time.Time, c call.Call) call.Call {
	world := call.World{
		Routes:     r.tables.Routes.Get(tx),
		Zone:       r.config.Zone,
		Random:     r.config.Random,
		Candidates: func(s mesh.ServiceName) []choose.Candidate { return r.candidates(tx, s) },
	}
	if c.Step.Number == 0 {
		return call.Begin(now, c.Request, world)
	}
	return call.Continue(now, c, world)
}

func (r reconciler) candidates(tx *blackboard.Tx, s mesh.ServiceName) []choose.Candidate {
	members, _ := r.tables.Endpoints.Get(tx, s)
	candidates := make([]choose.Candidate, len(members))
	for i, m := range members {
		load, _ := r.tables.Loads.Get(tx, m.Host)
		inFlight, _ := r.tables.InFlight.Get(tx, m.Host)
		candidates[i] = choose.Candidate{
			Host: m.Host, Zone: m.Zone, Address: m.PeerAddress, Load: load, InFlight: inFlight,
		}
	}
	return candidates
}

// countInFlight adds delta for the attempt that a call has under way, if any.
func (r reconciler) countInFlight(tx *blackboard.Tx, c call.Call, delta int) {
	if c.Step.Kind != call.Send {
		return
	}
	host := c.Step.Target.Host
	count, _ := r.tables.InFlight.Get(tx, host)
	if count+delta <= 0 {
		r.tables.InFlight.Delete(tx, host)
		return
	}
	r.tables.InFlight.Put(tx, host, count+delta)
}
