// Package reader decides which nodes of an availability zone read new
// configuration from the store, and from which node each of the others receives
// it. Each call to the store has a cost, so in a large zone the first nodes by
// rank read, and the others hold a request at a node above them in a tree.
//
// Every node decides by its own view of the zone. There is no election: nodes
// with different views have one reader more or less for a moment, or ask a node
// that asks them, and an unanswered node reads the store itself.
package reader

import (
	"slices"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

const (
	// readersPerZone is the number of nodes of a zone that read the store. With
	// three, the zone keeps two when one restarts or loses the store.
	readersPerZone = 3
	// minFeedZone is the smallest zone in which not every node reads. Below it
	// the saved calls are not worth the additional hop.
	minFeedZone = 2*readersPerZone + 1
	// childrenPerNode is the number of nodes that one node feeds. It bounds what a
	// slow link carries at a change; three levels cover a zone of 200 nodes.
	childrenPerNode = 8
)

// Role is how a node receives new documents.
type Role struct {
	// Reads is true for a node that reads the store.
	Reads bool
	// Parents are the nodes that the node can receive documents from instead, the
	// preferred one first; empty for a node that reads.
	Parents []mesh.HostID
}

// RoleOf returns the role of self. ranked holds the usable hosts of its zone in
// rank order, self included.
func RoleOf(self mesh.HostID, ranked []mesh.HostID) Role {
	index := slices.Index(ranked, self)
	if index < readersPerZone || len(ranked) < minFeedZone {
		return Role{Reads: true}
	}
	parent := (index - readersPerZone) / childrenPerNode
	parents := []mesh.HostID{ranked[parent]}
	for i := range readersPerZone {
		if other := (parent + 1 + i) % readersPerZone; other != parent {
			parents = append(parents, ranked[other])
		}
	}
	return Role{Parents: parents}
}
