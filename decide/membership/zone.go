package membership

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// relaysPerZone is the number of ranked members of a zone that speak with the
// other zones.
const relaysPerZone = 3

// Reach says whether a zone answers the own one. The higher sequence number
// is the newer; among equals reachable wins.
type Reach struct {
	Zone        mesh.Zone
	Sequence    uint64
	Unreachable bool
}

// Supersedes reports whether r is newer than old.
func (r Reach) Supersedes(old Reach) bool {
	if r.Sequence != old.Sequence {
		return r.Sequence > old.Sequence
	}
	return old.Unreachable && !r.Unreachable
}

// Zone is what a node holds of an availability zone.
type Zone struct {
	Reach Reach
	// Hosts has its known members, the gone included, in the order of rank.
	Hosts []mesh.HostID
	// Digest is a fold of the members that are not gone; see DigestOf.
	Digest uint64
	// HeardAt is when a datagram last came from the zone.
	HeardAt time.Time
	// SilentSince is when this node sent the first probe to the zone that was
	// not answered yet; zero when there is none. ProbedAt is the last one's.
	SilentSince time.Time
	ProbedAt    time.Time
}

// Heard returns the zone after a datagram came from it.
func (z Zone) Heard(now time.Time) Zone {
	z.HeardAt = now
	z.SilentSince = time.Time{}
	return z
}

// Probed returns the zone with a probe to it sent. A node that has not probed
// it for a while, since others did, starts to count anew.
func (z Zone) Probed(now time.Time, c Config) Zone {
	if z.SilentSince.IsZero() || now.Sub(z.ProbedAt) > 2*c.Period+c.AckTimeout {
		z.SilentSince = now
	}
	z.ProbedAt = now
	return z
}

// Digest sums up what a node holds of a zone, to compare it with a peer.
type Digest struct {
	Zone mesh.Zone
	Sum  uint64
}

// Add returns the zone with a host added in its rank.
func (z Zone) Add(id mesh.HostID) Zone {
	at, found := slices.BinarySearchFunc(z.Hosts, id, compareRank)
	if !found {
		z.Hosts = slices.Insert(slices.Clone(z.Hosts), at, id)
	}
	return z
}

// Remove returns the zone without a host.
func (z Zone) Remove(id mesh.HostID) Zone {
	at, found := slices.BinarySearchFunc(z.Hosts, id, compareRank)
	if found {
		z.Hosts = slices.Delete(slices.Clone(z.Hosts), at, at+1)
	}
	return z
}

// Relays returns the first ranked hosts of the zone that usable accepts.
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

// RelayFor returns which of the relays probes the zone that has the place
// given among all zones, so that the relays share them evenly.
func RelayFor(relays []mesh.HostID, place int) (mesh.HostID, bool) {
	if len(relays) == 0 {
		return "", false
	}
	return relays[place%len(relays)], true
}

// compareRank orders hosts by hash, so that the relays of a zone are spread
// over the names.
func compareRank(a, b mesh.HostID) int {
	x, y := hashOf(string(a)), hashOf(string(b))
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	default:
		return slices.Compare([]byte(a), []byte(b))
	}
}

// DigestOf returns a member's part of its zone's digest; the parts are joined
// by exclusive or. The gone have none, so that tombstones may expire at
// different times, nor does a suspicion, which passes.
func DigestOf(r Record) uint64 {
	if r.Phase == Gone {
		return 0
	}
	h := fnv.New64a()
	var numbers [17]byte
	binary.LittleEndian.PutUint64(numbers[:8], uint64(r.Member.Incarnation))
	binary.LittleEndian.PutUint64(numbers[8:16], uint64(r.Member.Life))
	numbers[16] = byte(r.Member.State)
	h.Write(numbers[:])
	h.Write([]byte(r.Member.Host))
	return mix(h.Sum64())
}

func hashOf(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return mix(h.Sum64())
}

// mix spreads the bits of a hash: similar names give similar FNV sums.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
