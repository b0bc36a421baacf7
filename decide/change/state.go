package change

import (
	"maps"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Bounds of the state. They are counted in records and edits, never in time, so
// that every node drops the same entries at the same record.
const (
	// MaxOpenProposals bounds the open proposals.
	MaxOpenProposals = 256
	// MaxOpenEdits bounds the edits of all open proposals together.
	MaxOpenEdits = 2 * MaxEditsPerProposal
	// MaxClosedProposals bounds the closed proposals that are kept; the one
	// closed first is dropped first.
	MaxClosedProposals = 256
	// maxRetainedEdits is the largest EditCount with which a closed proposal
	// keeps its edits.
	maxRetainedEdits = 32
	// SeenWindowOffsets is the number of offsets in one window of IDs seen. The
	// current and the previous window are kept, so the ID of a record is kept
	// for at least SeenWindowOffsets and at most 2*SeenWindowOffsets offsets.
	SeenWindowOffsets = 2048
)

// State is the result of folding the records up to an offset. It is immutable:
// Apply returns a new State. A snapshot contains all of it, including the IDs
// seen.
type State struct {
	// Offset is the offset of the last record applied; zero if there is none.
	Offset uint64 `json:"offset"`
	// Version is the version in force; zero if nothing was released.
	Version mesh.Version `json:"version"`
	// Config is the configuration of Version.
	Config mesh.Config `json:"config"`
	// Proposals has the open proposals and the last MaxClosedProposals closed
	// ones, by ID.
	Proposals map[string]Proposal `json:"proposals"`
	// Seen has the records applied since the last multiple of
	// SeenWindowOffsets, by ID. PreviousSeen has those of the window before it.
	Seen         map[string]SeenRecord `json:"seen"`
	PreviousSeen map[string]SeenRecord `json:"seen_before"`
}

// FindSeen returns the stored outcome of the record with an ID. It reports false
// if the ID is in neither window.
func (s State) FindSeen(id string) (SeenRecord, bool) {
	if seen, found := s.Seen[id]; found {
		return seen, true
	}
	seen, found := s.PreviousSeen[id]
	return seen, found
}

// Apply applies the record at offset. A record at or below s.Offset changes
// nothing, because a record can be delivered twice.
func (s State) Apply(offset uint64, r Record) (State, Outcome) {
	f := NewFold(s)
	outcome := f.Apply(offset, r)
	return f.State(), outcome
}

// Skip moves the offset past a record that no build can decode.
func (s State) Skip(offset uint64) State {
	f := NewFold(s)
	f.Skip(offset)
	return f.State()
}

// Fold applies a batch of records to a state. It copies the state's maps once
// per batch, not once per record. It is not safe for concurrent use.
type Fold struct {
	state State
	// mapsCopied is true once the maps of state are private to the fold.
	// openEdits and openCount are set from then on.
	mapsCopied bool
	openEdits  int
	openCount  int
}

// NewFold returns a fold that starts from s. It does not modify s.
func NewFold(s State) *Fold { return &Fold{state: s} }

// State returns the current state. The fold must not be used afterwards,
// because both share the same maps.
func (f *Fold) State() State { return f.state }

// Skip moves the offset past a record that no build can decode.
func (f *Fold) Skip(offset uint64) {
	if offset > f.state.Offset {
		f.copyMaps()
		f.advance(offset)
	}
}

// Apply applies the record at offset. At or below the state's offset it changes
// nothing and returns the stored outcome, if there is one.
func (f *Fold) Apply(offset uint64, r Record) Outcome {
	if offset <= f.state.Offset {
		return f.repeatedOutcome(r)
	}
	f.copyMaps()
	f.advance(offset)
	if !ValidID(r.ID) {
		return refuse(Malformed, r.FormatFault()).outcome(f.state.Version)
	}
	if earlier, found := f.state.FindSeen(r.ID); found {
		return earlier.OutcomeFor(r, f.state.Version)
	}
	outcome := f.applyRecord(offset, r).outcome(f.state.Version)
	f.state.Seen[r.ID] = newSeen(offset, Fingerprint(r), outcome)
	return outcome
}

// repeatedOutcome returns the outcome of a record whose offset was applied
// earlier.
func (f *Fold) repeatedOutcome(r Record) Outcome {
	if earlier, found := f.state.FindSeen(r.ID); found {
		return earlier.OutcomeFor(r, f.state.Version)
	}
	return refuse(AlreadyApplied, "the record at this offset was applied before").outcome(f.state.Version)
}

// copyMaps copies the maps that the fold modifies and counts the open
// proposals. It runs before the first modification.
func (f *Fold) copyMaps() {
	if f.mapsCopied {
		return
	}
	f.mapsCopied = true
	f.state.Proposals = copyMap(f.state.Proposals)
	f.state.Seen = copyMap(f.state.Seen)
	for _, p := range f.state.Proposals {
		if p.Status == Open {
			f.openCount++
			f.openEdits += p.EditCount
		}
	}
}

// advance moves the offset. At each multiple of SeenWindowOffsets it starts a
// new window of IDs seen and drops the window before the last.
func (f *Fold) advance(offset uint64) {
	windows := offset/SeenWindowOffsets - f.state.Offset/SeenWindowOffsets
	f.state.Offset = offset
	if windows == 0 {
		return
	}
	f.state.PreviousSeen = f.state.Seen
	if windows > 1 {
		f.state.PreviousSeen = make(map[string]SeenRecord)
	}
	f.state.Seen = make(map[string]SeenRecord)
}

func copyMap[V any](source map[string]V) map[string]V {
	target := make(map[string]V, len(source)+1)
	maps.Copy(target, source)
	return target
}
