package membership

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// registerLeave adds the controller that announces this node as Leaving while
// its backend server drains, and as Alive when the drain ends.
func (f fleetController) registerLeave(p *controller.Pool) {
	handle := controller.Register(p, "leave", f.reconcileFunc(f.announceDrainState, f.Drain.Read()))
	f.Drain.Watch(func() { handle.Add(singletonKey) })
}

func (f fleetController) announceDrainState(tx *blackboard.Tx, now time.Time) controller.Result {
	state := mesh.Alive
	if f.Drain.Get(tx).Draining {
		state = mesh.Leaving
	}
	if self := f.Tables.Self.Get(tx); self.Member.State != state {
		f.announceSelf(tx, now, self.WithState(state))
	}
	return controller.Result{}
}
