// Package activate is the controller that compiles each released configuration
// and puts it in force. It reads the tables Changes and Floor and writes Routes.
// A configuration is compiled as a whole or rejected as a whole, and the version
// in force only increases. A started node puts nothing in force until its
// version floor is known, and never a version below that floor.
package activate

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/decide/distribution"
	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/tables"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// singletonKey is the only key of this controller.
const singletonKey = 0

const (
	// refusedEvent counts the releases that were not put in force.
	refusedEvent = "activation_refused"
	// badConfiguration is the reason when this build's checks find faults in the
	// configuration, although the build that accepted the proposal found none.
	badConfiguration verdict.Reason = "bad_configuration"
	// belowFloor is the reason while the version floor is not known yet, and for
	// a release below it.
	belowFloor verdict.Reason = "below_floor"
)

// Count increments the counter of an event for a reason.
type Count func(event string, reason verdict.Reason)

// Register adds the controller to the pool. count is called for each release
// that is not put in force.
func Register(p *controller.Pool, t *tables.Tables, count Count) {
	handle := controller.Register(p, "activate", func(time.Time, int) controller.Result {
		activate(t, count)
		return controller.Result{}
	})
	t.Changes.Watch(func() { handle.Add(singletonKey) })
	t.Floor.Watch(func() { handle.Add(singletonKey) })
}

// activate compiles outside the transaction that writes Routes. This is safe
// because the pool never runs this controller concurrently with itself, and the
// other controller that writes Routes (approved) runs only on nodes without this
// one.
func activate(t *tables.Tables, count Count) {
	var state change.State
	var current *route.Table
	var floor distribution.Floor
	t.Board.Do(func(tx *blackboard.Tx) {
		state = t.Changes.Get(tx)
		current = t.Routes.Get(tx)
		floor = t.Floor.Get(tx)
	}, t.Changes.Read(), t.Routes.Read(), t.Floor.Read())
	if state.Version == 0 || current != nil && state.Version <= current.Version {
		return
	}
	if !floor.Allows(state.Version) {
		count(refusedEvent, belowFloor)
		return
	}
	next, faults := route.Compile(state.Version, state.Config)
	if len(faults) > 0 {
		count(refusedEvent, badConfiguration)
		return
	}
	t.Board.Do(func(tx *blackboard.Tx) { t.Routes.Set(tx, next) }, t.Routes.Write())
}
