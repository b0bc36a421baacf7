package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/marigoldshelf/marigoldshelf/decide/distribution"
	"github.com/marigoldshelf/marigoldshelf/decide/membership"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

const (
	// settleTime is how long a node must have been a confirmed member, with a
	// table that agrees with a peer's and no further zone found, before it grants
	// tokens. A node that knows too few zones would grant too large a part of the
	// quota, and the granting node that it replaces has to learn of it first.
	settleTime = 2 * time.Second
	// longSettleTime is the same for a node that knows no other node, and the
	// longest for one that does not know all announced nodes, of which some may be
	// gone. When all processes start together, parts of the fleet find each other
	// one after the other.
	longSettleTime = 5 * time.Second
	// knownZonesSettleTime is settleTime where the settings name all zones. A part of
	// a zone that has not found the rest yet then grants at most the zone's part, for
	// as long as membership needs to spread, and a restart of all processes leaves a
	// longer time without any grant before it.
	knownZonesSettleTime = 700 * time.Millisecond
	// recentEnd is how long a host that ended counts among those of its zone, when a
	// node decides whether it is in the larger part of a zone that is split.
	recentEnd = 30 * time.Second
	// takeoverTime is how long after the end of an account's granting node its
	// successor starts to grant, so that all nodes have learned of the end.
	takeoverTime = time.Second
)

// Duty is what a node knows for its work as a granting node, and of the other
// granting nodes. It is a value.
type Duty struct {
	Self mesh.Member
	// Live holds the members by zone that can be granting nodes, this node
	// included.
	Live map[mesh.Zone][]mesh.Member
	// Zones is the number of zones that share the quota: those of the settings, or
	// those with known members, also with members that are gone, so that it does not
	// shrink when a zone is cut off.
	Zones int
	// ConfiguredZones is the number of zones in the settings; zero if they name none.
	ConfiguredZones int
	// Nodes is the number of known members.
	Nodes int
	// EndedAt is when hosts of the own zone stopped being live.
	EndedAt map[mesh.HostID]time.Time
	// EligibleAt is when this node can start to grant tokens; zero while it is not
	// an established member.
	EligibleAt time.Time
	// EstablishedAt is since when the node is an established member.
	EstablishedAt time.Time
	// confirmedUntil is the end of the last known confirmation by a peer.
	confirmedUntil time.Time
}

// Update returns the duty after a change of the membership; unknown is the number
// of announced nodes that are not among the members. A gap between two
// confirmations that is long enough for a successor begins a new settleTime.
func (d Duty) Update(now time.Time, self membership.Self, members []mesh.Member, unknown int) Duty {
	next := Duty{
		ConfiguredZones: d.ConfiguredZones,
		Self:            self.Member, Nodes: len(members), Live: make(map[mesh.Zone][]mesh.Member),
		EndedAt: maps.Clone(d.EndedAt), confirmedUntil: self.ConfirmedUntil,
	}
	if next.EndedAt == nil {
		next.EndedAt = make(map[mesh.HostID]time.Time)
	}
	zones := make(map[mesh.Zone]bool)
	for _, m := range members {
		zones[m.Zone] = true
		if m.State == mesh.Alive || m.State == mesh.Suspect {
			next.Live[m.Zone] = append(next.Live[m.Zone], m)
		}
	}
	next.Zones = max(len(zones), d.ConfiguredZones)
	next.updateEnded(now, d)
	next.EstablishedAt, next.EligibleAt = d.eligible(now, self, next.Zones, unknown)
	return next
}

func (d *Duty) updateEnded(now time.Time, before Duty) {
	live := make(map[mesh.HostID]bool)
	for _, m := range d.Live[d.Self.Zone] {
		live[m.Host] = true
		delete(d.EndedAt, m.Host)
	}
	for _, m := range before.Live[d.Self.Zone] {
		if !live[m.Host] {
			d.EndedAt[m.Host] = now
		}
	}
	maps.DeleteFunc(d.EndedAt, func(_ mesh.HostID, at time.Time) bool { return now.Sub(at) > time.Hour })
}

// eligible returns EstablishedAt and EligibleAt after a change; d is the duty before
// it.
func (d Duty) eligible(now time.Time, self membership.Self, zones, unknown int) (establishedAt, eligibleAt time.Time) {
	sole := self.Status == membership.SoleMember
	// A successor begins takeoverTime after the end of the confirmation at the
	// earliest.
	gap := !sole && now.After(d.confirmedUntil.Add(takeoverTime/2))
	if !self.Confirmed(now) && !gap {
		return d.EstablishedAt, d.EligibleAt
	}
	if !self.Confirmed(now) || !sole && !(self.Joined && self.TableSynced) {
		return time.Time{}, time.Time{}
	}
	switch settling := now.Before(d.EligibleAt); {
	case d.EligibleAt.IsZero() || gap:
		settle := settleTime
		switch {
		case sole:
			settle = longSettleTime
		case d.ConfiguredZones > 0:
			settle = knownZonesSettleTime
		}
		return now, now.Add(settle)
	case d.ConfiguredZones > 0:
		return d.EstablishedAt, d.EligibleAt
	case settling && zones != d.Zones:
		return d.EstablishedAt, latest(d.EligibleAt, now.Add(settleTime))
	case settling && unknown > 0:
		until := now.Add(settleTime)
		if limit := d.EstablishedAt.Add(longSettleTime); until.After(limit) {
			until = limit
		}
		return d.EstablishedAt, latest(d.EligibleAt, until)
	}
	return d.EstablishedAt, d.EligibleAt
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// established reports whether this node knows enough of the fleet to create tokens.
func (d Duty) established(now time.Time) bool {
	return !d.EligibleAt.IsZero() && !now.Before(d.EligibleAt)
}

// inLargerPart reports whether at least half of the hosts that the own zone had
// lately are live, as far as this node knows. In a zone that is split, the smaller
// part grants nothing.
func (d Duty) inLargerPart(now time.Time) bool {
	ended := 0
	for _, at := range d.EndedAt {
		if now.Sub(at) < recentEnd {
			ended++
		}
	}
	return len(d.Live[d.Self.Zone]) >= ended
}

// GrantsSince returns since when this node is the account's granting node in its
// zone; false if it is not, or not yet.
func (d Duty) GrantsSince(now time.Time, a mesh.AccountName) (since time.Time, grants bool) {
	if !d.established(now) || !d.inLargerPart(now) || !slices.ContainsFunc(d.Live[d.Self.Zone], func(m mesh.Member) bool { return m.Host == d.Self.Host }) {
		return time.Time{}, false
	}
	since = d.EligibleAt
	candidates := append([]mesh.Member(nil), d.Live[d.Self.Zone]...)
	for host := range d.EndedAt {
		candidates = append(candidates, mesh.Member{Host: host})
	}
	for _, m := range distribution.RendezvousOrder(string(a), candidates) {
		if m.Host == d.Self.Host {
			return since, !now.Before(since)
		}
		ended, gone := d.EndedAt[m.Host]
		if !gone {
			return time.Time{}, false
		}
		if from := ended.Add(takeoverTime); from.After(since) {
			since = from
		}
	}
	return time.Time{}, false
}

// Granter returns the account's granting node in a zone, as far as this node
// knows.
func (d Duty) Granter(z mesh.Zone, a mesh.AccountName) (mesh.Member, bool) {
	live := d.Live[z]
	if len(live) == 0 {
		return mesh.Member{}, false
	}
	return distribution.RendezvousOrder(string(a), live)[0], true
}
