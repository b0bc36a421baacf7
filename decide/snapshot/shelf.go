package snapshot

import (
	"maps"
	"slices"
	"time"
)

// maxPartials bounds how many unfinished snapshots are kept: those of writers
// that died half-way.
const maxPartials = 4

// Shelf is the fold of the snapshots stream: the newest whole snapshot, and
// the newer ones that are not whole yet. It is a value.
type Shelf struct {
	// Best is the newest whole snapshot.
	Best Snapshot
	// WrittenAt is when the last chunk of Best was seen, by the own clock.
	WrittenAt time.Time
	// Partials has the unfinished ones by ID.
	Partials map[string]Partial
	// Corrupt counts snapshots whose digest was wrong.
	Corrupt int
}

// Add folds in a chunk. Chunks may come twice and from several writers mixed;
// those of a snapshot that is no newer than the best only renew its time.
func (s Shelf) Add(now time.Time, c Chunk) Shelf {
	if c.ID == s.Best.ID && s.Best.Offset > 0 {
		s.WrittenAt = now
		return s
	}
	if c.Offset <= s.Best.Offset {
		return s
	}
	partials := maps.Clone(s.Partials)
	if partials == nil {
		partials = make(map[string]Partial)
	}
	s.Partials = partials
	p := partials[c.ID].Add(c)
	partials[c.ID] = p
	whole, complete, corrupt := p.Whole()
	switch {
	case corrupt:
		delete(partials, c.ID)
		s.Corrupt++
	case complete:
		s.Best = whole
		s.WrittenAt = now
	}
	return s.prune()
}

// prune drops what is no newer than the best, and the oldest above the bound.
func (s Shelf) prune() Shelf {
	maps.DeleteFunc(s.Partials, func(_ string, p Partial) bool { return p.Offset <= s.Best.Offset })
	for len(s.Partials) > maxPartials {
		ids := slices.SortedFunc(maps.Keys(s.Partials), func(a, b string) int {
			return int(s.Partials[a].Offset) - int(s.Partials[b].Offset)
		})
		delete(s.Partials, ids[0])
	}
	return s
}

// Policy says when a snapshot is due. The zero value takes the defaults.
type Policy struct {
	// Every is the longest age of the newest snapshot in the log; it has to be
	// well under the platform's retention, by which snapshots expire too.
	// Default 10 minutes.
	Every time.Duration
	// Records is the number of records after the newest snapshot at which the
	// next one is due, well under what a platform that counts records keeps.
	// Default 200.
	Records uint64
	// Stagger is how much later each further writer takes a due snapshot to be
	// its own to write. Default 20 s.
	Stagger time.Duration
	// Writers is the number of nodes that may write. Default 3.
	Writers int
}

const (
	defaultEvery   = 10 * time.Minute
	defaultRecords = 200
	defaultStagger = 20 * time.Second
	defaultWriters = 3
)

// WithDefaults fills in what was left zero.
func (p Policy) WithDefaults() Policy {
	if p.Every <= 0 {
		p.Every = defaultEvery
	}
	if p.Records == 0 {
		p.Records = defaultRecords
	}
	if p.Stagger <= 0 {
		p.Stagger = defaultStagger
	}
	if p.Writers <= 0 {
		p.Writers = defaultWriters
	}
	return p
}

// Facts is what a writer knows.
type Facts struct {
	// Rank is its place among the writers; 0 is the first.
	Rank int
	// Offset is the last record it has folded.
	Offset uint64
	// CountedAt is when the record was folded that made the count due; zero
	// while it is not.
	CountedAt time.Time
	// Started is when the writer started.
	Started time.Time
}

// DueAt returns when this writer has to write, and whether it may ever have
// to. Each of the writers waits a stagger longer than the one before, so that
// as a rule one writes; two writing the same is harmless.
func (p Policy) DueAt(s Shelf, f Facts) (time.Time, bool) {
	if f.Offset == 0 || f.Rank < 0 || f.Rank >= p.Writers {
		return time.Time{}, false
	}
	last := s.WrittenAt
	if last.IsZero() {
		last = f.Started
	}
	due := last.Add(p.Every)
	if !f.CountedAt.IsZero() && f.CountedAt.Before(due) {
		due = f.CountedAt
	}
	return due.Add(time.Duration(f.Rank) * p.Stagger), true
}

// CountDue reports whether enough records follow the newest snapshot.
func (p Policy) CountDue(s Shelf, offset uint64) bool {
	return offset >= s.Best.Offset+p.Records
}
