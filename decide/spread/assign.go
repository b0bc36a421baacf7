package spread

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Config bounds the shape of the distribution. The zero value takes the
// defaults.
type Config struct {
	// Readers is the number of nodes of a zone that read the log; more survive
	// more failures at once and load the platform more. Default 2.
	Readers int
	// Fanout is the number of nodes that one node feeds; a larger one makes
	// the tree flatter and its inner nodes busier. Default 4.
	Fanout int
}

const (
	defaultReaders = 2
	defaultFanout  = 4
	// lastResorts is the number of nodes of the own zone, beside its readers,
	// that a node asks when no reader answers.
	lastResorts = 4
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

// Source is a node that can be asked for records.
type Source struct {
	Host    mesh.HostID
	Address string
}

// Role is a node's part in the distribution, as it follows from the members it
// knows. Nodes with different views may both take a part: reading the log
// twice, or asking each other, is harmless.
type Role struct {
	// Reader: the node reads the log.
	Reader bool
	// Parent is the node to ask first, by the zone's tree; empty for a reader.
	Parent Source
	// Sources are the nodes to ask in turn: the readers of the own zone, those
	// of the others, and last some other nodes of the zone. A reader asks only
	// when the log fails it, and begins with the other zones.
	Sources []Source
	// Readers is the number of Sources that are readers; they come first.
	Readers int
	// Witnesses are the nodes that may hold what this host served: the other
	// members of the zone and the readers of the other zones.
	Witnesses []Source
	// WriterRank is the node's place among those that write snapshots, over
	// all zones; the first is 1, and 0 says that it is not known yet.
	WriterRank int
}

// Equal reports whether both roles are the same.
func (r Role) Equal(o Role) bool {
	return r.Reader == o.Reader && r.WriterRank == o.WriterRank && r.Parent == o.Parent && r.Readers == o.Readers &&
		slices.Equal(r.Sources, o.Sources) && slices.Equal(r.Witnesses, o.Witnesses)
}

// Rank orders members by rendezvous hash under a key, the highest first. A
// member that comes or goes moves no two others against each other.
func Rank(key string, members []mesh.Member) []mesh.Member {
	weight := make(map[mesh.HostID]uint64, len(members))
	for _, m := range members {
		hash := fnv.New64a()
		hash.Write([]byte(key + "\x00" + string(m.Host)))
		weight[m.Host] = mix(hash.Sum64())
	}
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b mesh.Member) int {
		return cmp.Or(cmp.Compare(weight[b.Host], weight[a.Host]), cmp.Compare(a.Host, b.Host))
	})
	return ranked
}

// mix spreads the bits of a hash whose inputs differ in their last bytes only
// (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Assign gives self its role among the members.
func Assign(self mesh.Member, members []mesh.Member, c Config) Role {
	c = c.withDefaults()
	byZone := liveByZone(self, members)
	zone := Rank(string(self.Zone), byZone[self.Zone])
	place := placeOf(self.Host, zone)
	role := Role{Reader: place < c.Readers, WriterRank: writerRank(self, byZone)}
	if !role.Reader {
		parent := zone[(place-c.Readers)/c.Fanout]
		role.Parent = Source{Host: parent.Host, Address: parent.PeerAddress}
	}
	others := readersElsewhere(self, byZone, c)
	own := rotated(self, head(zone, c.Readers))
	rest := rotated(self, zone[len(own):])
	if role.Reader {
		role.Sources = toSources(self, others, own, head(rest, lastResorts))
	} else {
		role.Sources = toSources(self, own, others, head(rest, lastResorts))
	}
	role.Readers = len(toSources(self, own, others))
	role.Witnesses = toSources(self, zone, others)
	return role
}

// liveByZone groups the members that can be asked, self among them.
func liveByZone(self mesh.Member, members []mesh.Member) map[mesh.Zone][]mesh.Member {
	byZone := map[mesh.Zone][]mesh.Member{self.Zone: {self}}
	for _, m := range members {
		if m.Host != self.Host && m.State == mesh.Alive {
			byZone[m.Zone] = append(byZone[m.Zone], m)
		}
	}
	return byZone
}

func placeOf(host mesh.HostID, ranked []mesh.Member) int {
	return slices.IndexFunc(ranked, func(m mesh.Member) bool { return m.Host == host })
}

// writerRank is the place of self among all members, from 1.
func writerRank(self mesh.Member, byZone map[mesh.Zone][]mesh.Member) int {
	var all []mesh.Member
	for _, members := range byZone {
		all = append(all, members...)
	}
	return placeOf(self.Host, Rank("snapshot writers", all)) + 1
}

// readersElsewhere returns the readers of the other zones, those of the own
// region first; each node begins with another one, so that a zone cut off from
// the platform spreads over the rest.
func readersElsewhere(self mesh.Member, byZone map[mesh.Zone][]mesh.Member, c Config) []mesh.Member {
	var near, far []mesh.Member
	for zone, members := range byZone {
		if zone == self.Zone {
			continue
		}
		for _, m := range head(Rank(string(zone), members), c.Readers) {
			if m.Region == self.Region {
				near = append(near, m)
			} else {
				far = append(far, m)
			}
		}
	}
	return append(rotated(self, near), rotated(self, far)...)
}

// rotated puts members into an order of self's own.
func rotated(self mesh.Member, members []mesh.Member) []mesh.Member {
	return Rank("asked by "+string(self.Host), members)
}

func head(members []mesh.Member, n int) []mesh.Member { return members[:min(n, len(members))] }

// toSources joins the lists without self.
func toSources(self mesh.Member, lists ...[]mesh.Member) []Source {
	var sources []Source
	for _, m := range slices.Concat(lists...) {
		if m.Host != self.Host {
			sources = append(sources, Source{Host: m.Host, Address: m.PeerAddress})
		}
	}
	return sources
}
