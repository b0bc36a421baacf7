package change

import (
	"maps"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Bounds of the state. They are counted in records and edits, never in time, so
// that every node drops the same things at the same record.
const (
	// MaxOpen bounds the open proposals.
	MaxOpen = 256
	// MaxOpenEdits bounds the edits of all open proposals together.
	MaxOpenEdits = 2 * MaxEdits
	// MaxClosed is the number of closed proposals kept, the last ones closed.
	MaxClosed = 256
	// maxClosedEdits is the number of edits up to which a closed proposal
	// keeps them.
	maxClosedEdits = 32
	// SeenSpan is the least number of offsets for which a record's ID is
	// remembered; at most twice as many.
	SeenSpan = 2048
)

// State is the fold of the records up to an offset. It is a value: Apply
// returns a new one and leaves the old as it is. All of it belongs into a
// snapshot, the IDs seen too.
type State struct {
	// Offset is the offset of the last record folded in; zero for none.
	Offset uint64 `json:"offset"`
	// Version is the release in force; zero for none.
	Version mesh.Version `json:"version"`
	// Config is the configuration of that release.
	Config mesh.Config `json:"config"`
	// Proposals has the open and the last closed proposals by ID.
	Proposals map[string]Proposal `json:"proposals"`
	// Seen has the records folded in, by ID, since the last multiple of
	// SeenSpan; SeenBefore those of the span before.
	Seen       map[string]Seen `json:"seen"`
	SeenBefore map[string]Seen `json:"seen_before"`
}

// Recall returns what is kept of the record with the ID.
func (s State) Recall(id string) (Seen, bool) {
	if seen, found := s.Seen[id]; found {
		return seen, true
	}
	seen, found := s.SeenBefore[id]
	return seen, found
}

// Apply folds in the record at offset. A record at or below s.Offset changes
// nothing: records may arrive twice.
func (s State) Apply(offset uint64, r Record) (State, Outcome) {
	f := NewFold(s)
	outcome := f.Apply(offset, r)
	return f.State(), outcome
}

// Skip moves the offset past a record that no build can read.
func (s State) Skip(offset uint64) State {
	f := NewFold(s)
	f.Skip(offset)
	return f.State()
}

// Fold folds a batch of records into a state: it copies the state's maps once,
// not for each record. It is not safe for concurrent use.
type Fold struct {
	s          State
	ownsMaps   bool
	openEdits  int
	openNumber int
}

// NewFold begins a fold at a state, which it leaves as it is.
func NewFold(s State) *Fold { return &Fold{s: s} }

// State returns the state so far. The fold must not be used after it.
func (f *Fold) State() State { return f.s }

// Skip moves the offset past a record that no build can read.
func (f *Fold) Skip(offset uint64) {
	if offset > f.s.Offset {
		f.own()
		f.advance(offset)
	}
}

// Apply folds in the record at offset.
func (f *Fold) Apply(offset uint64, r Record) Outcome {
	if offset <= f.s.Offset {
		return f.repeated(r)
	}
	f.own()
	f.advance(offset)
	if !ValidID(r.ID) {
		return refuse(Malformed, r.Malformation()).outcome(f.s.Version)
	}
	if earlier, found := f.s.Recall(r.ID); found {
		return earlier.OutcomeFor(r, f.s.Version)
	}
	outcome := f.fold(offset, r).outcome(f.s.Version)
	f.s.Seen[r.ID] = keep(offset, Fingerprint(r), outcome)
	return outcome
}

// repeated answers for a record whose offset was folded in before.
func (f *Fold) repeated(r Record) Outcome {
	if earlier, found := f.s.Recall(r.ID); found {
		return earlier.OutcomeFor(r, f.s.Version)
	}
	return refuse(AlreadyApplied, "folded in before").outcome(f.s.Version)
}

// own copies the maps that the fold writes, before its first write.
func (f *Fold) own() {
	if f.ownsMaps {
		return
	}
	f.ownsMaps = true
	f.s.Proposals = copied(f.s.Proposals)
	f.s.Seen = copied(f.s.Seen)
	for _, p := range f.s.Proposals {
		if p.Status == Open {
			f.openNumber++
			f.openEdits += p.EditCount
		}
	}
}

// advance moves the offset, and at each multiple of SeenSpan drops the older
// half of the IDs seen.
func (f *Fold) advance(offset uint64) {
	spans := offset/SeenSpan - f.s.Offset/SeenSpan
	f.s.Offset = offset
	if spans == 0 {
		return
	}
	f.s.SeenBefore = f.s.Seen
	if spans > 1 {
		f.s.SeenBefore = make(map[string]Seen)
	}
	f.s.Seen = make(map[string]Seen)
}

func copied[V any](rows map[string]V) map[string]V {
	next := make(map[string]V, len(rows)+1)
	maps.Copy(next, rows)
	return next
}
