// Package membership implements the decisions of the fleet's gossip membership
// and failure detection, which are based on SWIM: how records of a member are
// merged, when a member that does not answer is suspected and when it is
// declared gone, which members to probe, and how two nodes find the members
// that they have recorded differently.
//
// Records of a member are ordered by incarnation. Only a member raises its own,
// so the record with the higher incarnation is newer; within an incarnation,
// gone supersedes suspected, and suspected supersedes up. The package does not
// read a clock or the network: callers pass the time and the random source.
package membership

import (
	"slices"
	"time"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Phase is the liveness of one incarnation of a member, as the other nodes have
// it recorded.
type Phase uint8

// The phases, in the order in which they supersede each other.
const (
	// Up: the member answers, or no node has reported otherwise.
	Up Phase = iota
	// Suspected: the member did not answer a probe and has not refuted the
	// suspicion.
	Suspected
	// Gone: the member was declared dead.
	Gone
)

// Record is a gossiped update about a member.
type Record struct {
	// Member is the member as it announced itself, with the state Alive or
	// Leaving.
	Member mesh.Member
	Phase  Phase
	// Reporter is the node that could not reach a suspected member.
	Reporter mesh.HostID
}

// Supersedes reports whether r is newer than old.
func (r Record) Supersedes(old Record) bool {
	if r.Member.Incarnation != old.Member.Incarnation {
		return r.Member.Incarnation > old.Member.Incarnation
	}
	if r.Member.StartIncarnation != old.Member.StartIncarnation {
		return r.Member.StartIncarnation > old.Member.StartIncarnation
	}
	return r.Phase > old.Phase
}

// Size returns an upper estimate of the encoded size in bytes.
func (r Record) Size() int {
	const fixed = 48
	m := r.Member
	return fixed + len(m.Host) + len(m.Zone) + len(m.Region) + len(m.Service) + len(r.Reporter)
}

// Peer is a node's row for a member: its newest record and when it arrived.
type Peer struct {
	Record
	// Since is when the node learned of the current phase.
	Since time.Time
	// Reporters has the nodes that could not reach a suspected member, at most
	// maxReporters.
	Reporters []mesh.HostID
}

// maxReporters is the number of nodes that shorten a suspicion to its minimum
// by reporting it; more have no effect.
const maxReporters = 3

// Merge returns the row after record r arrived, and whether r is new and so has
// to be passed on. known tells whether old exists. A record that an unknown
// member is gone is dropped: storing it would keep tombstones alive forever.
func Merge(old Peer, known bool, r Record, now time.Time) (Peer, bool) {
	if !known {
		return newPeer(r, now), r.Phase != Gone
	}
	if r.Supersedes(old.Record) {
		return newPeer(r, now), true
	}
	if !old.addsReporter(r) {
		return old, false
	}
	merged := old
	merged.Reporters = append(slices.Clone(old.Reporters), r.Reporter)
	return merged, true
}

func newPeer(r Record, now time.Time) Peer {
	p := Peer{Record: r, Since: now}
	if r.Phase == Suspected {
		p.Reporters = []mesh.HostID{r.Reporter}
	}
	return p
}

// addsReporter reports whether r is another node's report of the suspicion that
// p has, while there are fewer than maxReporters.
func (p Peer) addsReporter(r Record) bool {
	sameSuspicion := p.Phase == Suspected && r.Phase == Suspected &&
		p.Member.Incarnation == r.Member.Incarnation && p.Member.StartIncarnation == r.Member.StartIncarnation
	return sameSuspicion && len(p.Reporters) < maxReporters && !slices.Contains(p.Reporters, r.Reporter)
}

// State returns the member's state in the table Members, which the parts of a
// node outside membership read.
func (p Peer) State(zoneUnreachable bool) mesh.MemberState {
	switch {
	case p.Phase == Gone:
		return mesh.Dead
	case zoneUnreachable:
		return mesh.Unreachable
	case p.Member.State == mesh.Leaving:
		return mesh.Leaving
	case p.Phase == Suspected:
		return mesh.Suspect
	default:
		return mesh.Alive
	}
}
