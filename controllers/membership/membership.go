// Package membership has the controllers that keep the table Members: they
// probe, take in and pass on news, compare tables with peers, speak with other
// zones, and make this node known.
//
// They share the tables of membership, so each takes the same set of them;
// what is to be sent goes into the outbox MessagesOut.
package membership

import (
	"math/rand/v2"
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/membership"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// Config sets the controllers up.
type Config struct {
	// Self is the node as it announces itself.
	Self mesh.Member
	// Times are the times of the protocol.
	Times membership.Config
	// Seeds are addresses to ask for members beside those of the log, as
	// IP:port of their probe listeners.
	Seeds []string
	// Random is the source of draws. It is used only under the write lock of
	// the table Peers.
	Random *rand.Rand
	// Count takes the events that are counted; nil drops them.
	Count func(Event)
}

// Event names something that is counted.
type Event string

// The events.
const (
	// EventSuspected: a probe of this node failed.
	EventSuspected Event = "suspected"
	// EventDeclaredGone: a suspicion ran out at this node.
	EventDeclaredGone Event = "declared_gone"
	// EventContradicted: this node contradicted what others said of it.
	EventContradicted Event = "contradicted"
	// EventZoneUnreachable: this node found a zone unreachable.
	EventZoneUnreachable Event = "zone_unreachable"
)

// theKey is the only key of controllers that look at the fleet as a whole.
const theKey = 0

// fleet is what the controllers of membership share: their tables and setup.
type fleet struct {
	*tables.Tables
	Config
}

// Register adds the controllers.
func Register(p *controller.Pool, t *tables.Tables, c Config) {
	f := fleet{Tables: t, Config: c}
	if f.Count == nil {
		f.Count = func(Event) {}
	}
	f.start(p.Now())
	f.registerReceiver(p)
	f.registerProber(p)
	f.registerSuspicions(p)
	f.registerGossip(p)
	f.registerSync(p)
	f.registerZones(p)
	f.registerLeave(p)
	f.registerAnnounce(p)
}

// start puts the rows that a node begins with.
func (f fleet) start(now time.Time) {
	f.do(func(tx *blackboard.Tx) {
		f.Tables.Self.Set(tx, membership.Self{Member: f.Config.Self})
		f.Prober.Set(tx, membership.Prober{Sequence: uint64(f.Random.Uint32())})
		f.putPeer(tx, membership.Peer{Record: membership.Record{Member: f.Config.Self}, Since: now})
		for _, seed := range f.Seeds {
			f.Contacts.Put(tx, seed, 0)
		}
	})
}

// do runs fn in a transaction over the tables of membership.
func (f fleet) do(fn func(*blackboard.Tx), more ...blackboard.Access) {
	access := append(more,
		f.Members.Write(), f.Peers.Write(), f.Zones.Write(), f.Tables.Self.Write(),
		f.Prober.Write(), f.Probes.Write(), f.News.Write(), f.ZoneNews.Write(), f.Contacts.Write(), f.Meeting.Write(),
		f.MessageCount.Write(), f.MessagesOut.Write())
	f.Board.Do(fn, access...)
}

// step makes a controller function out of one transaction.
func (f fleet) step(fn func(tx *blackboard.Tx, now time.Time) controller.Result, more ...blackboard.Access) controller.Func[int] {
	return func(now time.Time, _ int) (result controller.Result) {
		f.do(func(tx *blackboard.Tx) { result = fn(tx, now) }, more...)
		return result
	}
}

// send puts a message into the outbox, with the sender filled in.
func (f fleet) send(tx *blackboard.Tx, address string, m membership.Message) {
	self := f.Tables.Self.Get(tx)
	if address == "" || self.Standing == membership.Replaced {
		return
	}
	m.From = self.Member.Host
	m.Incarnation = self.Member.Incarnation
	number := f.MessageCount.Get(tx) + 1
	f.MessageCount.Set(tx, number)
	f.MessagesOut.Put(tx, number, membership.Envelope{Address: address, Message: m})
}

// sendTo sends a message to a known member.
func (f fleet) sendTo(tx *blackboard.Tx, id mesh.HostID, m membership.Message) {
	if peer, known := f.Peers.Get(tx, id); known {
		f.send(tx, peer.Member.ProbeAddress, m)
	}
}
