package snapshot

import (
	"maps"
	"slices"
	"time"
)

// maxPartials bounds the incomplete snapshots that are kept. A writer that stops
// before its last chunk leaves one behind.
const maxPartials = 4

// Catalog is the result of folding the snapshots stream: the newest complete
// snapshot and the newer incomplete ones. It is immutable: Add returns a new
// Catalog.
type Catalog struct {
	// Newest is the newest complete snapshot; its Offset is zero if there is none.
	Newest Snapshot
	// WrittenAt is the time of the latest chunk of Newest, as passed to Add.
	WrittenAt time.Time
	// Partials has the incomplete snapshots by ID.
	Partials map[string]Partial
	// CorruptCount counts the complete snapshots whose digest was wrong.
	CorruptCount int
}

// Add adds a chunk, written at now. Chunks can repeat, and those of several
// writers can interleave. A chunk of Newest renews WrittenAt; a chunk of another
// snapshot that is not newer than Newest is ignored.
func (c Catalog) Add(now time.Time, chunk Chunk) Catalog {
	if chunk.ID == c.Newest.ID && c.Newest.Offset > 0 {
		c.WrittenAt = now
		return c
	}
	if chunk.Offset <= c.Newest.Offset {
		return c
	}
	partials := maps.Clone(c.Partials)
	if partials == nil {
		partials = make(map[string]Partial)
	}
	c.Partials = partials
	p := partials[chunk.ID].Add(chunk)
	partials[chunk.ID] = p
	assembled, complete, corrupt := p.Assemble()
	switch {
	case corrupt:
		delete(partials, chunk.ID)
		c.CorruptCount++
	case complete:
		c.Newest = assembled
		c.WrittenAt = now
	}
	return c.prune()
}

// prune deletes the incomplete snapshots that are not newer than Newest, and the
// oldest ones above maxPartials.
func (c Catalog) prune() Catalog {
	maps.DeleteFunc(c.Partials, func(_ string, p Partial) bool { return p.Offset <= c.Newest.Offset })
	for len(c.Partials) > maxPartials {
		ids := slices.SortedFunc(maps.Keys(c.Partials), func(a, b string) int {
			return int(c.Partials[a].Offset) - int(c.Partials[b].Offset)
		})
		delete(c.Partials, ids[0])
	}
	return c
}

// Policy determines when a snapshot is due. A zero field has its default.
type Policy struct {
	// MaxAge is the age of the newest snapshot in the log at which the next one is
	// due. It must be well below the platform's retention time, because snapshots
	// expire as well. Default 10 minutes.
	MaxAge time.Duration
	// RecordInterval is the number of records after the newest snapshot at which
	// the next one is due. It must be well below the number of records that the
	// platform keeps, if it counts them. Default 200.
	RecordInterval uint64
	// Stagger is the additional delay of each further writer, by rank. Default
	// 20 s.
	Stagger time.Duration
	// Writers is the number of nodes that write snapshots. Default 3.
	Writers int
}

const (
	defaultMaxAge         = 10 * time.Minute
	defaultRecordInterval = 200
	defaultStagger        = 20 * time.Second
	defaultWriters        = 3
)

// WithDefaults returns the policy with zero fields replaced by their defaults.
func (p Policy) WithDefaults() Policy {
	if p.MaxAge <= 0 {
		p.MaxAge = defaultMaxAge
	}
	if p.RecordInterval == 0 {
		p.RecordInterval = defaultRecordInterval
	}
	if p.Stagger <= 0 {
		p.Stagger = defaultStagger
	}
	if p.Writers <= 0 {
		p.Writers = defaultWriters
	}
	return p
}

// WriterState is the state of a node from which Policy.DueAt decides.
type WriterState struct {
	// Rank is the node's rank for writing snapshots, from 0; negative if it is not
	// known yet.
	Rank int
	// Offset is the offset of the last record applied; zero if there is none.
	Offset uint64
	// RecordsDueAt is when enough records had followed the newest snapshot; zero
	// while they have not.
	RecordsDueAt time.Time
	// StartedAt is when the node started.
	StartedAt time.Time
}

// DueAt returns when this node has to write a snapshot. It reports false if the
// node is not a writer or has applied no record. Each further writer waits one
// Stagger longer, so that usually only one writes; two writers of the same
// snapshot do no harm.
func (p Policy) DueAt(c Catalog, w WriterState) (time.Time, bool) {
	if w.Offset == 0 || w.Rank < 0 || w.Rank >= p.Writers {
		return time.Time{}, false
	}
	last := c.WrittenAt
	if last.IsZero() {
		last = w.StartedAt
	}
	due := last.Add(p.MaxAge)
	if !w.RecordsDueAt.IsZero() && w.RecordsDueAt.Before(due) {
		due = w.RecordsDueAt
	}
	return due.Add(time.Duration(w.Rank) * p.Stagger), true
}

// DueByRecords reports whether enough records follow the newest snapshot for the
// next one to be due. offset is that of the last record applied.
func (p Policy) DueByRecords(c Catalog, offset uint64) bool {
	return offset >= c.Newest.Offset+p.RecordInterval
}
