package membership

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/membership"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// registerZones adds the controller that probes the other zones. The first
// members of a zone by rank are its relays; each of them probes its share of the
// other zones once per period.
func (f fleetController) registerZones(p *controller.Pool) {
	handle := controller.Register(p, "zones", f.reconcileFunc(f.probeZones))
	handle.AddAt(singletonKey, p.Now().Add(f.jitter(f.Timing.ProbeInterval)))
}

func (f fleetController) probeZones(tx *blackboard.Tx, now time.Time) controller.Result {
	f.detectStall(tx, now)
	f.checkLocalZone(tx, now)
	relays := f.localRelays(tx)
	index := 0
	f.Zones.Each(tx, func(name mesh.Zone, zone membership.Zone) bool {
		if name == f.Config.Self.Zone {
			return true
		}
		relay, any := membership.RelayFor(relays, index)
		if any && relay == f.Config.Self.Host {
			f.probeZone(tx, now, name, zone)
		}
		index++
		return true
	})
	return controller.Result{RequeueAfter: f.Timing.ProbeInterval}
}

func (f fleetController) localRelays(tx *blackboard.Tx) []mesh.HostID {
	zone, _ := f.Zones.Get(tx, f.Config.Self.Zone)
	return f.zoneRelays(tx, zone)
}

// zoneRelays returns the relays of a zone: its first hosts by rank that are up.
// This node itself counts as up.
func (f fleetController) zoneRelays(tx *blackboard.Tx, zone membership.Zone) []mesh.HostID {
	up := f.up(tx)
	return zone.Relays(func(id mesh.HostID) bool { return id == f.Config.Self.Host || up(id) })
}

// probeZone pings one relay of another zone, or all of its relays while no datagram
// arrives from the zone. After ZoneTimeout without one it declares the zone
// unreachable.
func (f fleetController) probeZone(tx *blackboard.Tx, now time.Time, name mesh.Zone, zone membership.Zone) {
	relays := f.zoneRelays(tx, zone)
	if len(relays) == 0 {
		return
	}
	zone = zone.WithProbe(now, f.Timing)
	f.Zones.Put(tx, name, zone)
	silence := now.Sub(zone.SilentSince)
	if silence > f.Timing.ZoneTimeout && !zone.Reachability.Unreachable {
		f.Count(EventZoneUnreachable)
		f.announceReachability(tx, name, true)
	}
	targets := []mesh.HostID{relays[f.Random.IntN(len(relays))]}
	if silence > f.Timing.ProbeInterval/2 {
		targets = relays
	}
	digest := []membership.Digest{f.zoneDigest(tx, f.Config.Self.Zone)}
	for _, id := range targets {
		peer, _ := f.Peers.Get(tx, id)
		probe := membership.Probe{Target: id, Incarnation: peer.Member.Incarnation, SentAt: now, CrossZone: true}
		ping := f.newPing(peer, f.addProbe(tx, probe))
		ping.Digests = digest
		f.sendToHost(tx, id, ping)
	}
}

// recordZoneContact records that a datagram arrived from a member. If its zone
// was unreachable, this node marks it as reachable, provided this node is a relay
// or belongs to the zone.
func (f fleetController) recordZoneContact(tx *blackboard.Tx, now time.Time, from mesh.HostID) {
	peer, known := f.Peers.Get(tx, from)
	if !known {
		return
	}
	name := peer.Member.Zone
	zone, _ := f.Zones.Get(tx, name)
	if zone.LastDatagramAt.Equal(now) {
		return
	}
	zone = zone.WithDatagram(now)
	f.Zones.Put(tx, name, zone)
	if !zone.Reachability.Unreachable {
		return
	}
	if name == f.Config.Self.Zone || f.isRelay(tx) {
		f.announceReachability(tx, name, false)
	}
}

// announceReachability sets a zone's reachability and gossips it within the local
// zone. The reachability of the local zone is not gossiped.
func (f fleetController) announceReachability(tx *blackboard.Tx, name mesh.Zone, unreachable bool) {
	zone, _ := f.Zones.Get(tx, name)
	f.setReachability(tx, name, membership.Reachability{
		Zone: name, Sequence: zone.Reachability.Sequence + 1, Unreachable: unreachable,
	})
	if name != f.Config.Self.Zone {
		f.ZoneBroadcasts.Put(tx, name, gossipRounds)
	}
}

// applyReachability applies the reachability of another zone received from a
// member of the local zone and gossips it if it is newer.
func (f fleetController) applyReachability(tx *blackboard.Tx, r membership.Reachability) {
	zone, known := f.Zones.Get(tx, r.Zone)
	if !known || r.Zone == f.Config.Self.Zone || !r.Supersedes(zone.Reachability) {
		return
	}
	f.setReachability(tx, r.Zone, r)
	f.ZoneBroadcasts.Put(tx, r.Zone, gossipRounds)
}

// checkLocalZone marks the local zone as unreachable when this node has received no
// datagram from it for ZoneTimeout. This is local state and is not gossiped.
func (f fleetController) checkLocalZone(tx *blackboard.Tx, now time.Time) {
	name := f.Config.Self.Zone
	zone, _ := f.Zones.Get(tx, name)
	if zone.LastDatagramAt.IsZero() {
		zone.LastDatagramAt = now
		f.Zones.Put(tx, name, zone)
	}
	isSilent := now.Sub(zone.LastDatagramAt) > f.Timing.ZoneTimeout
	if isSilent && !zone.Reachability.Unreachable {
		f.announceReachability(tx, name, true)
	}
}

// relayRecords sends changed records of the local zone to one relay of each other
// zone, if this node is a relay. Suspicions are not sent.
func (f fleetController) relayRecords(tx *blackboard.Tx, records []membership.Record) {
	var local []membership.Record
	for _, r := range records {
		if r.Member.Zone == f.Config.Self.Zone && r.Phase != membership.Suspected {
			local = append(local, r)
		}
	}
	if len(local) == 0 || !f.isRelay(tx) {
		return
	}
	f.Zones.Each(tx, func(name mesh.Zone, zone membership.Zone) bool {
		relays := f.zoneRelays(tx, zone)
		if name != f.Config.Self.Zone && len(relays) > 0 {
			f.sendRecords(tx, relays[f.Random.IntN(len(relays))], local, nil)
		}
		return true
	})
}

func (f fleetController) isRelay(tx *blackboard.Tx) bool {
	for _, id := range f.localRelays(tx) {
		if id == f.Config.Self.Host {
			return true
		}
	}
	return false
}
