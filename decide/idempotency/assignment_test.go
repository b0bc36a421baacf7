package idempotency_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/idempotency"
)

var (
	a = idempotency.Holder{Host: "a", Life: 1}
	b = idempotency.Holder{Host: "b", Life: 2}
	c = idempotency.Holder{Host: "c", Life: 3}
)

func one(k idempotency.Kind, base uint64, primary, backup idempotency.Holder) idempotency.Record {
	change := idempotency.Change{Kind: k, Base: base, Primary: primary, Backup: backup}
	return idempotency.Record{Changes: []idempotency.Change{change}}
}

func TestFirstInLogOrderWins(t *testing.T) {
	var m idempotency.Map
	m = m.Fold(1, one(idempotency.First, 0, a, b))
	m = m.Fold(2, one(idempotency.First, 0, b, c))
	must.Eq(t, 1, m.Assignments[0].Epoch)
	m = m.Fold(3, one(idempotency.Move, 1, b, c))
	m = m.Fold(4, one(idempotency.Move, 1, a, c))
	must.Eq(t, 3, m.Assignments[0].Epoch)
	m = m.Fold(5, one(idempotency.Fresh, 1, a, c))
	must.Eq(t, 3, m.Assignments[0].Epoch)
	must.Eq(t, m, m.Fold(3, one(idempotency.Fresh, 3, a, c)))
}

func TestMoveNeedsAnOldHolder(t *testing.T) {
	var m idempotency.Map
	m = m.Fold(1, one(idempotency.First, 0, a, b))
	m = m.Fold(2, one(idempotency.Move, 1, c, a))
	m = m.Fold(3, one(idempotency.Move, 1, idempotency.Holder{Host: "a", Life: 9}, c))
	m = m.Fold(4, one(idempotency.Move, 1, a, idempotency.Holder{Host: "a", Life: 9}))
	must.Eq(t, 1, m.Assignments[0].Epoch)
}

func TestLaterReaderAgrees(t *testing.T) {
	records := []idempotency.Record{
		one(idempotency.First, 0, a, b),
		one(idempotency.Move, 1, b, c),
		one(idempotency.Move, 1, a, c), // lost the race
		{Changes: []idempotency.Change{{Kind: idempotency.Keep, Base: 2, Epoch: 2, Primary: b, Backup: c}}},
		one(idempotency.Fresh, 4, a, b),
		one(idempotency.Fresh, 0, b, c),
	}
	for skipped := range uint64(len(records)) {
		var whole idempotency.Map
		late := idempotency.Map{}.Skip(skipped)
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
