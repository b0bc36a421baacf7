package idempotency_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/idempotency"
)

var (
	a = idempotency.Holder{Host: "a", StartIncarnation: 1}
	b = idempotency.Holder{Host: "b", StartIncarnation: 2}
	c = idempotency.Holder{Host: "c", StartIncarnation: 3}
)

// singleChange returns a record with one change of shard 0.
func singleChange(k idempotency.ChangeKind, base uint64, primary, backup idempotency.Holder) idempotency.Record {
	change := idempotency.Change{Kind: k, Base: base, Primary: primary, Backup: backup}
	return idempotency.Record{Changes: []idempotency.Change{change}}
}

// Nodes can write conflicting records with the same base. Only the first one in
// the log must take effect, and a record that is read again must have none.
func TestFirstRecordForBaseTakesEffect(t *testing.T) {
	var m idempotency.ShardMap
	m = m.Fold(1, singleChange(idempotency.First, 0, a, b))
	m = m.Fold(2, singleChange(idempotency.First, 0, b, c))
	must.Eq(t, 1, m.Assignments[0].Epoch)
	m = m.Fold(3, singleChange(idempotency.Move, 1, b, c))
	m = m.Fold(4, singleChange(idempotency.Move, 1, a, c))
	must.Eq(t, 3, m.Assignments[0].Epoch)
	m = m.Fold(5, singleChange(idempotency.Fresh, 1, a, c))
	must.Eq(t, 3, m.Assignments[0].Epoch)
	must.Eq(t, m, m.Fold(3, singleChange(idempotency.Fresh, 3, a, c)))
}

// Only the holders of a pair have its state. A Move must have no effect if its
// primary is not one of them, such as a restarted process on a holder's host, or
// if it puts primary and backup on one host.
func TestMoveNeedsHolderOfPreviousPair(t *testing.T) {
	var m idempotency.ShardMap
	m = m.Fold(1, singleChange(idempotency.First, 0, a, b))
	m = m.Fold(2, singleChange(idempotency.Move, 1, c, a))
	m = m.Fold(3, singleChange(idempotency.Move, 1, idempotency.Holder{Host: "a", StartIncarnation: 9}, c))
	m = m.Fold(4, singleChange(idempotency.Move, 1, a, idempotency.Holder{Host: "a", StartIncarnation: 9}))
	must.Eq(t, 1, m.Assignments[0].Epoch)
}

// A node can begin to read the stream after its first records were dropped.
// Every assignment that it computes must be the one of a node that read all
// records.
func TestLateReaderComputesSameAssignment(t *testing.T) {
	records := []idempotency.Record{
		singleChange(idempotency.First, 0, a, b),
		singleChange(idempotency.Move, 1, b, c),
		singleChange(idempotency.Move, 1, a, c), // no effect: its base was replaced
		{Changes: []idempotency.Change{{Kind: idempotency.Keep, Base: 2, Epoch: 2, Primary: b, Backup: c}}},
		singleChange(idempotency.Fresh, 4, a, b),
		singleChange(idempotency.Fresh, 0, b, c),
	}
	for skipped := range uint64(len(records)) {
		var whole idempotency.ShardMap
		late := idempotency.ShardMap{}.Skip(skipped)
		for i, r := range records {
			offset := uint64(i + 1)
			whole = whole.Fold(offset, r)
			late = late.Fold(offset, r)
			if known := late.Assignments[0]; known.Epoch != 0 {
				must.Eq(t, whole.Assignments[0], known, must.Sprintf("skipped %d at %d", skipped, offset))
			}
		}
		must.Eq(t, 6, late.Assignments[0].Epoch)
	}
}
