package idempotency

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// maxProposers is the number of nodes that can propose a pair without the
// previous pair's state, each later than the one before.
const maxProposers = 4

// View is the input of Plan: what one node has recorded about shards, holders
// and members.
type View struct {
	Self Holder
	Map  ShardMap
	// LastRecordAt is when the last effective record of each shard was read.
	LastRecordAt [MaxShards]time.Time
	// LostSince is when this node found that a shard has no holder that can
	// continue it; zero while it has one.
	LostSince [MaxShards]time.Time
	// HeldShard returns a shard of this node, or false if the node does not hold
	// it.
	HeldShard func(shard int) (Shard, bool)
	// Members has all known members, including this node.
	Members []mesh.Member
	// LogConfirmedAt is the last time at which the node had read every record of
	// the keys stream.
	LogConfirmedAt time.Time
	// StartedAt is when the node started.
	StartedAt time.Time
}

// HolderOf returns the holder that identifies a member's current process.
func HolderOf(m mesh.Member) Holder {
	return Holder{Host: m.Host, StartIncarnation: cmp.Or(m.StartIncarnation, m.Incarnation)}
}

// Lost reports whether no holder of the shard is expected to continue it, as far
// as this node knows.
func (v View) Lost(shard int) bool {
	a := v.Map.Assignments[shard]
	if a.Epoch == 0 {
		return true
	}
	held, holds := v.HeldShard(shard)
	switch {
	case holds && held.Complete:
		return false
	case holds:
		return held.Role == Primary || v.isGone(held.Peer)
	case a.Holds(v.Self):
		return true // this node has lost its state
	}
	return v.isGone(a.Primary) && v.isGone(a.Backup)
}

// isGone reports whether a holder is unknown or dead, or was replaced by another
// process on its host.
func (v View) isGone(h Holder) bool {
	i := slices.IndexFunc(v.Members, func(m mesh.Member) bool { return m.Host == h.Host })
	if i < 0 {
		return true
	}
	return v.Members[i].State == mesh.Dead || HolderOf(v.Members[i]) != h
}

// Plan returns the changes of holders that this node should write to the keys
// stream now.
func Plan(now time.Time, c Config, v View) []Change {
	if now.Sub(v.StartedAt) < 2*c.HeartbeatInterval {
		return nil // the node does not know the other members yet
	}
	var changes []Change
	for shard := range c.Shards {
		if change, wanted := v.planShard(now, c, shard); wanted {
			changes = append(changes, change)
		}
	}
	return changes
}

func (v View) planShard(now time.Time, c Config, shard int) (Change, bool) {
	a := v.Map.Assignments[shard]
	if held, holds := v.HeldShard(shard); holds && held.Complete {
		return v.planHeldShard(now, c, held, a)
	}
	if a.Epoch == 0 && v.Map.LastSkippedOffset == 0 {
		return v.proposeNewPair(shard, First, 0, int(now.Sub(v.StartedAt)/c.FreshAfter))
	}
	mapIsCurrent := elapsed(v.LogConfirmedAt, now) <= 2*c.FreshAfter
	if v.LostSince[shard].IsZero() || !mapIsCurrent {
		return Change{}, false
	}
	wait := c.FreshAfter
	if a.Epoch == 0 && v.Map.UnconfirmedCount(shard) > 0 {
		wait = 3 * c.KeepInterval // a live primary confirms the change in that time
	}
	lastTurn := int(now.Sub(v.LostSince[shard])/wait) - 1
	if lastTurn < 0 {
		return Change{}, false
	}
	return v.proposeNewPair(shard, Fresh, a.LastRecordOffset, lastTurn)
}

// planHeldShard plans for a shard whose complete state this node has: a leaving
// primary hands over to its backup, a lost peer or a badly placed backup is
// replaced, and otherwise the primary writes a Keep record when one is due.
func (v View) planHeldShard(now time.Time, c Config, s Shard, a Assignment) (Change, bool) {
	change := Change{Shard: s.Number, Base: a.LastRecordOffset, Primary: s.Self}
	if s.Role == Primary && s.Synced && v.member(s.Self.Host).State == mesh.Leaving {
		backup, found := v.pickBackup(s.Number, s.Peer.Host, s.Self)
		change.Kind, change.Primary, change.Backup = Move, s.Peer, backup
		return change, found
	}
	peerLost := now.Sub(s.LastPeerContactAt) > c.PeerTimeout
	if peerLost || s.Role == Primary && v.hasBetterBackup(s) {
		backup, found := v.pickBackup(s.Number, s.Self.Host, s.Peer)
		change.Kind, change.Backup = Move, backup
		return change, found
	}
	if s.Role == Primary && s.Synced && now.Sub(v.LastRecordAt[s.Number]) >= c.KeepInterval {
		change.Kind, change.Epoch, change.Backup = Keep, a.Epoch, s.Peer
		return change, true
	}
	return Change{}, false
}

// hasBetterBackup reports whether another member can replace the backup, and
// the backup is leaving, or is in the primary's zone and the other one is not.
// It is false until the backup is synced.
func (v View) hasBetterBackup(s Shard) bool {
	if !s.Synced {
		return false
	}
	backup, found := v.pickBackup(s.Number, s.Self.Host, s.Peer)
	if !found {
		return false
	}
	current := v.member(s.Peer.Host)
	if current.State == mesh.Leaving {
		return true
	}
	zone := v.member(s.Self.Host).Zone
	return current.Zone == zone && v.member(backup.Host).Zone != zone
}

// member returns the member with a host name, or the zero value.
func (v View) member(h mesh.HostID) mesh.Member {
	for _, m := range v.Members {
		if m.Host == h {
			return m
		}
	}
	return mesh.Member{}
}

// proposeNewPair returns a change to a pair that starts without state, if it is
// this node's turn to propose it. Members take turns in the order of
// rankedMembers; lastTurn is the index of the last one that can propose now.
func (v View) proposeNewPair(shard int, k ChangeKind, base uint64, lastTurn int) (Change, bool) {
	candidates := v.rankedMembers(shard)
	turn := slices.IndexFunc(candidates, func(m mesh.Member) bool { return m.Host == v.Self.Host })
	if turn < 0 || turn > min(lastTurn, maxProposers-1) {
		return Change{}, false
	}
	primary := HolderOf(candidates[0])
	backup, found := v.pickBackup(shard, primary.Host, Holder{})
	return Change{Shard: shard, Kind: k, Base: base, Primary: primary, Backup: backup}, found
}

// pickBackup returns the backup for a primary: a member on another host,
// preferably in the primary's region and there in another zone. excluded is a
// holder that must not be picked.
func (v View) pickBackup(shard int, primary mesh.HostID, excluded Holder) (Holder, bool) {
	primaryMember := v.member(primary)
	var best mesh.Member
	bestScore := 0
	for _, m := range v.rankedMembers(shard) {
		if m.Host == primary || HolderOf(m) == excluded {
			continue
		}
		score := 1
		if m.Region == primaryMember.Region {
			score += 2
		}
		if m.Zone != primaryMember.Zone {
			score++
		}
		if score > bestScore {
			best, bestScore = m, score
		}
	}
	return HolderOf(best), bestScore > 0
}

// rankedMembers returns the members that can hold a shard, ordered by rendezvous
// hashing: shards spread over the members, and nodes with the same members
// compute the same order.
func (v View) rankedMembers(shard int) []mesh.Member {
	var alive []mesh.Member
	for _, m := range v.Members {
		if m.State == mesh.Alive {
			alive = append(alive, m)
		}
	}
	weight := func(m mesh.Member) uint64 { return rendezvousWeight(shard, m.Host) }
	slices.SortFunc(alive, func(a, b mesh.Member) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.Host, b.Host))
	})
	return alive
}

// rendezvousWeight returns the weight of a host for a shard; the host with the
// highest weight is first.
func rendezvousWeight(shard int, host mesh.HostID) uint64 {
	h := fnv.New64a()
	h.Write([]byte{byte(shard)})
	h.Write([]byte(host))
	// FNV mixes the last bytes poorly; the multiplication spreads them.
	sum := h.Sum64()
	sum ^= sum >> 32
	sum *= 0x9e3779b97f4a7c15
	return sum ^ sum>>29
}
