package membership

import (
	"slices"
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/membership"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// registerSuspicions adds the controller that ends suspicions; its key is the
// host suspected.
func (f fleet) registerSuspicions(p *controller.Pool) {
	handle := controller.Register(p, "suspicion", func(now time.Time, id mesh.HostID) (result controller.Result) {
		f.do(func(tx *blackboard.Tx) { result = f.judge(tx, now, id) })
		return result
	})
	f.Peers.Watch(handle.Add)
}

// judge declares a member gone when its suspicion has run out. Only members of
// the own zone are judged, and only while the node knows that it is itself in
// touch: one that hears nobody cannot tell who is gone.
func (f fleet) judge(tx *blackboard.Tx, now time.Time, id mesh.HostID) controller.Result {
	f.noticeSleep(tx, now)
	peer, known := f.Peers.Get(tx, id)
	if !known || peer.Phase != membership.Suspected || peer.Member.Zone != f.Config.Self.Zone {
		return controller.Result{}
	}
	witnesses := len(f.fellows(tx)) - 2
	due := peer.Since.Add(f.Times.SuspicionTimeout(len(peer.Accusers), witnesses))
	if now.Before(due) {
		return controller.Result{After: due.Sub(now)}
	}
	if !f.Tables.Self.Get(tx).Confirmed(now) {
		return controller.Result{After: f.Times.AckTimeout}
	}
	f.Count(EventDeclaredGone)
	gone := peer.Record
	gone.Phase = membership.Gone
	f.learn(tx, now, gone, true)
	return controller.Result{}
}

// check probes a member that somebody else suspects, if this node is one of
// its checkers.
func (f fleet) check(tx *blackboard.Tx, now time.Time, peer membership.Peer) {
	if len(peer.Accusers) != 1 || peer.Accusers[0] == f.Config.Self.Host {
		return
	}
	up := f.up(tx)
	usable := func(id mesh.HostID) bool { return id == f.Config.Self.Host || up(id) }
	if slices.Contains(membership.Checkers(f.fellows(tx), peer.Member.Host, usable), f.Config.Self.Host) {
		f.ping(tx, now, peer.Member.Host, membership.Probe{})
	}
}
