package membership

import (
	"slices"
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/membership"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// gossipRounds is the number of rounds in which each node gossips a changed
// record.
const gossipRounds = 3

// singleRoundThresholdHosts is the number of hosts in MemberBroadcasts above
// which a changed record is gossiped in one round only; see queueGossip.
const singleRoundThresholdHosts = 50

// applyRecord merges a received or local record into Peers. If the record is new
// and passOn is set, it is also gossiped. A record of this node itself is handled
// by applyOwnRecord.
func (f fleetController) applyRecord(tx *blackboard.Tx, now time.Time, r membership.Record, passOn bool) {
	if r.Member.Host == f.Config.Self.Host {
		f.applyOwnRecord(tx, now, r)
		return
	}
	old, known := f.Peers.Get(tx, r.Member.Host)
	merged, isNew := membership.Merge(old, known, r, now)
	if !isNew {
		return
	}
	f.putPeer(tx, merged)
	f.clearSoleMember(tx)
	if passOn {
		f.queueGossip(tx, r.Member.Host)
	}
	if merged.Phase == membership.Suspected {
		f.probeSuspect(tx, now, merged)
	}
	if !known && f.Peers.Len(tx) == 2 {
		f.queueGossip(tx, f.Config.Self.Host) // the first peer: until now there was no node to gossip to
	}
}

// clearSoleMember sets the status SoleMember back to Unconfirmed: another node is
// known.
func (f fleetController) clearSoleMember(tx *blackboard.Tx) {
	if self := f.Tables.Self.Get(tx); self.Status == membership.SoleMember {
		self.Status = membership.Unconfirmed
		f.Tables.Self.Set(tx, self)
	}
}

// applyOwnRecord processes a record that another node holds of this node. If it
// supersedes this node's own record, this node refutes it under a higher
// incarnation, unless another process has taken over the host name. A refuted
// suspicion also worsens the local health score.
func (f fleetController) applyOwnRecord(tx *blackboard.Tx, now time.Time, r membership.Record) {
	before := f.Tables.Self.Get(tx)
	self, refute := before.ApplyRecord(r)
	if self != before {
		f.Tables.Self.Set(tx, self)
	}
	if !refute {
		return
	}
	f.Count(EventRefuted)
	if r.Phase == membership.Suspected {
		f.Prober.Set(tx, f.Prober.Get(tx).WorsenHealth())
	}
	f.announceSelf(tx, now, self)
}

// announceSelf writes this node's new record to Self and Peers and gossips it.
func (f fleetController) announceSelf(tx *blackboard.Tx, now time.Time, self membership.Self) {
	f.Tables.Self.Set(tx, self)
	f.putPeer(tx, membership.Peer{Record: self.Record(), Since: now})
	f.queueGossip(tx, self.Member.Host)
}

// queueGossip queues a host's record for gossipRounds rounds of gossip. While
// many hosts are queued, it is gossiped in one round only, and anti-entropy
// repairs what that round misses.
func (f fleetController) queueGossip(tx *blackboard.Tx, id mesh.HostID) {
	rounds := gossipRounds
	if f.MemberBroadcasts.Len(tx) > singleRoundThresholdHosts {
		rounds = 1
	}
	f.MemberBroadcasts.Put(tx, id, rounds)
}

// putPeer writes a peer and the data derived from it: the hosts and digest of its
// zone, and its row in Members.
func (f fleetController) putPeer(tx *blackboard.Tx, p membership.Peer) {
	id := p.Member.Host
	if old, known := f.Peers.Get(tx, id); known {
		f.removeFromZone(tx, old, old.Member.Zone != p.Member.Zone)
	}
	f.Peers.Put(tx, id, p)
	zone, _ := f.Zones.Get(tx, p.Member.Zone)
	zone = zone.Add(id)
	zone.Digest ^= membership.DigestOf(p.Record)
	f.Zones.Put(tx, p.Member.Zone, zone)
	f.updateMember(tx, p, zone)
}

// removeFromZone removes a peer's record from the digest of its zone. If moved is
// set, it also removes the host, which is now in another zone or deleted.
func (f fleetController) removeFromZone(tx *blackboard.Tx, old membership.Peer, moved bool) {
	zone, _ := f.Zones.Get(tx, old.Member.Zone)
	zone.Digest ^= membership.DigestOf(old.Record)
	if moved {
		zone = zone.Remove(old.Member.Host)
	}
	f.Zones.Put(tx, old.Member.Zone, zone)
}

// updateMember writes a peer's row in Members if it changed.
func (f fleetController) updateMember(tx *blackboard.Tx, p membership.Peer, zone membership.Zone) {
	member := p.Member
	member.State = p.State(zone.Reachability.Unreachable && member.Host != f.Config.Self.Host)
	if old, found := f.Members.Get(tx, member.Host); !found || old != member {
		f.Members.Put(tx, member.Host, member)
	}
}

// setReachability writes a zone's reachability and the Members rows that it changes.
func (f fleetController) setReachability(tx *blackboard.Tx, name mesh.Zone, reachability membership.Reachability) {
	zone, known := f.Zones.Get(tx, name)
	if !known {
		return
	}
	changed := zone.Reachability.Unreachable != reachability.Unreachable
	zone.Reachability = reachability
	f.Zones.Put(tx, name, zone)
	if !changed {
		return
	}
	for _, id := range zone.Hosts {
		if peer, known := f.Peers.Get(tx, id); known {
			f.updateMember(tx, peer, zone)
		}
	}
}

// removePeer deletes a peer and all data derived from it.
func (f fleetController) removePeer(tx *blackboard.Tx, p membership.Peer) {
	f.removeFromZone(tx, p, true)
	f.Peers.Delete(tx, p.Member.Host)
	f.MemberBroadcasts.Delete(tx, p.Member.Host)
	f.Members.Delete(tx, p.Member.Host)
}

// notGone returns a function that reports whether a host is a known member other
// than this node that is not gone.
func (f fleetController) notGone(tx *blackboard.Tx) func(mesh.HostID) bool {
	return func(id mesh.HostID) bool {
		peer, known := f.Peers.Get(tx, id)
		return known && id != f.Config.Self.Host && peer.Phase != membership.Gone
	}
}

// up returns a function that reports whether a host is a known member other than
// this node that is neither suspected nor gone.
func (f fleetController) up(tx *blackboard.Tx) func(mesh.HostID) bool {
	return func(id mesh.HostID) bool {
		peer, known := f.Peers.Get(tx, id)
		return known && id != f.Config.Self.Host && peer.Phase == membership.Up
	}
}

// localZoneHosts returns the known hosts of the local zone in rank order, this node
// and gone members included.
func (f fleetController) localZoneHosts(tx *blackboard.Tx) []mesh.HostID {
	zone, _ := f.Zones.Get(tx, f.Config.Self.Zone)
	return zone.Hosts
}

// pickRandom returns up to count random hosts that usable accepts.
func (f fleetController) pickRandom(hosts []mesh.HostID, count int, usable func(mesh.HostID) bool) []mesh.HostID {
	if len(hosts) == 0 {
		return nil
	}
	var picked []mesh.HostID
	// The number of draws is bounded, so fewer than count hosts may be found if
	// few are usable.
	for range 4*count + len(hosts)/4 {
		id := hosts[f.Random.IntN(len(hosts))]
		if !slices.Contains(picked, id) && usable(id) {
			picked = append(picked, id)
		}
		if len(picked) == count {
			break
		}
	}
	return picked
}
