// Package change folds the configuration stream of the platform's log into the
// state of proposals and the released configuration. The fold is
// deterministic: the same records give the same state on every node. The
// package reads no clock and does no I/O; the size of the state is bounded.
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

// Role determines which kinds of record a principal is allowed to write.
type Role string

// The roles.
const (
	// Operator proposes, releases and withholds.
	Operator Role = "operator"
	// CustomerRole approves and vetoes.
	CustomerRole Role = "customer"
)

// Principal is the author of a record, as authenticated by the node that
// accepted the request.
type Principal struct {
	Name string `json:"name"`
	Role Role   `json:"role"`
	// Customer is the customer that a principal with CustomerRole acts for.
	Customer mesh.Customer `json:"customer,omitempty"`
}

// Record is one entry of the configuration stream.
type Record struct {
	// ID makes appends idempotent: of several records with one ID only the
	// first is applied.
	ID     string    `json:"id"`
	Kind   Kind      `json:"kind"`
	Author Principal `json:"by"`
	// AtMillis is the time at which the node accepted the request, by that
	// node's clock, in milliseconds since 1970. No decision depends on it.
	AtMillis int64 `json:"at_ms,omitempty"`
	// Proposal is the ID of the proposal that the record refers to. A propose
	// record has its own ID here.
	Proposal string `json:"proposal"`
	// Digest is the digest of the proposal. It is required on approvals and
	// vetoes, and checked on releases and withholdings if present.
	Digest string `json:"digest,omitempty"`
	// Base is the version that a proposal's edits apply to.
	Base mesh.Version `json:"base,omitempty"`
	// Edits are the changes of a propose record; nil on other kinds.
	Edits *mesh.Edits `json:"edits,omitempty"`
	// Reason is a comment by the author, at most maxReasonBytes of UTF-8.
	Reason string `json:"reason,omitempty"`
}

// Bounds of a record.
const (
	maxIDBytes     = 64
	maxReasonBytes = 1024
	// MaxEditsPerProposal bounds the entries that one proposal puts or deletes.
	MaxEditsPerProposal = 8192
)

// ValidID reports whether the text is a valid record ID: 1 to 64 ASCII letters,
// digits, dots, hyphens or underscores.
func ValidID(id string) bool {
	return id != "" && len(id) <= maxIDBytes && route.HasOnlyNameChars(id)
}

// FormatFault describes the first format fault of a record. It returns "" for
// a well-formed record.
func (r Record) FormatFault() string {
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

// editsFault describes why edits are too many or ambiguous. It returns "" for
// valid edits.
func editsFault(e mesh.Edits) string {
	if n := e.Len(); n > MaxEditsPerProposal {
		return fmt.Sprintf("%d edits in one proposal, the most is %d", n, MaxEditsPerProposal)
	}
	if entry, repeated := e.FirstDuplicate(); repeated {
		return "two edits of " + entry
	}
	return ""
}
