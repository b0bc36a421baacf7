package change

import (
	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Refusal is why a record changed nothing.
type Refusal string

// The refusals.
const (
	// AlreadyApplied: the offset was folded in before, and the outcome is no
	// longer known.
	AlreadyApplied Refusal = "already_applied"
	// Malformed: the record's form is wrong.
	Malformed Refusal = "malformed"
	// IDReused: another record had the ID first.
	IDReused Refusal = "id_reused"
	// WrongRole: the author's role may not write such a record.
	WrongRole Refusal = "wrong_role"
	// EmptyChange: the proposal changes nothing.
	EmptyChange Refusal = "empty_change"
	// BadEdits: the edits are ambiguous or too many.
	BadEdits Refusal = "bad_edits"
	// StaleBase: the proposal was made from a version that is not in force.
	StaleBase Refusal = "stale_base"
	// BadConfiguration: the change would make a configuration with faults.
	BadConfiguration Refusal = "bad_configuration"
	// TooManyOpen: too many proposals are open, or their edits too large.
	TooManyOpen Refusal = "too_many_open"
	// NoSuchProposal: no proposal has the ID, or it is no longer kept.
	NoSuchProposal Refusal = "no_such_proposal"
	// NotOpen: the proposal was vetoed, withheld or overtaken.
	NotOpen Refusal = "not_open"
	// AlreadyReleased: the proposal is in force or was; it is not taken back.
	AlreadyReleased Refusal = "already_released"
	// WrongDigest: the record names another content than the proposal's.
	WrongDigest Refusal = "wrong_digest"
	// NotConcerned: the change does not concern the customer.
	NotConcerned Refusal = "not_concerned"
	// ApprovalMissing: a customer concerned has not approved.
	ApprovalMissing Refusal = "approval_missing"
)

// Outcome says what one record did to the state.
type Outcome struct {
	// Accepted is false when the record changed nothing.
	Accepted bool `json:"accepted"`
	// Refusal is the reason, when it was not accepted.
	Refusal Refusal `json:"refusal,omitempty"`
	// Detail is the reason in words.
	Detail string `json:"detail,omitempty"`
	// Faults are the faults of a BadConfiguration. A record that is asked for
	// again gets the first of them, in Detail.
	Faults route.Faults `json:"faults,omitempty"`
	// Version is the configuration in force after the record.
	Version mesh.Version `json:"version"`
}

// refusal is a Refusal with its words; the zero value accepts.
type refusal struct {
	code   Refusal
	detail string
	faults route.Faults
}

func refuse(code Refusal, detail string) refusal { return refusal{code: code, detail: detail} }

func (r refusal) outcome(v mesh.Version) Outcome {
	return Outcome{Accepted: r.code == "", Refusal: r.code, Detail: r.detail, Faults: r.faults, Version: v}
}

// maxSeenDetailBytes bounds the words kept of a refusal.
const maxSeenDetailBytes = 256

// Seen is what is kept of a record that was folded in.
type Seen struct {
	// Offset is the record's place in the log.
	Offset uint64 `json:"offset"`
	// Fingerprint is that of the record, to know a reused ID.
	Fingerprint string `json:"fingerprint"`
	// Outcome is what it did; its faults are left out and its words cut.
	Outcome Outcome `json:"outcome"`
}

func keep(offset uint64, fingerprint string, o Outcome) Seen {
	if len(o.Faults) > 0 {
		o.Detail = o.Faults.Error()
		o.Faults = nil
	}
	if len(o.Detail) > maxSeenDetailBytes {
		o.Detail = o.Detail[:maxSeenDetailBytes] + "..."
	}
	return Seen{Offset: offset, Fingerprint: fingerprint, Outcome: o}
}

// OutcomeFor returns the outcome kept, if r is the record seen, or that its ID
// is another's. v is the version in force.
func (s Seen) OutcomeFor(r Record, v mesh.Version) Outcome {
	if s.Fingerprint != Fingerprint(r) {
		return refuse(IDReused, "another record has had this ID").outcome(v)
	}
	return s.Outcome
}
