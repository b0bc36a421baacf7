package membership

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Standing is what a node knows of how the others see it.
type Standing uint8

// The standings of a node.
const (
	// Unconfirmed: nobody has said lately that this node is in the fleet.
	Unconfirmed Standing = iota
	// Confirmed: a peer holds this incarnation to be up, or did until
	// Self.ConfirmedUntil.
	Confirmed
	// Alone: the log and the seeds name no other node.
	Alone
	// Replaced: another process has taken this host's name over.
	Replaced
)

// String returns the standing's name.
func (s Standing) String() string {
	names := [...]string{"unconfirmed", "confirmed", "alone", "replaced"}
	if int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// Self is a node's own membership.
type Self struct {
	// Member is the node as it announces itself.
	Member   mesh.Member
	Standing Standing
	// ConfirmedUntil is the earliest instant at which the others could have
	// declared this node gone since the last probe that was answered.
	ConfirmedUntil time.Time
	// Joined is true once a peer has confirmed this life.
	Joined bool
	// Complete is true once the whole table was the same as a peer's.
	Complete bool
}

// Confirmed reports whether nobody can have declared this node gone by now. A
// node that was paused reads false as soon as it looks, before any timer of
// its own has run.
func (s Self) Confirmed(now time.Time) bool {
	switch s.Standing {
	case Confirmed:
		return now.Before(s.ConfirmedUntil)
	case Alone:
		return true
	default:
		return false
	}
}

// Record returns the news that the node spreads of itself.
func (s Self) Record() Record { return Record{Member: s.Member, Phase: Up} }

// Confirm notes that a peer answered the probe sent at sentAt and holds
// incarnation i of this node to be up.
func (s Self) Confirm(i mesh.Incarnation, sentAt time.Time, c Config) Self {
	if s.Standing == Replaced || i != s.Member.Incarnation {
		return s
	}
	s.Standing = Confirmed
	s.Joined = true
	if until := sentAt.Add(c.ConfirmSpan); until.After(s.ConfirmedUntil) {
		s.ConfirmedUntil = until
	}
	return s
}

// Hear takes in what others say of this node, and reports whether the node
// has to contradict it, under the higher incarnation that it then has.
//
// News of another life under the same name means two things. A newcomer whose
// clock is behind hears of its predecessor, and goes past it. A node that was
// in the fleet before hears of its successor, and gives the name up.
func (s Self) Hear(r Record) (Self, bool) {
	if s.Standing == Replaced || !r.Supersedes(s.Record()) {
		return s, false
	}
	if r.Member.Life != s.Member.Life && s.Joined {
		s.Standing = Replaced
		return s, false
	}
	if r.Phase != Suspected && s.Standing == Confirmed {
		s.Standing = Unconfirmed
	}
	s.Member.Incarnation = r.Member.Incarnation + 1
	return s, true
}

// Announce returns the node under a new incarnation with the state given:
// Alive or Leaving.
func (s Self) Announce(state mesh.MemberState) Self {
	s.Member.State = state
	s.Member.Incarnation++
	return s
}

// Meeting is when a node turns to the stream of announcements next.
type Meeting struct {
	// LookAt is when it reads on.
	LookAt time.Time
	// AnnounceAt is when it considers to announce itself.
	AnnounceAt time.Time
}
