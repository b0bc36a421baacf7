package membership

import (
	"slices"
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/membership"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// newsRounds is the number of gossip rounds in which a piece of news is passed
// on by each node that learns it.
const newsRounds = 3

// floodNews is the number of members with news under way that is a flood.
const floodNews = 50

// learn takes in a piece of news, and passes it on if it was new and passOn
// asks for it.
func (f fleet) learn(tx *blackboard.Tx, now time.Time, r membership.Record, passOn bool) {
	if r.Member.Host == f.Config.Self.Host {
		f.hearOfSelf(tx, now, r)
		return
	}
	old, known := f.Peers.Get(tx, r.Member.Host)
	merged, isNew := membership.Merge(old, known, r, now)
	if !isNew {
		return
	}
	f.putPeer(tx, merged)
	f.leaveAlone(tx)
	if passOn {
		f.spread(tx, r.Member.Host)
	}
	if merged.Phase == membership.Suspected {
		f.check(tx, now, merged)
	}
	if !known && f.Peers.Len(tx) == 2 {
		f.spread(tx, f.Config.Self.Host) // the first peer: there was nobody to tell
	}
}

// leaveAlone ends the standing of a node that thought itself alone.
func (f fleet) leaveAlone(tx *blackboard.Tx) {
	if self := f.Tables.Self.Get(tx); self.Standing == membership.Alone {
		self.Standing = membership.Unconfirmed
		f.Tables.Self.Set(tx, self)
	}
}

// hearOfSelf contradicts news of this node that is not so.
func (f fleet) hearOfSelf(tx *blackboard.Tx, now time.Time, r membership.Record) {
	before := f.Tables.Self.Get(tx)
	self, contradict := before.Hear(r)
	if self != before {
		f.Tables.Self.Set(tx, self)
	}
	if !contradict {
		return
	}
	f.Count(EventContradicted)
	if r.Phase == membership.Suspected {
		f.Prober.Set(tx, f.Prober.Get(tx).Worse())
	}
	f.announceSelf(tx, now, self)
}

// announceSelf puts the node's own new record and spreads it.
func (f fleet) announceSelf(tx *blackboard.Tx, now time.Time, self membership.Self) {
	f.Tables.Self.Set(tx, self)
	f.putPeer(tx, membership.Peer{Record: self.Record(), Since: now})
	f.spread(tx, self.Member.Host)
}

// spread passes news on for a few rounds; when there is a flood of it, for
// one, and the comparison of tables brings the rest.
func (f fleet) spread(tx *blackboard.Tx, id mesh.HostID) {
	rounds := newsRounds
	if f.News.Len(tx) > floodNews {
		rounds = 1
	}
	f.News.Put(tx, id, rounds)
}

// putPeer writes a peer and what is derived from it: its zone's digest and its
// row in Members.
func (f fleet) putPeer(tx *blackboard.Tx, p membership.Peer) {
	id := p.Member.Host
	if old, known := f.Peers.Get(tx, id); known {
		f.takeOut(tx, old, old.Member.Zone != p.Member.Zone)
	}
	f.Peers.Put(tx, id, p)
	zone, _ := f.Zones.Get(tx, p.Member.Zone)
	zone = zone.Add(id)
	zone.Digest ^= membership.DigestOf(p.Record)
	f.Zones.Put(tx, p.Member.Zone, zone)
	f.project(tx, p, zone)
}

// takeOut removes a peer's part from its zone; moved tells that the host is
// now in another zone or forgotten.
func (f fleet) takeOut(tx *blackboard.Tx, old membership.Peer, moved bool) {
	zone, _ := f.Zones.Get(tx, old.Member.Zone)
	zone.Digest ^= membership.DigestOf(old.Record)
	if moved {
		zone = zone.Remove(old.Member.Host)
	}
	f.Zones.Put(tx, old.Member.Zone, zone)
}

// project writes the row of Members if it changed.
func (f fleet) project(tx *blackboard.Tx, p membership.Peer, zone membership.Zone) {
	member := p.Member
	member.State = p.State(zone.Reach.Unreachable && member.Host != f.Config.Self.Host)
	if old, found := f.Members.Get(tx, member.Host); !found || old != member {
		f.Members.Put(tx, member.Host, member)
	}
}

// setReach writes a zone's reach and the members that it changes.
func (f fleet) setReach(tx *blackboard.Tx, name mesh.Zone, reach membership.Reach) {
	zone, known := f.Zones.Get(tx, name)
	if !known {
		return
	}
	changed := zone.Reach.Unreachable != reach.Unreachable
	zone.Reach = reach
	f.Zones.Put(tx, name, zone)
	if !changed {
		return
	}
	for _, id := range zone.Hosts {
		if peer, known := f.Peers.Get(tx, id); known {
			f.project(tx, peer, zone)
		}
	}
}

// forget removes a member that has been gone for long.
func (f fleet) forget(tx *blackboard.Tx, p membership.Peer) {
	f.takeOut(tx, p, true)
	f.Peers.Delete(tx, p.Member.Host)
	f.News.Delete(tx, p.Member.Host)
	f.Members.Delete(tx, p.Member.Host)
}

// present tells whether a host is another member that is not gone.
func (f fleet) present(tx *blackboard.Tx) func(mesh.HostID) bool {
	return func(id mesh.HostID) bool {
		peer, known := f.Peers.Get(tx, id)
		return known && id != f.Config.Self.Host && peer.Phase != membership.Gone
	}
}

// up tells whether a host is another member that nobody suspects.
func (f fleet) up(tx *blackboard.Tx) func(mesh.HostID) bool {
	return func(id mesh.HostID) bool {
		peer, known := f.Peers.Get(tx, id)
		return known && id != f.Config.Self.Host && peer.Phase == membership.Up
	}
}

// fellows returns the hosts of the own zone, in rank order.
func (f fleet) fellows(tx *blackboard.Tx) []mesh.HostID {
	zone, _ := f.Zones.Get(tx, f.Config.Self.Zone)
	return zone.Hosts
}

// draw picks up to count hosts that usable accepts, at random.
func (f fleet) draw(hosts []mesh.HostID, count int, usable func(mesh.HostID) bool) []mesh.HostID {
	if len(hosts) == 0 {
		return nil
	}
	var drawn []mesh.HostID
	// A bounded number of draws: with few usable hosts fewer are returned.
	for range 4*count + len(hosts)/4 {
		id := hosts[f.Random.IntN(len(hosts))]
		if !slices.Contains(drawn, id) && usable(id) {
			drawn = append(drawn, id)
		}
		if len(drawn) == count {
			break
		}
	}
	return drawn
}
