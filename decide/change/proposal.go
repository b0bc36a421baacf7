package change

import (
	"cmp"
	"slices"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Status is the status of a proposal. Every status but Open is final.
type Status string

// The statuses of a proposal.
const (
	Open     Status = "open"
	Vetoed   Status = "vetoed"
	Released Status = "released"
	Withheld Status = "withheld"
	Stale    Status = "stale" // closed by the release of another proposal
)

// Proposal is a proposed change and the decisions on it.
type Proposal struct {
	ID string `json:"id"`
	// Offset is the offset of the propose record in the log.
	Offset uint64       `json:"offset"`
	Digest string       `json:"digest"`
	Base   mesh.Version `json:"base"`
	// Edits are the proposed edits; empty in a closed proposal that had more
	// than maxRetainedEdits.
	Edits mesh.Edits `json:"edits"`
	// EditCount is the number of edits proposed, also after Edits was emptied.
	EditCount int       `json:"edit_count"`
	Author    Principal `json:"by"`
	AtMillis  int64     `json:"at_ms,omitempty"`
	Reason    string    `json:"reason,omitempty"`
	Status    Status    `json:"status"`
	// RequiredApprovers lists the customers that must all approve; each of them
	// can veto.
	RequiredApprovers []mesh.Customer `json:"needs"`
	// ApprovedBy lists the customers that have approved.
	ApprovedBy []mesh.Customer `json:"approved"`
	// Decisions lists the accepted decisions and the late vetoes, in log order.
	Decisions []Decision `json:"answers,omitempty"`
	// ClosedAt is the offset of the record that closed the proposal; zero while
	// it is open. For a released proposal it equals the version.
	ClosedAt uint64 `json:"closed_at,omitempty"`
}

// Decision is an approval, veto, release or withholding of a proposal.
type Decision struct {
	Offset   uint64    `json:"offset"`
	Kind     Kind      `json:"kind"`
	Author   Principal `json:"by"`
	AtMillis int64     `json:"at_ms,omitempty"`
	Reason   string    `json:"reason,omitempty"`
	// Late marks a veto that came after the release and had no effect.
	Late bool `json:"late,omitempty"`
}

// MissingApprovers returns the customers that must approve and have not.
func (p Proposal) MissingApprovers() []mesh.Customer {
	var missing []mesh.Customer
	for _, c := range p.RequiredApprovers {
		if !slices.Contains(p.ApprovedBy, c) {
			missing = append(missing, c)
		}
	}
	return missing
}

// LastOffset returns the offset of the last record that changed the proposal.
func (p Proposal) LastOffset() uint64 {
	last := max(p.Offset, p.ClosedAt)
	if n := len(p.Decisions); n > 0 {
		last = max(last, p.Decisions[n-1].Offset)
	}
	return last
}

// withDecision returns the proposal with one more decision.
func (p Proposal) withDecision(offset uint64, r Record, late bool) Proposal {
	decision := Decision{Offset: offset, Kind: r.Kind, Author: r.Author, AtMillis: r.AtMillis, Reason: r.Reason, Late: late}
	p.Decisions = append(slices.Clip(p.Decisions), decision)
	return p
}

// hasLateVeto reports whether a late veto of the customer is recorded.
func (p Proposal) hasLateVeto(c mesh.Customer) bool {
	return slices.ContainsFunc(p.Decisions, func(d Decision) bool { return d.Late && d.Author.Customer == c })
}

// closed returns the proposal with a final status.
func (p Proposal) closed(offset uint64, status Status) Proposal {
	p.Status = status
	p.ClosedAt = offset
	if p.EditCount > maxRetainedEdits {
		p.Edits = mesh.Edits{}
	}
	return p
}

// InLogOrder returns the proposals sorted by Offset.
func InLogOrder(proposals map[string]Proposal) []Proposal {
	sorted := make([]Proposal, 0, len(proposals))
	for _, p := range proposals {
		sorted = append(sorted, p)
	}
	slices.SortFunc(sorted, func(a, b Proposal) int { return cmp.Compare(a.Offset, b.Offset) })
	return sorted
}
