package change

import (
	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Refusal is the reason code of a record that was not accepted. The codes are
// part of stored snapshots and of the operators' API.
type Refusal string

// The refusal codes.
const (
	// AlreadyApplied: the record's offset was applied earlier, and its outcome
	// is no longer stored.
	AlreadyApplied Refusal = "already_applied"
	// Malformed: the record has a format fault.
	Malformed Refusal = "malformed"
	// IDReused: an earlier record with other content has the ID.
	IDReused Refusal = "id_reused"
	// WrongRole: the author's role does not allow this kind of record.
	WrongRole Refusal = "wrong_role"
	// EmptyChange: the proposal changes nothing.
	EmptyChange Refusal = "empty_change"
	// BadEdits: an entry is edited twice, or there are more than
	// MaxEditsPerProposal edits.
	BadEdits Refusal = "bad_edits"
	// StaleBase: the proposal's base is not the version in force.
	StaleBase Refusal = "stale_base"
	// BadConfiguration: the resulting configuration has faults.
	BadConfiguration Refusal = "bad_configuration"
	// TooManyOpen: MaxOpenProposals or MaxOpenEdits is reached.
	TooManyOpen Refusal = "too_many_open"
	// NoSuchProposal: no proposal has the ID, or it is no longer stored.
	NoSuchProposal Refusal = "no_such_proposal"
	// NotOpen: the proposal was vetoed or withheld, or another one was released
	// first.
	NotOpen Refusal = "not_open"
	// AlreadyReleased: the proposal was released, which cannot be undone.
	AlreadyReleased Refusal = "already_released"
	// WrongDigest: the record carries a digest other than the proposal's.
	WrongDigest Refusal = "wrong_digest"
	// NotConcerned: the change does not concern the customer.
	NotConcerned Refusal = "not_concerned"
	// ApprovalMissing: a customer concerned has not approved.
	ApprovalMissing Refusal = "approval_missing"
)

// Outcome is the result of applying one record.
type Outcome struct {
	// Accepted is false if the record was refused. Apart from a late veto,
	// which its proposal records, a refused record changes neither the
	// proposals nor the configuration.
	Accepted bool `json:"accepted"`
	// Refusal is the reason code if the record was refused.
	Refusal Refusal `json:"refusal,omitempty"`
	// Detail describes the refusal for a reader.
	Detail string `json:"detail,omitempty"`
	// Faults are the faults of a BadConfiguration. The outcome stored for a
	// repeated record has none; it has the start of their text in Detail.
	Faults route.Faults `json:"faults,omitempty"`
	// Version is the version in force after the record.
	Version mesh.Version `json:"version"`
}

// refusal is a Refusal with its details. The zero value means accepted.
type refusal struct {
	code   Refusal
	detail string
	faults route.Faults
}

func refuse(code Refusal, detail string) refusal { return refusal{code: code, detail: detail} }

func (r refusal) outcome(v mesh.Version) Outcome {
	return Outcome{Accepted: r.code == "", Refusal: r.code, Detail: r.detail, Faults: r.faults, Version: v}
}

// maxSeenDetailBytes bounds the detail stored for each record seen.
const maxSeenDetailBytes = 256

// SeenRecord holds the outcome of an applied record, which is returned if the
// record is repeated.
type SeenRecord struct {
	// Offset is the record's offset in the log.
	Offset uint64 `json:"offset"`
	// Fingerprint is the record's fingerprint; it detects a reused ID.
	Fingerprint string `json:"fingerprint"`
	// Outcome is the record's outcome without faults and with Detail truncated
	// to maxSeenDetailBytes.
	Outcome Outcome `json:"outcome"`
}

func newSeen(offset uint64, fingerprint string, o Outcome) SeenRecord {
	if len(o.Faults) > 0 {
		o.Detail = o.Faults.Error()
		o.Faults = nil
	}
	if len(o.Detail) > maxSeenDetailBytes {
		o.Detail = o.Detail[:maxSeenDetailBytes] + "..."
	}
	return SeenRecord{Offset: offset, Fingerprint: fingerprint, Outcome: o}
}

// OutcomeFor returns the stored outcome if r has the same fingerprint, otherwise a
// refusal with IDReused at version v, the version in force.
func (s SeenRecord) OutcomeFor(r Record, v mesh.Version) Outcome {
	if s.Fingerprint != Fingerprint(r) {
		return refuse(IDReused, "another record has had this ID").outcome(v)
	}
	return s.Outcome
}
