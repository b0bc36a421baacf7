package idempotency

import "github.com/marigoldshelf/marigoldshelf/mesh"

// Holder identifies one process of a node. Shards are held in memory, so a
// restarted node has lost them and is a different holder.
type Holder struct {
	Host mesh.HostID `json:"host"`
	// StartIncarnation is the incarnation with which the node's process started.
	StartIncarnation mesh.Incarnation `json:"life"`
}

// ChangeKind is the kind of a change of a shard's holders.
type ChangeKind string

// The kinds of change.
const (
	// First assigns a shard that never had holders.
	First ChangeKind = "first"
	// Move replaces the pair. The new primary is a holder of the previous pair
	// and has the complete state.
	Move ChangeKind = "move"
	// Fresh restarts a shard, in quarantine, because its state is lost.
	Fresh ChangeKind = "fresh"
	// Keep changes nothing. It is written periodically so that the stream's
	// retention does not drop the last record that names a shard's holders.
	Keep ChangeKind = "keep"
)

// Change is one change of one shard's holders.
type Change struct {
	Shard int        `json:"shard"`
	Kind  ChangeKind `json:"kind"`
	// Base is the offset of the last effective record that the writer had read;
	// the change takes effect only if that is still the last one. It is zero in
	// a First; a Fresh with zero takes effect unconditionally.
	Base uint64 `json:"base"`
	// Epoch is the epoch that a Keep confirms; zero for other kinds.
	Epoch   uint64 `json:"epoch,omitempty"`
	Primary Holder `json:"primary"`
	Backup  Holder `json:"backup"`
}

// Record is a record of the keys stream. It has at most one change per shard.
type Record struct {
	Changes []Change `json:"changes"`
}

// Assignment names the pair that holds a shard.
type Assignment struct {
	// Epoch is the offset of the record that assigned this pair; zero for none.
	Epoch uint64
	// LastRecordOffset is the offset of the last record that took effect.
	LastRecordOffset uint64
	Primary          Holder
	Backup           Holder
	// Kind is the kind of the record that assigned the pair. It is Keep if that
	// record was not read because it was no longer retained.
	Kind ChangeKind
}

// Holds reports whether h is one of the pair.
func (a Assignment) Holds(h Holder) bool {
	return a.Epoch != 0 && (a.Primary == h || a.Backup == h)
}

// unconfirmedChange is a change that was read after older records were no
// longer retained, so that it is unknown whether it took effect.
type unconfirmedChange struct {
	offset uint64
	change Change
}

// maxUnconfirmed bounds the unconfirmed changes of a shard; the oldest ones are
// dropped first.
const maxUnconfirmed = 16

// ShardMap is the state computed from the keys stream: which pair holds which
// shard. It is a value. Nodes that have read up to the same offset agree on
// every assignment that they have, even if they began to read at different
// offsets.
type ShardMap struct {
	// Offset is the offset of the last record applied.
	Offset uint64
	// LastSkippedOffset is the last offset that was not read because it was no
	// longer retained; zero if the stream was read from its start. The node
	// cannot tell which shards it was assigned up to this offset.
	LastSkippedOffset uint64
	Assignments       [MaxShards]Assignment
	unconfirmed       [MaxShards][]unconfirmedChange
}

// UnconfirmedCount returns the number of a shard's changes that are not known to
// have taken effect. A later record that names one as its base confirms it.
func (m ShardMap) UnconfirmedCount(shard int) int { return len(m.unconfirmed[shard]) }

// Skip returns the map after records up to offset could not be read. It has no
// assignments, because any known one can have been replaced in these records.
func (m ShardMap) Skip(offset uint64) ShardMap {
	return ShardMap{Offset: offset, LastSkippedOffset: offset}
}

// Fold returns the map after record r at offset. A record at or before
// ShardMap.Offset has no effect.
func (m ShardMap) Fold(offset uint64, r Record) ShardMap {
	if offset <= m.Offset {
		return m
	}
	m.Offset = offset
	for _, c := range r.Changes {
		if c.Shard >= 0 && c.Shard < MaxShards {
			m.foldChange(offset, c)
		}
	}
	return m
}

// foldChange applies a change if the shard's assignment before it is known, and
// otherwise adds it to the unconfirmed changes.
func (m *ShardMap) foldChange(offset uint64, c Change) {
	s := c.Shard
	if m.Assignments[s].Epoch != 0 || m.LastSkippedOffset == 0 || c.isUnconditional() {
		m.apply(offset, c)
		return
	}
	pending := m.unconfirmed[s]
	pending = pending[max(0, len(pending)-maxUnconfirmed+1):]
	m.unconfirmed[s] = append(pending[:len(pending):len(pending)], unconfirmedChange{offset, c})
	m.confirm(s, c.Base)
}

// confirm applies the unconfirmed change at offset base, if there is one. The
// writer of a record with that base had seen the change take effect, so it did;
// the later changes are then applied in order.
func (m *ShardMap) confirm(shard int, base uint64) {
	pending := m.unconfirmed[shard]
	for i, u := range pending {
		if u.offset != base {
			continue
		}
		m.Assignments[shard] = u.change.assignment(u.offset)
		m.unconfirmed[shard] = nil
		for _, later := range pending[i+1:] {
			m.apply(later.offset, later.change)
		}
		return
	}
}

// apply applies a change if it is valid after the current assignment.
func (m *ShardMap) apply(offset uint64, c Change) {
	current := &m.Assignments[c.Shard]
	switch {
	case !c.isValidAfter(*current):
		return
	case c.Kind == Keep:
		current.LastRecordOffset = offset
	default:
		*current = c.assignment(offset)
	}
	m.unconfirmed[c.Shard] = nil
}

// isUnconditional reports whether a change takes effect after any assignment.
func (c Change) isUnconditional() bool { return c.Kind == Fresh && c.Base == 0 }

// isValidAfter reports whether a change takes effect after assignment a.
func (c Change) isValidAfter(a Assignment) bool {
	twoHosts := c.Primary.Host != c.Backup.Host
	switch c.Kind {
	case First:
		return a.Epoch == 0 && c.Base == 0 && twoHosts
	case Move:
		return a.Epoch != 0 && c.Base == a.LastRecordOffset && twoHosts && a.Holds(c.Primary)
	case Fresh:
		return (c.Base == 0 || c.Base == a.LastRecordOffset) && twoHosts
	case Keep:
		return a.Epoch != 0 && c.Base == a.LastRecordOffset && c.Epoch == a.Epoch
	default:
		return false
	}
}

// assignment returns the assignment after the change took effect at offset.
func (c Change) assignment(offset uint64) Assignment {
	epoch := offset
	if c.Kind == Keep {
		epoch = c.Epoch
	}
	return Assignment{Epoch: epoch, LastRecordOffset: offset, Kind: c.Kind, Primary: c.Primary, Backup: c.Backup}
}
