// Package endpoints is the controller that joins the configuration in force
// with the members: for each service, the backend servers that may get its
// requests. A member gets work only if it is alive and the inventory, where there
// is one, lists its host for the service.
package endpoints

import (
	"slices"
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// theKey is the controller's only key: members change in groups, and one join
// serves them all.
const theKey = 0

// Register adds the controller.
func Register(p *controller.Pool, t *tables.Tables) {
	handle := controller.Register(p, "endpoints", func(time.Time, int) controller.Result {
		t.Board.Do(func(tx *blackboard.Tx) { join(tx, t) },
			t.Routes.Read(), t.Members.Read(), t.Endpoints.Write())
		return controller.Result{}
	})
	t.Routes.Watch(func() { handle.Add(theKey) })
	t.Members.Watch(func(mesh.HostID) { handle.Add(theKey) })
}

func join(tx *blackboard.Tx, t *tables.Tables) {
	routes := t.Routes.Get(tx)
	if routes == nil {
		return
	}
	wanted := membersByService(tx, t, routes)
	t.Endpoints.Each(tx, func(s mesh.ServiceName, _ []mesh.Member) bool {
		if _, found := wanted[s]; !found {
			t.Endpoints.Delete(tx, s)
		}
		return true
	})
	for s, members := range wanted {
		if old, _ := t.Endpoints.Get(tx, s); !slices.Equal(old, members) {
			t.Endpoints.Put(tx, s, members)
		}
	}
}

func membersByService(tx *blackboard.Tx, t *tables.Tables, routes *route.Table) map[mesh.ServiceName][]mesh.Member {
	wanted := make(map[mesh.ServiceName][]mesh.Member)
	t.Members.Each(tx, func(id mesh.HostID, m mesh.Member) bool {
		usable := m.State == mesh.Alive || m.State == mesh.Suspect
		if usable && routes.Admits(id, m.Service) {
			wanted[m.Service] = append(wanted[m.Service], m)
		}
		return true
	})
	return wanted
}
