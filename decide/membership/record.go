// Package membership decides who is in the fleet: how news of a member is
// merged, when a member that does not answer is suspected and when it is
// declared gone, whom to probe, and which members two nodes know differently.
//
// Order is by incarnation. Only a member raises its own, so of two records the
// one with the higher incarnation is the newer; within an incarnation gone
// comes after suspected, and suspected after up. Nothing here reads a clock or
// a network: the instant and the draws are passed in.
package membership

import (
	"slices"
	"time"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Phase is what others hold of one incarnation of a member.
type Phase uint8

// The phases, in their order within an incarnation.
const (
	// Up: it answers, or nobody has said otherwise.
	Up Phase = iota
	// Suspected: it did not answer and has not contradicted that yet.
	Suspected
	// Gone: declared dead.
	Gone
)

// Record is a piece of news about a member.
type Record struct {
	// Member is the member as it announced itself, with the state Alive or
	// Leaving.
	Member mesh.Member
	Phase  Phase
	// By is the node that could not reach a suspected member.
	By mesh.HostID
}

// Supersedes reports whether r is newer than old.
func (r Record) Supersedes(old Record) bool {
	if r.Member.Incarnation != old.Member.Incarnation {
		return r.Member.Incarnation > old.Member.Incarnation
	}
	if r.Member.Life != old.Member.Life {
		return r.Member.Life > old.Member.Life
	}
	return r.Phase > old.Phase
}

// Size estimates the encoded size in bytes, from above.
func (r Record) Size() int {
	const fixed = 48
	m := r.Member
	return fixed + len(m.Host) + len(m.Zone) + len(m.Region) + len(m.Service) + len(r.By)
}

// Peer is what a node holds of a member.
type Peer struct {
	Record
	// Since is when the node learned of this phase.
	Since time.Time
	// Accusers has the nodes that could not reach a suspected member, at most
	// maxAccusers.
	Accusers []mesh.HostID
}

// maxAccusers is the number of accusers that shorten a suspicion to its
// minimum; more change nothing.
const maxAccusers = 3

// Merge returns what is held once news r has come in, and whether the news
// was new, so that it is to be passed on. News that an unknown member is gone
// is dropped: storing it would keep tombstones alive for ever.
func Merge(old Peer, known bool, r Record, now time.Time) (Peer, bool) {
	if !known {
		return freshPeer(r, now), r.Phase != Gone
	}
	if r.Supersedes(old.Record) {
		return freshPeer(r, now), true
	}
	if !old.addsAccuser(r) {
		return old, false
	}
	merged := old
	merged.Accusers = append(slices.Clone(old.Accusers), r.By)
	return merged, true
}

func freshPeer(r Record, now time.Time) Peer {
	p := Peer{Record: r, Since: now}
	if r.Phase == Suspected {
		p.Accusers = []mesh.HostID{r.By}
	}
	return p
}

func (p Peer) addsAccuser(r Record) bool {
	sameSuspicion := p.Phase == Suspected && r.Phase == Suspected &&
		p.Member.Incarnation == r.Member.Incarnation && p.Member.Life == r.Member.Life
	return sameSuspicion && len(p.Accusers) < maxAccusers && !slices.Contains(p.Accusers, r.By)
}

// State returns the state that the other parts of a node see.
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
