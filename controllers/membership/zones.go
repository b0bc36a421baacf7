package membership

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/membership"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// registerZones adds the controller that speaks with the other zones. The
// first members of a zone by rank are its relays; each of them probes its
// share of the other zones once in a period.
func (f fleet) registerZones(p *controller.Pool) {
	handle := controller.Register(p, "zones", f.step(f.probeZones))
	handle.AddAt(theKey, p.Now().Add(f.jitter(f.Times.Period)))
}

func (f fleet) probeZones(tx *blackboard.Tx, now time.Time) controller.Result {
	f.noticeSleep(tx, now)
	f.watchOwnZone(tx, now)
	relays := f.ownRelays(tx)
	place := 0
	f.Zones.Each(tx, func(name mesh.Zone, zone membership.Zone) bool {
		if name == f.Config.Self.Zone {
			return true
		}
		relay, any := membership.RelayFor(relays, place)
		if any && relay == f.Config.Self.Host {
			f.probeZone(tx, now, name, zone)
		}
		place++
		return true
	})
	return controller.Result{After: f.Times.Period}
}

// ownRelays returns the relays of the own zone.
func (f fleet) ownRelays(tx *blackboard.Tx) []mesh.HostID {
	zone, _ := f.Zones.Get(tx, f.Config.Self.Zone)
	return f.relaysOf(tx, zone)
}

func (f fleet) relaysOf(tx *blackboard.Tx, zone membership.Zone) []mesh.HostID {
	up := f.up(tx)
	return zone.Relays(func(id mesh.HostID) bool { return id == f.Config.Self.Host || up(id) })
}

// probeZone pings one relay of another zone, or all of them while the zone is
// silent, and declares it unreachable when it stays so.
func (f fleet) probeZone(tx *blackboard.Tx, now time.Time, name mesh.Zone, zone membership.Zone) {
	relays := f.relaysOf(tx, zone)
	if len(relays) == 0 {
		return
	}
	zone = zone.Probed(now, f.Times)
	f.Zones.Put(tx, name, zone)
	silence := now.Sub(zone.SilentSince)
	if silence > f.Times.ZoneTimeout && !zone.Reach.Unreachable {
		f.Count(EventZoneUnreachable)
		f.spreadReach(tx, name, true)
	}
	targets := []mesh.HostID{relays[f.Random.IntN(len(relays))]}
	if silence > f.Times.Period/2 {
		targets = relays
	}
	digest := []membership.Digest{f.digest(tx, f.Config.Self.Zone)}
	for _, id := range targets {
		peer, _ := f.Peers.Get(tx, id)
		probe := membership.Probe{Target: id, Incarnation: peer.Member.Incarnation, SentAt: now, Across: true}
		ping := f.pingMessage(peer, f.addProbe(tx, probe))
		ping.Digests = digest
		f.sendTo(tx, id, ping)
	}
}

// heardZone notes that a datagram came from a member, so that its zone can be
// reached.
func (f fleet) heardZone(tx *blackboard.Tx, now time.Time, from mesh.HostID) {
	peer, known := f.Peers.Get(tx, from)
	if !known {
		return
	}
	name := peer.Member.Zone
	zone, _ := f.Zones.Get(tx, name)
	if zone.HeardAt.Equal(now) {
		return
	}
	zone = zone.Heard(now)
	f.Zones.Put(tx, name, zone)
	if !zone.Reach.Unreachable {
		return
	}
	if name == f.Config.Self.Zone || f.isRelay(tx) {
		f.spreadReach(tx, name, false)
	}
}

// spreadReach decides whether a zone can be reached, for the whole own zone.
func (f fleet) spreadReach(tx *blackboard.Tx, name mesh.Zone, unreachable bool) {
	zone, _ := f.Zones.Get(tx, name)
	f.setReach(tx, name, membership.Reach{
		Zone: name, Sequence: zone.Reach.Sequence + 1, Unreachable: unreachable,
	})
	if name != f.Config.Self.Zone {
		f.ZoneNews.Put(tx, name, newsRounds)
	}
}

// learnReach takes in whether a zone can be reached, from a fellow.
func (f fleet) learnReach(tx *blackboard.Tx, r membership.Reach) {
	zone, known := f.Zones.Get(tx, r.Zone)
	if !known || r.Zone == f.Config.Self.Zone || !r.Supersedes(zone.Reach) {
		return
	}
	f.setReach(tx, r.Zone, r)
	f.ZoneNews.Put(tx, r.Zone, newsRounds)
}

// watchOwnZone notes when this node hears nobody at all. That is known here
// alone and is not spread.
func (f fleet) watchOwnZone(tx *blackboard.Tx, now time.Time) {
	name := f.Config.Self.Zone
	zone, _ := f.Zones.Get(tx, name)
	if zone.HeardAt.IsZero() {
		zone.HeardAt = now
		f.Zones.Put(tx, name, zone)
	}
	isSilent := now.Sub(zone.HeardAt) > f.Times.ZoneTimeout
	if isSilent && !zone.Reach.Unreachable {
		f.spreadReach(tx, name, true)
	}
}

// relayNews hands news of the own zone to the other zones, if this node is one
// of the relays.
func (f fleet) relayNews(tx *blackboard.Tx, records []membership.Record) {
	var own []membership.Record
	for _, r := range records {
		if r.Member.Zone == f.Config.Self.Zone && r.Phase != membership.Suspected {
			own = append(own, r)
		}
	}
	if len(own) == 0 || !f.isRelay(tx) {
		return
	}
	f.Zones.Each(tx, func(name mesh.Zone, zone membership.Zone) bool {
		relays := f.relaysOf(tx, zone)
		if name != f.Config.Self.Zone && len(relays) > 0 {
			f.sendNews(tx, relays[f.Random.IntN(len(relays))], own, nil)
		}
		return true
	})
}

func (f fleet) isRelay(tx *blackboard.Tx) bool {
	for _, id := range f.ownRelays(tx) {
		if id == f.Config.Self.Host {
			return true
		}
	}
	return false
}
