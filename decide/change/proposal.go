package change

import (
	"cmp"
	"slices"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Status is where a proposal stands.
type Status string

// The statuses of a proposal.
const (
	Open     Status = "open"
	Vetoed   Status = "vetoed"
	Released Status = "released"
	Withheld Status = "withheld"
	Stale    Status = "stale" // another release came first
)

// Proposal is a proposed change and the answers to it.
type Proposal struct {
	ID string `json:"id"`
	// Offset is the place of the propose record in the log.
	Offset uint64       `json:"offset"`
	Digest string       `json:"digest"`
	Base   mesh.Version `json:"base"`
	// Edits is what it changes. A closed proposal keeps them only if they are
	// few.
	Edits mesh.Edits `json:"edits"`
	// EditCount is the number of edits, kept or not.
	EditCount int       `json:"edit_count"`
	By        Principal `json:"by"`
	AtMillis  int64     `json:"at_ms,omitempty"`
	Reason    string    `json:"reason,omitempty"`
	Status    Status    `json:"status"`
	// Needs has the customers that must approve, and of whom each can veto.
	Needs []mesh.Customer `json:"needs"`
	// Approved has those that did.
	Approved []mesh.Customer `json:"approved"`
	// Answers has what was said to it, in log order.
	Answers []Answer `json:"answers,omitempty"`
	// ClosedAt is the offset of the record that closed it; zero while open. For
	// a released proposal it is the version.
	ClosedAt uint64 `json:"closed_at,omitempty"`
}

// Answer is an approval, veto, release or withholding of a proposal.
type Answer struct {
	Offset   uint64    `json:"offset"`
	Kind     Kind      `json:"kind"`
	By       Principal `json:"by"`
	AtMillis int64     `json:"at_ms,omitempty"`
	Reason   string    `json:"reason,omitempty"`
	// Late marks a veto that came after the release and changed nothing.
	Late bool `json:"late,omitempty"`
}

// Missing returns the customers concerned that have not approved.
func (p Proposal) Missing() []mesh.Customer {
	var missing []mesh.Customer
	for _, c := range p.Needs {
		if !slices.Contains(p.Approved, c) {
			missing = append(missing, c)
		}
	}
	return missing
}

// LastOffset returns the offset of the last record that changed the proposal.
func (p Proposal) LastOffset() uint64 {
	last := max(p.Offset, p.ClosedAt)
	if n := len(p.Answers); n > 0 {
		last = max(last, p.Answers[n-1].Offset)
	}
	return last
}

// answered returns the proposal with one more answer.
func (p Proposal) answered(offset uint64, r Record, late bool) Proposal {
	answer := Answer{Offset: offset, Kind: r.Kind, By: r.By, AtMillis: r.AtMillis, Reason: r.Reason, Late: late}
	p.Answers = append(slices.Clip(p.Answers), answer)
	return p
}

// hasLateVeto reports whether the customer vetoed after the release already.
func (p Proposal) hasLateVeto(c mesh.Customer) bool {
	return slices.ContainsFunc(p.Answers, func(a Answer) bool { return a.Late && a.By.Customer == c })
}

// closed returns the proposal with its final status.
func (p Proposal) closed(offset uint64, status Status) Proposal {
	p.Status = status
	p.ClosedAt = offset
	if p.EditCount > maxClosedEdits {
		p.Edits = mesh.Edits{}
	}
	return p
}

// InLogOrder returns proposals in the order in which they were made.
func InLogOrder(proposals map[string]Proposal) []Proposal {
	list := make([]Proposal, 0, len(proposals))
	for _, p := range proposals {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b Proposal) int { return cmp.Compare(a.Offset, b.Offset) })
	return list
}
