package distribution

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Config sets the shape of the distribution tree. A zero field has its default.
type Config struct {
	// Readers is the number of nodes in each zone that read the log. More readers
	// tolerate more simultaneous failures and put more load on the platform.
	// Default 2.
	Readers int
	// Fanout is the number of children of a node in a zone's tree. A larger fan-out
	// makes the tree flatter and puts more load on its inner nodes. Default 4.
	Fanout int
}

const (
	defaultReaders = 2
	defaultFanout  = 4
	// maxFallbackSources is the number of other nodes of its own zone that a node
	// pulls from when no reader answers.
	maxFallbackSources = 4
)

func (c Config) withDefaults() Config {
	if c.Readers <= 0 {
		c.Readers = defaultReaders
	}
	if c.Fanout <= 0 {
		c.Fanout = defaultFanout
	}
	return c
}

// Peer is a node to pull from, or to query for the version floor.
type Peer struct {
	Host mesh.HostID
	// Address is the node's peer address, IP and TCP port.
	Address string
}

// Role is a node's role in the distribution, computed from its membership
// table. Nodes with different tables can assume the same role: then the log is
// read twice or two nodes pull from each other, which does no harm.
type Role struct {
	// ReadsLog is true if the node reads the log.
	ReadsLog bool
	// Parent is the node to pull from first, by the zone's tree; empty for a
	// reader.
	Parent Peer
	// Sources are the nodes to pull from in turn: the readers of the node's zone,
	// those of the other zones, and last some other nodes of the zone. For a reader
	// the other zones come first; it pulls only when the log fails.
	Sources []Peer
	// ReaderCount is the number of readers in Sources. They come first.
	ReaderCount int
	// FloorPeers are the nodes to query for the version floor, because this host
	// may have reported the version that it served to them: the other members of
	// the zone and the readers of the other zones.
	FloorPeers []Peer
	// WriterRank is the node's rank among all members for writing snapshots, from
	// 1; zero if it is not computed yet.
	WriterRank int
}

// Equal reports whether the roles are equal.
func (r Role) Equal(o Role) bool {
	return r.ReadsLog == o.ReadsLog && r.WriterRank == o.WriterRank && r.Parent == o.Parent && r.ReaderCount == o.ReaderCount &&
		slices.Equal(r.Sources, o.Sources) && slices.Equal(r.FloorPeers, o.FloorPeers)
}

// RendezvousOrder returns the members in the order of their rendezvous hashes
// under a key, highest first. Adding or removing a member does not change the
// relative order of the others.
func RendezvousOrder(key string, members []mesh.Member) []mesh.Member {
	weight := make(map[mesh.HostID]uint64, len(members))
	for _, m := range members {
		hash := fnv.New64a()
		hash.Write([]byte(key + "\x00" + string(m.Host)))
		weight[m.Host] = mixBits(hash.Sum64())
	}
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b mesh.Member) int {
		return cmp.Or(cmp.Compare(weight[b.Host], weight[a.Host]), cmp.Compare(a.Host, b.Host))
	})
	return ranked
}

// mixBits spreads the bits of an FNV hash, whose inputs differ only in their last
// bytes, over the whole word. It is the finalizer of SplitMix64.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// AssignRole returns the role of self among the members.
func AssignRole(self mesh.Member, members []mesh.Member, c Config) Role {
	c = c.withDefaults()
	byZone := liveByZone(self, members)
	zone := RendezvousOrder(string(self.Zone), byZone[self.Zone])
	rank := rankOf(self.Host, zone)
	role := Role{ReadsLog: rank < c.Readers, WriterRank: writerRank(self, byZone)}
	if !role.ReadsLog {
		parent := zone[(rank-c.Readers)/c.Fanout]
		role.Parent = Peer{Host: parent.Host, Address: parent.PeerAddress}
	}
	remoteReaders := readersOfOtherZones(self, byZone, c)
	zoneReaders := orderFor(self, firstN(zone, c.Readers))
	zoneOthers := orderFor(self, zone[len(zoneReaders):])
	if role.ReadsLog {
		role.Sources = toPeers(self, remoteReaders, zoneReaders, firstN(zoneOthers, maxFallbackSources))
	} else {
		role.Sources = toPeers(self, zoneReaders, remoteReaders, firstN(zoneOthers, maxFallbackSources))
	}
	role.ReaderCount = len(toPeers(self, zoneReaders, remoteReaders))
	role.FloorPeers = toPeers(self, zone, remoteReaders)
	return role
}

// liveByZone groups self and the members that are alive by zone.
func liveByZone(self mesh.Member, members []mesh.Member) map[mesh.Zone][]mesh.Member {
	byZone := map[mesh.Zone][]mesh.Member{self.Zone: {self}}
	for _, m := range members {
		if m.Host != self.Host && m.State == mesh.Alive {
			byZone[m.Zone] = append(byZone[m.Zone], m)
		}
	}
	return byZone
}

// rankOf returns the index of the host among ranked members.
func rankOf(host mesh.HostID, ranked []mesh.Member) int {
	return slices.IndexFunc(ranked, func(m mesh.Member) bool { return m.Host == host })
}

// writerRank returns the rank of self among the members of all zones, from 1.
func writerRank(self mesh.Member, byZone map[mesh.Zone][]mesh.Member) int {
	var all []mesh.Member
	for _, members := range byZone {
		all = append(all, members...)
	}
	return rankOf(self.Host, RendezvousOrder("snapshot writers", all)) + 1
}

// readersOfOtherZones returns the readers of the other zones, those of self's
// region first. Each node has its own order, so that the pulls of a zone that is
// partitioned from the platform are spread over all of them.
func readersOfOtherZones(self mesh.Member, byZone map[mesh.Zone][]mesh.Member, c Config) []mesh.Member {
	var sameRegion, otherRegions []mesh.Member
	for zone, members := range byZone {
		if zone == self.Zone {
			continue
		}
		for _, m := range firstN(RendezvousOrder(string(zone), members), c.Readers) {
			if m.Region == self.Region {
				sameRegion = append(sameRegion, m)
			} else {
				otherRegions = append(otherRegions, m)
			}
		}
	}
	return append(orderFor(self, sameRegion), orderFor(self, otherRegions)...)
}

// orderFor returns the members in an order that is specific to self.
func orderFor(self mesh.Member, members []mesh.Member) []mesh.Member {
	return RendezvousOrder("asked by "+string(self.Host), members)
}

func firstN(members []mesh.Member, n int) []mesh.Member { return members[:min(n, len(members))] }

// toPeers concatenates the lists without self.
func toPeers(self mesh.Member, lists ...[]mesh.Member) []Peer {
	var peers []Peer
	for _, m := range slices.Concat(lists...) {
		if m.Host != self.Host {
			peers = append(peers, Peer{Host: m.Host, Address: m.PeerAddress})
		}
	}
	return peers
}
