package snapshot_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/snapshot"
)

var now = time.Unix(1000, 0)

// threeChunks returns a snapshot of three chunks with the same byte throughout.
func threeChunks(offset uint64, fill byte) snapshot.Snapshot {
	return snapshot.New(offset, bytes.Repeat([]byte{fill}, 2*snapshot.ChunkBytes+5))
}

func addAll(catalog snapshot.Catalog, chunks ...snapshot.Chunk) snapshot.Catalog {
	for _, c := range chunks {
		catalog = catalog.Add(now, c)
	}
	return catalog
}

// Two writers interleave their chunks, one stops before its last chunk, and one
// resumes after a delay and writes a superseded snapshot. The newest complete
// snapshot must be kept.
func TestNewestCompleteSnapshotIsKept(t *testing.T) {
	a, b, superseded := threeChunks(10, 1), threeChunks(20, 2), threeChunks(5, 3)
	catalog := addAll(snapshot.Catalog{}, a.Chunk(0), b.Chunk(2), a.Chunk(1), a.Chunk(1), a.Chunk(2))
	must.Eq(t, a, catalog.Newest)
	catalog = addAll(catalog, superseded.Chunk(0), superseded.Chunk(1), superseded.Chunk(2), a.Chunk(0))
	catalog = addAll(catalog, snapshot.New(5, []byte("one chunk, late")).Chunk(0))
	must.Eq(t, a, catalog.Newest)
	catalog = addAll(catalog, b.Chunk(0), threeChunks(30, 4).Chunk(0), b.Chunk(1))
	must.Eq(t, b, catalog.Newest)
	must.MapLen(t, 1, catalog.Partials)
}

// A chunk changed in transit must not become part of a snapshot, and must not keep
// an intact copy of the same snapshot from being assembled afterwards.
func TestCorruptSnapshotIsDropped(t *testing.T) {
	a := threeChunks(10, 1)
	corrupted := a.Chunk(1)
	corrupted.Data = bytes.Clone(corrupted.Data)
	corrupted.Data[7] ^= 1
	catalog := addAll(snapshot.Catalog{}, a.Chunk(0), corrupted, a.Chunk(2))
	must.Eq(t, "", catalog.Newest.ID)
	must.Eq(t, 1, catalog.CorruptCount)
	catalog = addAll(catalog, a.Chunk(0), a.Chunk(1), a.Chunk(2)) // intact chunks of a second writer
	must.Eq(t, a, catalog.Newest)
	for _, malformed := range []snapshot.Chunk{{Count: -1}, {Count: 1 << 30}, {Count: 1, Index: 1}, {Count: 1, Index: -1}} {
		must.Eq(t, 0, len(snapshot.Partial{}.Add(malformed).Chunks))
	}
}

// If the newest snapshot expires before another one is written, records and
// snapshot are lost together. The first writer writes it in time, and each further
// writer one Stagger later in case the earlier ones do not.
func TestSnapshotIsDueByAgeOrRecordCountStaggeredByRank(t *testing.T) {
	p := snapshot.Policy{}.WithDefaults()
	catalog := snapshot.Catalog{Newest: snapshot.Snapshot{Offset: 100}, WrittenAt: now}
	due := func(w snapshot.WriterState) time.Time {
		w.Offset = 100
		at, isWriter := p.DueAt(catalog, w)
		must.True(t, isWriter)
		return at
	}
	must.Eq(t, now.Add(p.MaxAge), due(snapshot.WriterState{}))
	must.Eq(t, now.Add(p.MaxAge+2*p.Stagger), due(snapshot.WriterState{Rank: 2}))
	must.Eq(t, now.Add(time.Second+p.Stagger), due(snapshot.WriterState{Rank: 1, RecordsDueAt: now.Add(time.Second)}))
	_, isWriter := p.DueAt(catalog, snapshot.WriterState{Rank: 3, Offset: 100})
	must.False(t, isWriter)
	must.False(t, p.DueByRecords(catalog, 299))
	must.True(t, p.DueByRecords(catalog, 300))
}
