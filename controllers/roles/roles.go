// Package roles is the controller that assigns this node's role in the
// distribution of the configuration: whether it reads the log, which nodes it
// asks, and its rank among the snapshot writers. It reads the table Members and
// writes Role.
package roles

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/distribution"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// singletonKey is the only key of this controller.
const singletonKey = 0

// discoveryDelay is how long a started node without other members waits before
// it assigns itself a role as the only node. Without it, when many nodes start
// at once, each would read the log until it has discovered its zone.
const discoveryDelay = time.Second

// Config holds the controller's settings.
type Config struct {
	// Self is this node, StartedAt the time at which it started.
	Self         mesh.Member
	StartedAt    time.Time
	Distribution distribution.Config
}

// Register adds the controller to the pool.
func Register(p *controller.Pool, t *tables.Tables, c Config) {
	handle := controller.Register(p, "roles", func(now time.Time, _ int) (result controller.Result) {
		t.Board.Do(func(tx *blackboard.Tx) { result = assignRole(tx, t, c, now) }, t.Role.Write(), t.Members.Read())
		return result
	})
	t.Members.Watch(func(mesh.HostID) { handle.Add(singletonKey) })
	handle.Add(singletonKey)
}

func assignRole(tx *blackboard.Tx, t *tables.Tables, c Config, now time.Time) controller.Result {
	var others []mesh.Member
	t.Members.Each(tx, func(host mesh.HostID, m mesh.Member) bool {
		if host != c.Self.Host {
			others = append(others, m)
		}
		return true
	})
	if wait := c.StartedAt.Add(discoveryDelay).Sub(now); len(others) == 0 && wait > 0 {
		return controller.Result{RequeueAfter: wait}
	}
	role := distribution.AssignRole(c.Self, others, c.Distribution)
	if !role.Equal(t.Role.Get(tx)) {
		t.Role.Set(tx, role)
	}
	return controller.Result{}
}
