package membership

import (
	"slices"
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/membership"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// registerSuspicions adds the controller that expires suspicions. Its key is the
// suspected host.
func (f fleetController) registerSuspicions(p *controller.Pool) {
	handle := controller.Register(p, "suspicion", func(now time.Time, id mesh.HostID) (result controller.Result) {
		f.inTransaction(func(tx *blackboard.Tx) { result = f.expireSuspicion(tx, now, id) })
		return result
	})
	f.Peers.Watch(handle.Add)
}

// expireSuspicion declares a suspected member gone when its suspicion has timed
// out. It does so only for members of the local zone, and only while this node is
// confirmed: a node that receives no Acks cannot tell which members are gone.
func (f fleetController) expireSuspicion(tx *blackboard.Tx, now time.Time, id mesh.HostID) controller.Result {
	f.detectStall(tx, now)
	peer, known := f.Peers.Get(tx, id)
	if !known || peer.Phase != membership.Suspected || peer.Member.Zone != f.Config.Self.Zone {
		return controller.Result{}
	}
	witnesses := len(f.localZoneHosts(tx)) - 2
	due := peer.Since.Add(f.Timing.SuspicionTimeout(len(peer.Reporters), witnesses))
	if now.Before(due) {
		return controller.Result{RequeueAfter: due.Sub(now)}
	}
	if !f.Tables.Self.Get(tx).Confirmed(now) {
		return controller.Result{RequeueAfter: f.Timing.AckTimeout}
	}
	f.Count(EventDeclaredGone)
	gone := peer.Record
	gone.Phase = membership.Gone
	f.applyRecord(tx, now, gone, true)
	return controller.Result{}
}

// probeSuspect probes a member after another node became the first reporter of its
// suspicion, if this node is one of the member's confirmers.
func (f fleetController) probeSuspect(tx *blackboard.Tx, now time.Time, peer membership.Peer) {
	if len(peer.Reporters) != 1 || peer.Reporters[0] == f.Config.Self.Host {
		return
	}
	up := f.up(tx)
	usable := func(id mesh.HostID) bool { return id == f.Config.Self.Host || up(id) }
	if slices.Contains(membership.Confirmers(f.localZoneHosts(tx), peer.Member.Host, usable), f.Config.Self.Host) {
		f.ping(tx, now, peer.Member.Host, membership.Probe{})
	}
}
