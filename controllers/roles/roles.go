// Package roles is the controller that gives this node its part in the
// distribution, from the members it knows.
package roles

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/spread"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// theKey is the controller's only key.
const theKey = 0

// aloneDelay is how long a started node that knows no other waits before it
// takes itself to be the first. Without it, every node of a herd would read
// the log until it knows its zone.
const aloneDelay = time.Second

// Config sets the controller up.
type Config struct {
	// Self is the node, Started the instant at which it started.
	Self    mesh.Member
	Started time.Time
	Spread  spread.Config
}

// Register adds the controller.
func Register(p *controller.Pool, t *tables.Tables, c Config) {
	handle := controller.Register(p, "roles", func(now time.Time, _ int) (result controller.Result) {
		t.Board.Do(func(tx *blackboard.Tx) { result = assign(tx, t, c, now) }, t.Role.Write(), t.Members.Read())
		return result
	})
	t.Members.Watch(func(mesh.HostID) { handle.Add(theKey) })
	handle.Add(theKey)
}

func assign(tx *blackboard.Tx, t *tables.Tables, c Config, now time.Time) controller.Result {
	var members []mesh.Member
	t.Members.Each(tx, func(host mesh.HostID, m mesh.Member) bool {
		if host != c.Self.Host {
			members = append(members, m)
		}
		return true
	})
	if wait := c.Started.Add(aloneDelay).Sub(now); len(members) == 0 && wait > 0 {
		return controller.Result{After: wait}
	}
	role := spread.Assign(c.Self, members, c.Spread)
	if !role.Equal(t.Role.Get(tx)) {
		t.Role.Set(tx, role)
	}
	return controller.Result{}
}
