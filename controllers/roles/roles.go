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

// Register adds the controller for the node self.
func Register(p *controller.Pool, t *tables.Tables, self mesh.Member, c spread.Config) {
	handle := controller.Register(p, "roles", func(time.Time, int) controller.Result {
		t.Board.Do(func(tx *blackboard.Tx) { assign(tx, t, self, c) }, t.Role.Write(), t.Members.Read())
		return controller.Result{}
	})
	t.Members.Watch(func(mesh.HostID) { handle.Add(theKey) })
	handle.Add(theKey)
}

func assign(tx *blackboard.Tx, t *tables.Tables, self mesh.Member, c spread.Config) {
	var members []mesh.Member
	t.Members.Each(tx, func(_ mesh.HostID, m mesh.Member) bool {
		members = append(members, m)
		return true
	})
	role := spread.Assign(self, members, c)
	if !role.Equal(t.Role.Get(tx)) {
		t.Role.Set(tx, role)
	}
}
