// Package activate is the controller that compiles each released configuration
// and puts it in force. A configuration is compiled whole or rejected whole,
// and the version in force only rises; the first one is not put in force below
// the floor that a started node has to learn.
package activate

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/decide/spread"
	"github.com/marigoldshelf/marigoldshelf/tables"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// theKey is the controller's only key.
const theKey = 0

const (
	// event counts the releases that were not put in force.
	event = "activation_refused"
	// badConfiguration: it has faults by this build's checks, though not by
	// those of the build that took the proposal in.
	badConfiguration verdict.Reason = "bad_configuration"
	// belowFloor: the floor is not known yet, or the release lies below it.
	belowFloor verdict.Reason = "below_floor"
)

// Count adds one to the counter of an event for a reason.
type Count func(event string, reason verdict.Reason)

// Register adds the controller.
func Register(p *controller.Pool, t *tables.Tables, count Count) {
	handle := controller.Register(p, "activate", func(time.Time, int) controller.Result {
		activate(t, count)
		return controller.Result{}
	})
	t.Changes.Watch(func() { handle.Add(theKey) })
	t.Floor.Watch(func() { handle.Add(theKey) })
}

// activate compiles outside the transaction that swaps the table in: only this
// controller writes Routes, and it never runs twice at once.
func activate(t *tables.Tables, count Count) {
	var state change.State
	var current *route.Table
	var floor spread.Floor
	t.Board.Do(func(tx *blackboard.Tx) {
		state = t.Changes.Get(tx)
		current = t.Routes.Get(tx)
		floor = t.Floor.Get(tx)
	}, t.Changes.Read(), t.Routes.Read(), t.Floor.Read())
	if state.Version == 0 || current != nil && state.Version <= current.Version {
		return
	}
	if !floor.Allows(state.Version) {
		count(event, belowFloor)
		return
	}
	next, faults := route.Compile(state.Version, state.Config)
	if len(faults) > 0 {
		count(event, badConfiguration)
		return
	}
	t.Board.Do(func(tx *blackboard.Tx) { t.Routes.Set(tx, next) }, t.Routes.Write())
}
