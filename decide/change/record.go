// Package change folds the configuration stream of the platform's log into the
// state of proposals and the released configuration. The fold is
// deterministic: the same records give the same state on every node.
package change

import "github.com/marigoldshelf/marigoldshelf/mesh"

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
	// Proposal is the ID of the proposal that the record is about; a propose
	// record is its own.
	Proposal string `json:"proposal"`
	// Digest is the digest of the proposal, on approvals and vetoes.
	Digest string `json:"digest,omitempty"`
	// Base is the version that a proposal was made from.
	Base mesh.Version `json:"base,omitempty"`
	// Edits is what a proposal changes.
	Edits *mesh.Edits `json:"edits,omitempty"`
	// Reason is the author's text, for vetoes and withholdings.
	Reason string `json:"reason,omitempty"`
}
