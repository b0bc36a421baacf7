// Package change folds the configuration stream of the platform's log into the
// state of proposals and the released configuration. The fold is
// deterministic: the same records give the same state on every node.
package change

import (
	"fmt"
	"unicode/utf8"

	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Kind is the kind of a record of the configuration stream.
type Kind string

// The kinds of record.
const (
	Propose  Kind = "propose"
	Approve  Kind = "approve"
	Veto     Kind = "veto"
	Release  Kind = "release"
	Withhold Kind = "withhold"
)

// Role is what a principal may do.
type Role string

// The roles.
const (
	Operator     Role = "operator"
	CustomerRole Role = "customer"
)

// Principal is who wrote a record, as authenticated by the node that took it.
type Principal struct {
	Name     string        `json:"name"`
	Role     Role          `json:"role"`
	Customer mesh.Customer `json:"customer,omitempty"`
}

// Record is one entry of the configuration stream.
type Record struct {
	// ID makes appends idempotent: of several records with one ID only the
	// first counts.
	ID   string    `json:"id"`
	Kind Kind      `json:"kind"`
	By   Principal `json:"by"`
	// AtMillis is when the node took the record, by that node's clock, in
	// milliseconds since 1970. Nothing is decided by it.
	AtMillis int64 `json:"at_ms,omitempty"`
	// Proposal is the ID of the proposal that the record is about; a propose
	// record is its own.
	Proposal string `json:"proposal"`
	// Digest is the digest of the proposal: required on approvals and vetoes,
	// checked on releases and withholdings that carry one.
	Digest string `json:"digest,omitempty"`
	// Base is the version that a proposal was made from.
	Base mesh.Version `json:"base,omitempty"`
	// Edits is what a proposal changes.
	Edits *mesh.Edits `json:"edits,omitempty"`
	// Reason is the author's text.
	Reason string `json:"reason,omitempty"`
}

// Bounds of a record.
const (
	maxIDBytes     = 64
	maxReasonBytes = 1024
	// MaxEdits bounds the entries that one proposal puts or deletes.
	MaxEdits = 8192
)

// ValidID reports whether the text can be the ID of a record: 1 to 64 ASCII
// letters, digits, dots, hyphens or underscores.
func ValidID(id string) bool {
	return id != "" && len(id) <= maxIDBytes && route.PlainName(id)
}

// Malformation returns what is wrong with the form of a record, or "".
func (r Record) Malformation() string {
	switch {
	case !ValidID(r.ID) || !ValidID(r.Proposal):
		return "an ID must be 1 to 64 letters, digits, dots, hyphens or underscores"
	case len(r.Reason) > maxReasonBytes || !utf8.ValidString(r.Reason):
		return fmt.Sprintf("a reason must be at most %d bytes of UTF-8", maxReasonBytes)
	case r.Kind == Propose && r.Proposal != r.ID:
		return "a propose record must name itself as the proposal"
	case r.Kind != Propose && r.Edits != nil:
		return "only a propose record has edits"
	}
	return ""
}

// badEdits returns what makes edits ambiguous or too large, or "".
func badEdits(e mesh.Edits) string {
	if n := e.Len(); n > MaxEdits {
		return fmt.Sprintf("%d edits in one proposal, the most is %d", n, MaxEdits)
	}
	if key, repeated := e.Repeated(); repeated {
		return "two edits of " + key
	}
	return ""
}
