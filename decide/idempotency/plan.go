package idempotency

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// maxProposers is the number of nodes that may start a shard anew, each later
// than the one before.
const maxProposers = 4

// View is what a node looks at when it plans changes of holders.
type View struct {
	Self Holder
	Map  Map
	// LinkedAt is when each shard's last record was read.
	LinkedAt [MaxShards]time.Time
	// LostSince is since when each shard has had no holder that could go on, as
	// far as this node sees; zero while it has one.
	LostSince [MaxShards]time.Time
	// Held returns a shard that this node holds.
	Held func(shard int) (Shard, bool)
	// Members has every member known, this node included.
	Members []mesh.Member
	// Confirmed is when the log was last known to have no later record.
	Confirmed time.Time
	// StartedAt is when the node started.
	StartedAt time.Time
}

// HolderOf returns the member's present life as a holder.
func HolderOf(m mesh.Member) Holder {
	return Holder{Host: m.Host, Life: cmp.Or(m.Life, m.Incarnation)}
}

// Lost reports whether neither holder of the shard can be expected to go on.
func (v View) Lost(shard int) bool {
	a := v.Map.Assignments[shard]
	if a.Epoch == 0 {
		return true
	}
	held, holds := v.Held(shard)
	switch {
	case holds && held.Complete:
		return false
	case holds:
		return held.Role == Primary || v.gone(held.Peer)
	case a.Holds(v.Self):
		return true // this node forgot it
	}
	return v.gone(a.Primary) && v.gone(a.Backup)
}

// gone reports whether a holder is dead, or another life of its host is there.
func (v View) gone(h Holder) bool {
	i := slices.IndexFunc(v.Members, func(m mesh.Member) bool { return m.Host == h.Host })
	if i < 0 {
		return true
	}
	return v.Members[i].State == mesh.Dead || HolderOf(v.Members[i]) != h
}

// Plan returns the changes that this node should write now.
func Plan(now time.Time, c Config, v View) []Change {
	if now.Sub(v.StartedAt) < 2*c.HeartbeatInterval {
		return nil // it has not heard of others yet
	}
	var changes []Change
	for shard := range c.Shards {
		if change, wanted := v.plan(now, c, shard); wanted {
			changes = append(changes, change)
		}
	}
	return changes
}

func (v View) plan(now time.Time, c Config, shard int) (Change, bool) {
	a := v.Map.Assignments[shard]
	if held, holds := v.Held(shard); holds && held.Complete {
		return v.planHeld(now, c, held, a)
	}
	if a.Epoch == 0 && v.Map.Skipped == 0 {
		return v.proposeAnew(shard, First, 0, int(now.Sub(v.StartedAt)/c.FreshAfter))
	}
	current := elapsed(v.Confirmed, now) <= 2*c.FreshAfter
	if v.LostSince[shard].IsZero() || !current {
		return Change{}, false
	}
	wait := c.FreshAfter
	if a.Epoch == 0 && v.Map.Unproved(shard) > 0 {
		wait = 3 * c.KeepInterval // a living primary proves the record in that time
	}
	rank := int(now.Sub(v.LostSince[shard])/wait) - 1
	if rank < 0 {
		return Change{}, false
	}
	return v.proposeAnew(shard, Fresh, a.Link, rank)
}

// planHeld plans for a shard whose whole state this node has.
func (v View) planHeld(now time.Time, c Config, s Shard, a Assignment) (Change, bool) {
	change := Change{Shard: s.Number, Base: a.Link, Primary: s.Self}
	if s.Role == Primary && s.Synced && v.member(s.Self.Host).State == mesh.Leaving {
		backup, found := v.pickBackup(s.Number, s.Peer.Host, s.Self)
		change.Kind, change.Primary, change.Backup = Move, s.Peer, backup
		return change, found
	}
	peerLost := now.Sub(s.HeardAt) > c.FailAfter
	if peerLost || s.Role == Primary && v.betterBackup(s) {
		backup, found := v.pickBackup(s.Number, s.Self.Host, s.Peer)
		change.Kind, change.Backup = Move, backup
		return change, found
	}
	if s.Role == Primary && s.Synced && now.Sub(v.LinkedAt[s.Number]) >= c.KeepInterval {
		change.Kind, change.Epoch, change.Backup = Keep, a.Epoch, s.Peer
		return change, true
	}
	return Change{}, false
}

// betterBackup reports whether the pair shares a zone, or the backup leaves,
// and another member could stand in.
func (v View) betterBackup(s Shard) bool {
	if !s.Synced {
		return false
	}
	backup, found := v.pickBackup(s.Number, s.Self.Host, s.Peer)
	if !found {
		return false
	}
	present := v.member(s.Peer.Host)
	if present.State == mesh.Leaving {
		return true
	}
	zone := v.member(s.Self.Host).Zone
	return present.Zone == zone && v.member(backup.Host).Zone != zone
}

func (v View) member(h mesh.HostID) mesh.Member {
	for _, m := range v.Members {
		if m.Host == h {
			return m
		}
	}
	return mesh.Member{}
}

// proposeAnew makes a pair without the state of the one before, if this node's
// turn to propose it has come. rank is the last one whose turn it is.
func (v View) proposeAnew(shard int, k Kind, base uint64, rank int) (Change, bool) {
	candidates := v.ranked(shard)
	turn := slices.IndexFunc(candidates, func(m mesh.Member) bool { return m.Host == v.Self.Host })
	if turn < 0 || turn > min(rank, maxProposers-1) {
		return Change{}, false
	}
	primary := HolderOf(candidates[0])
	backup, found := v.pickBackup(shard, primary.Host, Holder{})
	return Change{Shard: shard, Kind: k, Base: base, Primary: primary, Backup: backup}, found
}

// pickBackup picks the member that is to stand beside a primary: in another
// zone of its region if there is one, or at least on another host, and not the
// life that was lost.
func (v View) pickBackup(shard int, primary mesh.HostID, lost Holder) (Holder, bool) {
	beside := v.member(primary)
	var best mesh.Member
	bestScore := 0
	for _, m := range v.ranked(shard) {
		if m.Host == primary || HolderOf(m) == lost {
			continue
		}
		score := 1
		if m.Region == beside.Region {
			score += 2
		}
		if m.Zone != beside.Zone {
			score++
		}
		if score > bestScore {
			best, bestScore = m, score
		}
	}
	return HolderOf(best), bestScore > 0
}

// ranked returns the members that can hold a shard, in an order of the shard's
// own, so that shards spread over the members and all nodes agree.
func (v View) ranked(shard int) []mesh.Member {
	var alive []mesh.Member
	for _, m := range v.Members {
		if m.State == mesh.Alive {
			alive = append(alive, m)
		}
	}
	weight := func(m mesh.Member) uint64 { return rendezvous(shard, m.Host) }
	slices.SortFunc(alive, func(a, b mesh.Member) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.Host, b.Host))
	})
	return alive
}

func rendezvous(shard int, host mesh.HostID) uint64 {
	h := fnv.New64a()
	h.Write([]byte{byte(shard)})
	h.Write([]byte(host))
	// FNV mixes its last bytes poorly; a multiplication spreads them.
	sum := h.Sum64()
	sum ^= sum >> 32
	sum *= 0x9e3779b97f4a7c15
	return sum ^ sum>>29
}
