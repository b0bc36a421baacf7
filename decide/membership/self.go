package membership

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Status is the status of the node's own membership, as far as other nodes
// have confirmed it.
type Status uint8

// The statuses of a node.
const (
	// Unconfirmed: no peer has recently confirmed that this node is a member.
	Unconfirmed Status = iota
	// Confirmed: a peer has recorded this incarnation as up. The confirmation
	// is valid until Self.ConfirmedUntil.
	Confirmed
	// SoleMember: the log and the seeds name no other node.
	SoleMember
	// Replaced: another process has taken over this host's name.
	Replaced
)

// String returns the status's name.
func (s Status) String() string {
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
	Member mesh.Member
	Status Status
	// ConfirmedUntil is the earliest time at which other nodes could have
	// declared this node gone since its last answered probe.
	ConfirmedUntil time.Time
	// Joined is true once a peer has confirmed this process.
	Joined bool
	// TableSynced is true once the whole table was the same as a peer's.
	TableSynced bool
}

// Confirmed reports whether no node can have declared this node gone by now.
// After a pause of the process past ConfirmedUntil it returns false at once,
// before any timer has run.
func (s Self) Confirmed(now time.Time) bool {
	switch s.Status {
	case Confirmed:
		return now.Before(s.ConfirmedUntil)
	case SoleMember:
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
	if s.Status == Replaced || i != s.Member.Incarnation {
		return s
	}
	s.Status = Confirmed
	s.Joined = true
	if until := sentAt.Add(c.ConfirmationTTL); until.After(s.ConfirmedUntil) {
		s.ConfirmedUntil = until
	}
	return s
}

// ApplyRecord applies another node's record of this node. It reports whether the
// node has to refute the record, with the raised incarnation in the result.
//
// A record of another process under the same host name has two possible causes.
// A new process whose clock is behind receives a record of its predecessor, and
// raises its incarnation above it. A node that has joined before receives a
// record of its successor, and becomes Replaced.
func (s Self) ApplyRecord(r Record) (Self, bool) {
	if s.Status == Replaced || !r.Supersedes(s.Record()) {
		return s, false
	}
	if r.Member.StartIncarnation != s.Member.StartIncarnation && s.Joined {
		s.Status = Replaced
		return s, false
	}
	if r.Phase != Suspected && s.Status == Confirmed {
		s.Status = Unconfirmed
	}
	s.Member.Incarnation = r.Member.Incarnation + 1
	return s, true
}

// WithState returns the node with a new incarnation and the given state, Alive
// or Leaving.
func (s Self) WithState(state mesh.MemberState) Self {
	s.Member.State = state
	s.Member.Incarnation++
	return s
}

// AnnounceSchedule schedules the node's use of the stream of announcements.
type AnnounceSchedule struct {
	// ReadAt is when the node reads the stream next.
	ReadAt time.Time
	// AnnounceAt is when the node next decides whether to announce itself.
	AnnounceAt time.Time
	// Era is the era of the store in which the node last considered announcing
	// itself. Announcements of a former era can be lost.
	Era uint64
	// Lost is set while an announcement is due because of a change of era.
	Lost bool
}
