package membership

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// registerLeave adds the controller that announces the drain of the own
// backend server, and its end.
func (f fleet) registerLeave(p *controller.Pool) {
	handle := controller.Register(p, "leave", f.step(f.leave, f.Drain.Read()))
	f.Drain.Watch(func() { handle.Add(theKey) })
}

func (f fleet) leave(tx *blackboard.Tx, now time.Time) controller.Result {
	wanted := mesh.Alive
	if f.Drain.Get(tx).Draining {
		wanted = mesh.Leaving
	}
	if self := f.Tables.Self.Get(tx); self.Member.State != wanted {
		f.announceSelf(tx, now, self.Announce(wanted))
	}
	return controller.Result{}
}
