// Package membership has the controllers of the SWIM-style membership protocol
// that maintain the table Members. They probe other members and expire
// suspicions, gossip changed records, reconcile tables with peers (anti-entropy),
// probe other zones through relays, and announce this node in the log. The local
// zone is the availability zone of this node.
//
// Every controller locks the same set of membership tables. Messages to other
// nodes go into the outbox MessagesOut, received ones come from the inbox
// MessagesIn. The rules of the protocol are in package decide/membership.
package membership

import (
	"math/rand/v2"
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/controllers/storeera"
	"github.com/marigoldshelf/marigoldshelf/decide/membership"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// Config holds the parameters of the controllers.
type Config struct {
	// Self is this node's member record at its start. Its host and zone stay the
	// same afterwards.
	Self mesh.Member
	// Timing holds the intervals and timeouts of the protocol.
	Timing membership.Config
	// Seeds are addresses of members, as IP:port of their probe listeners. They
	// are contacted to join in addition to the nodes announced in the log.
	Seeds []string
	// Random is used only under the write lock of the table Peers, or before the
	// pool runs.
	Random *rand.Rand
	// Count is called with each event, inside a transaction; nil ignores events.
	Count func(Event)
	// OnMalformed is called with the offset of each announcement that cannot be
	// used and the reason, inside a transaction; nil ignores it.
	OnMalformed func(offset uint64, cause error)
	// OnEraChange is called for each change of the store's era that these
	// controllers observe, inside a transaction; nil ignores it.
	OnEraChange storeera.OnChange
}

// Event is the metric label of a membership event.
type Event string

// Events passed to Config.Count.
const (
	// EventSuspected: a member did not acknowledge a probe of this node, which
	// now suspects it.
	EventSuspected Event = "suspected"
	// EventDeclaredGone: a suspicion timed out at this node, which declared the
	// member gone.
	EventDeclaredGone Event = "declared_gone"
	// EventRefuted: this node refuted a record of itself by raising its
	// incarnation.
	EventRefuted Event = "contradicted"
	// EventMalformedAnnouncement: an announcement in the log could not be used.
	EventMalformedAnnouncement Event = "malformed_announcement"
	// EventZoneUnreachable: this node declared another zone unreachable.
	EventZoneUnreachable Event = "zone_unreachable"
)

// singletonKey is the only key of controllers whose work is not split by key.
const singletonKey = 0

// fleetController holds the tables and parameters that the membership
// controllers share.
type fleetController struct {
	*tables.Tables
	Config
}

// Register initializes the membership tables and adds the controllers.
func Register(p *controller.Pool, t *tables.Tables, c Config) {
	f := fleetController{Tables: t, Config: c}
	if f.Count == nil {
		f.Count = func(Event) {}
	}
	if f.OnMalformed == nil {
		f.OnMalformed = func(uint64, error) {}
	}
	f.initTables(p.Now())
	f.registerReceiver(p)
	f.registerProber(p)
	f.registerSuspicions(p)
	f.registerGossip(p)
	f.registerSync(p)
	f.registerZones(p)
	f.registerLeave(p)
	f.registerAnnounce(p)
}

// initTables writes the initial rows: this node and the seeds.
func (f fleetController) initTables(now time.Time) {
	f.inTransaction(func(tx *blackboard.Tx) {
		f.Tables.Self.Set(tx, membership.Self{Member: f.Config.Self})
		f.Prober.Set(tx, membership.Prober{Sequence: uint64(f.Random.Uint32())})
		f.putPeer(tx, membership.Peer{Record: membership.Record{Member: f.Config.Self}, Since: now})
		for _, seed := range f.Seeds {
			f.JoinAddresses.Put(tx, seed, 0)
		}
	})
}

// inTransaction runs fn in a transaction over the membership tables and the
// tables in more.
func (f fleetController) inTransaction(fn func(*blackboard.Tx), more ...blackboard.Access) {
	access := append(more,
		f.Members.Write(), f.Peers.Write(), f.Zones.Write(), f.Tables.Self.Write(),
		f.Prober.Write(), f.Probes.Write(), f.MemberBroadcasts.Write(), f.ZoneBroadcasts.Write(), f.JoinAddresses.Write(), f.AnnounceSchedule.Write(),
		f.MessageCount.Write(), f.MessagesOut.Write())
	f.Board.Do(fn, access...)
}

// reconcileFunc returns a controller function that runs fn in one transaction.
func (f fleetController) reconcileFunc(fn func(tx *blackboard.Tx, now time.Time) controller.Result, more ...blackboard.Access) controller.ReconcileFunc[int] {
	return func(now time.Time, _ int) (result controller.Result) {
		f.inTransaction(func(tx *blackboard.Tx) { result = fn(tx, now) }, more...)
		return result
	}
}

// sendToAddress puts a message into the outbox MessagesOut and fills in the
// sender. A node whose host name another process has taken over sends nothing.
func (f fleetController) sendToAddress(tx *blackboard.Tx, address string, m membership.Message) {
	self := f.Tables.Self.Get(tx)
	if address == "" || self.Status == membership.Replaced {
		return
	}
	m.From = self.Member.Host
	m.Incarnation = self.Member.Incarnation
	number := f.MessageCount.Get(tx) + 1
	f.MessageCount.Set(tx, number)
	f.MessagesOut.Put(tx, number, membership.Envelope{Address: address, Message: m})
}

// sendToHost sends a message to a member; it does nothing if the host is unknown.
func (f fleetController) sendToHost(tx *blackboard.Tx, id mesh.HostID, m membership.Message) {
	if peer, known := f.Peers.Get(tx, id); known {
		f.sendToAddress(tx, peer.Member.ProbeAddress, m)
	}
}
