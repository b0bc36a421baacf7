package membership

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// relaysPerZone is the number of members of a zone, the first by rank, that
// exchange messages with the other zones.
const relaysPerZone = 3

// Reachability is a record of whether a zone is reachable from the node's own zone.
type Reachability struct {
	Zone mesh.Zone
	// Sequence orders the records of a zone; a higher one is newer.
	Sequence    uint64
	Unreachable bool
}

// Supersedes reports whether r is newer than old. Of two records with the same
// sequence number, the reachable one wins.
func (r Reachability) Supersedes(old Reachability) bool {
	if r.Sequence != old.Sequence {
		return r.Sequence > old.Sequence
	}
	return old.Unreachable && !r.Unreachable
}

// Zone is a node's row for an availability zone. It is a value: its methods
// return a modified copy.
type Zone struct {
	Reachability Reachability
	// Hosts has the zone's known members, including those that are gone, in
	// rank order.
	Hosts []mesh.HostID
	// Digest summarizes the members that are not gone; see DigestOf.
	Digest uint64
	// LastDatagramAt is when the last datagram arrived from the zone.
	LastDatagramAt time.Time
	// SilentSince is when this node sent its first probe to the zone since the
	// last datagram from it; zero if it sent none.
	SilentSince time.Time
	// ProbedAt is when this node sent its last probe to the zone.
	ProbedAt time.Time
}

// WithDatagram returns the zone after a datagram arrived from it.
func (z Zone) WithDatagram(now time.Time) Zone {
	z.LastDatagramAt = now
	z.SilentSince = time.Time{}
	return z
}

// WithProbe returns the zone after a probe was sent to it. If this node has not
// probed the zone for a while, because other relays did, SilentSince
// is set to now.
func (z Zone) WithProbe(now time.Time, c Config) Zone {
	if z.SilentSince.IsZero() || now.Sub(z.ProbedAt) > 2*c.ProbeInterval+c.AckTimeout {
		z.SilentSince = now
	}
	z.ProbedAt = now
	return z
}

// Digest summarizes a node's records of a zone, for comparison with a peer's.
type Digest struct {
	Zone mesh.Zone
	Sum  uint64
}

// Add returns the zone with a host inserted at its rank.
func (z Zone) Add(id mesh.HostID) Zone {
	index, found := slices.BinarySearchFunc(z.Hosts, id, compareRank)
	if !found {
		z.Hosts = slices.Insert(slices.Clone(z.Hosts), index, id)
	}
	return z
}

// Remove returns the zone without a host.
func (z Zone) Remove(id mesh.HostID) Zone {
	index, found := slices.BinarySearchFunc(z.Hosts, id, compareRank)
	if found {
		z.Hosts = slices.Delete(slices.Clone(z.Hosts), index, index+1)
	}
	return z
}

// Relays returns the zone's relays: its first usable hosts by rank, at most
// relaysPerZone.
func (z Zone) Relays(usable func(mesh.HostID) bool) []mesh.HostID {
	relays := make([]mesh.HostID, 0, relaysPerZone)
	for _, id := range z.Hosts {
		if usable(id) {
			relays = append(relays, id)
		}
		if len(relays) == relaysPerZone {
			break
		}
	}
	return relays
}

// RelayFor returns the relay that probes the other zone with the given index,
// which distributes the zones evenly. The result is false without relays.
func RelayFor(relays []mesh.HostID, index int) (mesh.HostID, bool) {
	if len(relays) == 0 {
		return "", false
	}
	return relays[index%len(relays)], true
}

// compareRank orders hosts by the hash of their names, so that the relays of a
// zone are spread over the names.
func compareRank(a, b mesh.HostID) int {
	x, y := hashString(string(a)), hashString(string(b))
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	default:
		return slices.Compare([]byte(a), []byte(b))
	}
}

// DigestOf returns a member's contribution to its zone's digest, which is the
// exclusive or of all contributions. A member that is gone contributes zero, so
// that tombstones can expire at different times; a suspicion, which is temporary,
// has no effect.
func DigestOf(r Record) uint64 {
	if r.Phase == Gone {
		return 0
	}
	h := fnv.New64a()
	var numbers [17]byte
	binary.LittleEndian.PutUint64(numbers[:8], uint64(r.Member.Incarnation))
	binary.LittleEndian.PutUint64(numbers[8:16], uint64(r.Member.StartIncarnation))
	numbers[16] = byte(r.Member.State)
	h.Write(numbers[:])
	h.Write([]byte(r.Member.Host))
	return mixBits(h.Sum64())
}

func hashString(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return mixBits(h.Sum64())
}

// mixBits spreads the bits of a hash, because similar names have similar FNV
// sums.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
