package membership

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Standing is the status of the node's own membership, as far as other nodes
// have confirmed it.
type Standing uint8

// The standings of a node.
const (
	// Unconfirmed: no peer has recently confirmed that this node is a member.
	Unconfirmed Standing = iota
	// Confirmed: a peer has recorded this incarnation as up. The confirmation
	// is valid until Self.ConfirmedUntil.
	Confirmed
	// Alone: the log and the seeds name no other node.
	Alone
	// Replaced: another process has taken over this host's name.
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

// Self is the node's own membership. It is a value: its methods return a
// modified copy.
type Self struct {
	// Member is the node as it announces itself.
	Member   mesh.Member
	Standing Standing
	// ConfirmedUntil is the earliest time at which other nodes could have
	// declared this node gone since its last answered probe.
	ConfirmedUntil time.Time
	// Joined is true once a peer has confirmed this process.
	Joined bool
	// Complete is true once the whole table was the same as a peer's.
	Complete bool
}

// Confirmed reports whether no node can have declared this node gone by now.
// After a pause of the process past ConfirmedUntil it returns false at once,
// before any timer has run.
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

// Record returns the node's own record, which it gossips.
func (s Self) Record() Record { return Record{Member: s.Member, Phase: Up} }

// Confirm returns the node's membership after a peer answered the probe sent at
// sentAt and has recorded incarnation i of this node as up. Another incarnation
// than the current one confirms nothing.
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

// Hear applies another node's record of this node. It reports whether the node
// has to refute the record, with the raised incarnation in the result.
//
// A record of another process under the same host name has two possible causes.
// A new process whose clock is behind receives a record of its predecessor, and
// raises its incarnation above it. A node that has joined before receives a
// record of its successor, and gives up the name.
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

// Announce returns the node with a new incarnation and the given state, Alive
// or Leaving.
func (s Self) Announce(state mesh.MemberState) Self {
	s.Member.State = state
	s.Member.Incarnation++
	return s
}

// Meeting schedules the node's use of the stream of announcements.
type Meeting struct {
	// LookAt is when the node reads the stream next.
	LookAt time.Time
	// AnnounceAt is when the node next decides whether to announce itself.
	AnnounceAt time.Time
}
