package idempotency

import "github.com/marigoldshelf/marigoldshelf/mesh"

// Holder is one life of a node. A node that restarts has lost its memory and
// is another holder.
type Holder struct {
	Host mesh.HostID `json:"host"`
	// Life is the incarnation with which the node's process started.
	Life mesh.Incarnation `json:"life"`
}

// Kind is what a record does to a shard.
type Kind string

// The kinds of record.
const (
	// First assigns a shard that never had holders.
	First Kind = "first"
	// Move replaces the pair. Its primary is a holder of the pair before and
	// has the whole state.
	Move Kind = "move"
	// Fresh starts a shard anew, in quarantine, because its state is lost.
	Fresh Kind = "fresh"
	// Keep changes nothing. It is written now and then so that the stream's
	// retention never drops all that tells who holds a shard.
	Keep Kind = "keep"
)

// Change is one change of one shard's holders.
type Change struct {
	Shard int  `json:"shard"`
	Kind  Kind `json:"kind"`
	// Base is the offset of the record that the writer saw in force; zero for
	// a first one, and for a fresh start whatever came before.
	Base uint64 `json:"base"`
	// Epoch is the epoch that a Keep confirms; zero in others.
	Epoch   uint64 `json:"epoch,omitempty"`
	Primary Holder `json:"primary"`
	Backup  Holder `json:"backup"`
}

// Record is a record of the keys stream. It has at most one change of a shard.
type Record struct {
	Changes []Change `json:"changes"`
}

// Assignment is who holds a shard.
type Assignment struct {
	// Epoch is the offset of the record that made this pair; zero for none.
	Epoch uint64
	// Link is the offset of the last record that took effect.
	Link    uint64
	Primary Holder
	Backup  Holder
	// Kind is the kind of the record that made it, as far as it was read.
	Kind Kind
}

// Holds reports whether h is one of the pair.
func (a Assignment) Holds(h Holder) bool {
	return a.Epoch != 0 && (a.Primary == h || a.Backup == h)
}

// unproved is a record that was read after older ones were no longer retained,
// so that it is not known whether it took effect.
type unproved struct {
	offset uint64
	change Change
}

// maxUnproved bounds the unproved records of a shard; the oldest go first.
const maxUnproved = 16

// Map is the fold of the keys stream. It is a value and the same at every node
// that has read as far, wherever it began to read.
type Map struct {
	// Offset is that of the last record folded in.
	Offset uint64
	// Skipped is the last offset that was not read because it was no longer
	// retained; zero when the stream was read from its start. Nothing is known
	// of the node's own part in what came before.
	Skipped     uint64
	Assignments [MaxShards]Assignment
	unproved    [MaxShards][]unproved
}

// Unproved returns the number of records of a shard that are not known to have
// taken effect. They are proved by a later record that names one as its base.
func (m Map) Unproved(shard int) int { return len(m.unproved[shard]) }

// Skip notes that records up to offset were not read. What a node knew before
// may have been replaced unseen, so it is forgotten.
func (m Map) Skip(offset uint64) Map { return Map{Offset: offset, Skipped: offset} }

// Fold applies one record.
func (m Map) Fold(offset uint64, r Record) Map {
	if offset <= m.Offset {
		return m
	}
	m.Offset = offset
	for _, c := range r.Changes {
		if c.Shard >= 0 && c.Shard < MaxShards {
			m.fold(offset, c)
		}
	}
	return m
}

func (m *Map) fold(offset uint64, c Change) {
	s := c.Shard
	if m.Assignments[s].Epoch != 0 || m.Skipped == 0 || c.resets() {
		m.apply(offset, c)
		return
	}
	waiting := m.unproved[s]
	waiting = waiting[max(0, len(waiting)-maxUnproved+1):]
	m.unproved[s] = append(waiting[:len(waiting):len(waiting)], unproved{offset, c})
	m.prove(s, c.Base)
}

// prove looks for the record that base names. Whoever wrote base had seen that
// record take effect, so it did; those after it are then applied in order.
func (m *Map) prove(shard int, base uint64) {
	waiting := m.unproved[shard]
	for i, u := range waiting {
		if u.offset != base {
			continue
		}
		m.Assignments[shard] = u.change.assignment(u.offset)
		m.unproved[shard] = nil
		for _, later := range waiting[i+1:] {
			m.apply(later.offset, later.change)
		}
		return
	}
}

// apply lets a change take effect if it follows from the present assignment.
func (m *Map) apply(offset uint64, c Change) {
	now := &m.Assignments[c.Shard]
	switch {
	case !c.follows(*now):
		return
	case c.Kind == Keep:
		now.Link = offset
	default:
		*now = c.assignment(offset)
	}
	m.unproved[c.Shard] = nil
}

// resets reports whether a change takes effect whatever came before it.
func (c Change) resets() bool { return c.Kind == Fresh && c.Base == 0 }

func (c Change) follows(a Assignment) bool {
	twoHosts := c.Primary.Host != c.Backup.Host
	switch c.Kind {
	case First:
		return a.Epoch == 0 && c.Base == 0 && twoHosts
	case Move:
		return a.Epoch != 0 && c.Base == a.Link && twoHosts && a.Holds(c.Primary)
	case Fresh:
		return (c.Base == 0 || c.Base == a.Link) && twoHosts
	case Keep:
		return a.Epoch != 0 && c.Base == a.Link && c.Epoch == a.Epoch
	default:
		return false
	}
}

func (c Change) assignment(offset uint64) Assignment {
	epoch := offset
	if c.Kind == Keep {
		epoch = c.Epoch
	}
	return Assignment{Epoch: epoch, Link: offset, Kind: c.Kind, Primary: c.Primary, Backup: c.Backup}
}
