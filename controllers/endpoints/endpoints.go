// Package endpoints is the controller that joins the configuration in force
// with the members: for each service, the backend servers that requests can be
// sent to. It reads the tables Routes and Members and writes Endpoints. A member
// is included if it is alive or suspect and the inventory, where there is one,
// lists its host for the service.
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

// singletonKey is the only key of this controller: members change in groups, and
// one call handles all of them.
const singletonKey = 0

// Register adds the controller to the pool.
func Register(p *controller.Pool, t *tables.Tables) {
	handle := controller.Register(p, "endpoints", func(time.Time, int) controller.Result {
		t.Board.Do(func(tx *blackboard.Tx) { updateEndpoints(tx, t) },
			t.Routes.Read(), t.Members.Read(), t.Endpoints.Write())
		return controller.Result{}
	})
	t.Routes.Watch(func() { handle.Add(singletonKey) })
	t.Members.Watch(func(mesh.HostID) { handle.Add(singletonKey) })
}

// updateEndpoints deletes the services without members and writes those whose
// members changed.
func updateEndpoints(tx *blackboard.Tx, t *tables.Tables) {
	routes := t.Routes.Get(tx)
	if routes == nil {
		return
	}
	desired := membersByService(tx, t, routes)
	t.Endpoints.Each(tx, func(s mesh.ServiceName, _ []mesh.Member) bool {
		if _, found := desired[s]; !found {
			t.Endpoints.Delete(tx, s)
		}
		return true
	})
	for s, members := range desired {
		if current, _ := t.Endpoints.Get(tx, s); !slices.Equal(current, members) {
			t.Endpoints.Put(tx, s, members)
		}
	}
}

func membersByService(tx *blackboard.Tx, t *tables.Tables, routes *route.Table) map[mesh.ServiceName][]mesh.Member {
	members := make(map[mesh.ServiceName][]mesh.Member)
	t.Members.Each(tx, func(id mesh.HostID, m mesh.Member) bool {
		usable := m.State == mesh.Alive || m.State == mesh.Suspect
		if usable && routes.AllowsHost(id, m.Service) {
			members[m.Service] = append(members[m.Service], m)
		}
		return true
	})
	return members
}
