package snapshot_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/snapshot"
)

var now = time.Unix(1000, 0)

func made(offset uint64, fill byte) snapshot.Snapshot {
	return snapshot.New(offset, bytes.Repeat([]byte{fill}, 2*snapshot.ChunkBytes+5))
}

func add(s snapshot.Shelf, chunks ...snapshot.Chunk) snapshot.Shelf {
	for _, c := range chunks {
		s = s.Add(now, c)
	}
	return s
}

// Two writers mix their chunks, one dies half-way, one wakes from a pause and
// writes what is long superseded: the newest whole one stays.
func TestShelfTakesWritersInAnyOrder(t *testing.T) {
	a, b, late := made(10, 1), made(20, 2), made(5, 3)
	s := add(snapshot.Shelf{}, a.Chunk(0), b.Chunk(2), a.Chunk(1), a.Chunk(1), a.Chunk(2))
	must.Eq(t, a, s.Best)
	s = add(s, late.Chunk(0), late.Chunk(1), late.Chunk(2), a.Chunk(0))
	s = add(s, snapshot.New(5, []byte("one chunk, late")).Chunk(0))
	must.Eq(t, a, s.Best)
	s = add(s, b.Chunk(0), made(30, 4).Chunk(0), b.Chunk(1))
	must.Eq(t, b, s.Best)
	must.MapLen(t, 1, s.Partials)
}

func TestShelfRefusesAChangedChunk(t *testing.T) {
	a := made(10, 1)
	bad := a.Chunk(1)
	bad.Data = bytes.Clone(bad.Data)
	bad.Data[7] ^= 1
	s := add(snapshot.Shelf{}, a.Chunk(0), bad, a.Chunk(2))
	must.Eq(t, "", s.Best.ID)
	must.Eq(t, 1, s.Corrupt)
	s = add(s, a.Chunk(0), a.Chunk(1), a.Chunk(2)) // a second writer's are whole
	must.Eq(t, a, s.Best)
	for _, odd := range []snapshot.Chunk{{Count: -1}, {Count: 1 << 30}, {Count: 1, Index: 1}, {Count: 1, Index: -1}} {
		must.Eq(t, 0, len(snapshot.Partial{}.Add(odd).Chunks))
	}
}

// The newest snapshot is written anew before it can expire itself, by the
// first writer as a rule and by the next ones when that one does not.
func TestDueByAgeAndByCountOneWriterAfterTheOther(t *testing.T) {
	p := snapshot.Policy{}.WithDefaults()
	s := snapshot.Shelf{Best: snapshot.Snapshot{Offset: 100}, WrittenAt: now}
	due := func(f snapshot.Facts) time.Time {
		f.Offset = 100
		at, ever := p.DueAt(s, f)
		must.True(t, ever)
		return at
	}
	must.Eq(t, now.Add(p.Every), due(snapshot.Facts{}))
	must.Eq(t, now.Add(p.Every+2*p.Stagger), due(snapshot.Facts{Rank: 2}))
	must.Eq(t, now.Add(time.Second+p.Stagger), due(snapshot.Facts{Rank: 1, CountedAt: now.Add(time.Second)}))
	_, ever := p.DueAt(s, snapshot.Facts{Rank: 3, Offset: 100})
	must.False(t, ever)
	must.False(t, p.CountDue(s, 299))
	must.True(t, p.CountDue(s, 300))
}
