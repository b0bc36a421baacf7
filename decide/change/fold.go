package change

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// applyRecord applies a record whose ID is not among the IDs seen.
func (f *Fold) applyRecord(offset uint64, r Record) refusal {
	if fault := r.FormatFault(); fault != "" {
		return refuse(Malformed, fault)
	}
	if r.Kind == Propose {
		return f.propose(offset, r)
	}
	p, found := f.state.Proposals[r.Proposal]
	if !found {
		return refuse(NoSuchProposal, "no proposal "+r.Proposal)
	}
	switch r.Kind {
	case Approve:
		return f.approve(offset, r, p)
	case Veto:
		return f.veto(offset, r, p)
	case Release:
		return f.release(offset, r, p)
	case Withhold:
		return f.withhold(offset, r, p)
	default:
		return refuse(Malformed, "unknown kind of record")
	}
}

// Preview returns the outcome that a propose record would have as the next
// record of the log. It does not check the record's ID or the bounds on open
// proposals. If r.Base equals s.Version, a record that Preview refuses is
// refused in the log too.
func (s State) Preview(r Record) Outcome {
	f := NewFold(s)
	_, refused := f.checkProposal(r)
	return refused.outcome(s.Version)
}

func (f *Fold) propose(offset uint64, r Record) refusal {
	next, refused := f.checkProposal(r)
	if refused.code != "" {
		return refused
	}
	if _, exists := f.state.Proposals[r.ID]; exists {
		return refuse(IDReused, "another proposal has this ID")
	}
	editCount := r.Edits.Len()
	if f.openCount >= MaxOpenProposals || f.openEdits+editCount > MaxOpenEdits {
		return refuse(TooManyOpen, fmt.Sprintf("%d proposals are open; withhold some", f.openCount))
	}
	f.put(Proposal{
		ID:                r.ID,
		Offset:            offset,
		Digest:            Digest(r.Base, *r.Edits),
		Base:              r.Base,
		Edits:             *r.Edits,
		EditCount:         editCount,
		Author:            r.Author,
		AtMillis:          r.AtMillis,
		Reason:            r.Reason,
		Status:            Open,
		RequiredApprovers: ConcernedCustomers(f.state.Config, next),
		ApprovedBy:        []mesh.Customer{},
	})
	return refusal{}
}

// checkProposal checks a propose record against the state and returns the
// configuration that it would make.
func (f *Fold) checkProposal(r Record) (mesh.Config, refusal) {
	if r.Author.Role != Operator {
		return mesh.Config{}, refuse(WrongRole, "only an operator proposes")
	}
	if r.Edits == nil {
		return mesh.Config{}, refuse(EmptyChange, "the proposal changes nothing")
	}
	if fault := editsFault(*r.Edits); fault != "" {
		return mesh.Config{}, refuse(BadEdits, fault)
	}
	return f.editedConfig(r.Base, *r.Edits)
}

// editedConfig returns the configuration that the edits make. It refuses edits
// whose base is not in force, that change nothing, or that make a configuration
// with faults.
func (f *Fold) editedConfig(base mesh.Version, edits mesh.Edits) (mesh.Config, refusal) {
	if base != f.state.Version {
		return mesh.Config{}, refuse(StaleBase,
			fmt.Sprintf("made from version %d, but version %d is in force", base, f.state.Version))
	}
	next := f.state.Config.Apply(edits)
	if faults := route.Check(next); len(faults) > 0 {
		return next, refusal{code: BadConfiguration, detail: "the whole configuration would have faults", faults: faults}
	}
	if mesh.Diff(f.state.Config, next).Empty() {
		return next, refuse(EmptyChange, "the proposal changes nothing")
	}
	return next, refusal{}
}

func (f *Fold) approve(offset uint64, r Record, p Proposal) refusal {
	if refused := checkCustomer(r, p); refused.code != "" {
		return refused
	}
	if p.Status != Open {
		return refuseClosed(p)
	}
	if slices.Contains(p.ApprovedBy, r.Author.Customer) {
		return refusal{}
	}
	p = p.withDecision(offset, r, false)
	p.ApprovedBy = append(slices.Clip(p.ApprovedBy), r.Author.Customer)
	f.put(p)
	return refusal{}
}

// veto closes an open proposal. A veto after the release is recorded in the
// proposal as late and refused: the release stays in force until a new change
// replaces it.
func (f *Fold) veto(offset uint64, r Record, p Proposal) refusal {
	if refused := checkCustomer(r, p); refused.code != "" {
		return refused
	}
	if p.Status == Open {
		f.close(offset, p.withDecision(offset, r, false), Vetoed)
		return refusal{}
	}
	if p.Status == Released && !p.hasLateVeto(r.Author.Customer) {
		f.put(p.withDecision(offset, r, true))
	}
	return refuseClosed(p)
}

// checkCustomer checks that the author is a customer whom the proposal concerns
// and that the record carries the proposal's digest.
func checkCustomer(r Record, p Proposal) refusal {
	switch {
	case r.Author.Role != CustomerRole:
		return refuse(WrongRole, "only a customer approves or vetoes")
	case !slices.Contains(p.RequiredApprovers, r.Author.Customer):
		return refuse(NotConcerned, fmt.Sprintf("the change does not concern customer %q", r.Author.Customer))
	case r.Digest != p.Digest:
		return refuse(WrongDigest, "the proposal's digest is "+p.Digest)
	}
	return refusal{}
}

func refuseClosed(p Proposal) refusal {
	switch p.Status {
	case Released:
		return refuse(AlreadyReleased, fmt.Sprintf("released as version %d; a new change can follow it", p.ClosedAt))
	case Stale:
		return refuse(NotOpen, fmt.Sprintf("version %d was released first; make the change anew from it", p.ClosedAt))
	default:
		return refuse(NotOpen, "the proposal is "+string(p.Status))
	}
}

// checkOperator checks that the author is an operator, that the proposal is
// open, and that the digest, if the record carries one, is the proposal's.
func checkOperator(r Record, p Proposal) refusal {
	switch {
	case r.Author.Role != Operator:
		return refuse(WrongRole, "only an operator releases or withholds")
	case p.Status != Open:
		return refuseClosed(p)
	case r.Digest != "" && r.Digest != p.Digest:
		return refuse(WrongDigest, "the proposal's digest is "+p.Digest)
	}
	return refusal{}
}

// release puts a proposal in force. It repeats the checks of base, faults and
// differences made when the proposal was added, and checks that every customer
// concerned has approved.
func (f *Fold) release(offset uint64, r Record, p Proposal) refusal {
	if refused := checkOperator(r, p); refused.code != "" {
		return refused
	}
	next, refused := f.editedConfig(p.Base, p.Edits)
	if refused.code != "" {
		return refused
	}
	p.RequiredApprovers = ConcernedCustomers(f.state.Config, next)
	if missing := p.MissingApprovers(); len(missing) > 0 {
		return refuse(ApprovalMissing, "not approved by "+joinCustomers(missing))
	}
	f.state.Config = next
	f.state.Version = mesh.Version(offset)
	f.close(offset, p.withDecision(offset, r, false), Released)
	f.closeStale(offset)
	return refusal{}
}

// closeStale closes every open proposal after a release: their base is the
// version that the release replaced.
func (f *Fold) closeStale(offset uint64) {
	for _, p := range InLogOrder(f.state.Proposals) {
		if p.Status == Open {
			f.close(offset, p, Stale)
		}
	}
}

func (f *Fold) withhold(offset uint64, r Record, p Proposal) refusal {
	if refused := checkOperator(r, p); refused.code != "" {
		return refused
	}
	f.close(offset, p.withDecision(offset, r, false), Withheld)
	return refusal{}
}

// put adds a proposal, which is open, or replaces the stored one without a
// change of status.
func (f *Fold) put(p Proposal) {
	if _, exists := f.state.Proposals[p.ID]; !exists {
		f.openCount++
		f.openEdits += p.EditCount
	}
	f.state.Proposals[p.ID] = p
}

// close closes an open proposal. If more than MaxClosedProposals
// closed proposals are kept, it deletes the one that was closed first.
func (f *Fold) close(offset uint64, p Proposal, status Status) {
	f.openCount--
	f.openEdits -= p.EditCount
	p = p.closed(offset, status)
	f.state.Proposals[p.ID] = p
	if len(f.state.Proposals)-f.openCount <= MaxClosedProposals {
		return
	}
	first := p
	for _, other := range f.state.Proposals {
		if other.Status != Open && closedBefore(other, first) {
			first = other
		}
	}
	delete(f.state.Proposals, first.ID)
}

func closedBefore(a, b Proposal) bool {
	return cmp.Or(cmp.Compare(a.ClosedAt, b.ClosedAt), cmp.Compare(a.Offset, b.Offset)) < 0
}

func joinCustomers(customers []mesh.Customer) string {
	names := make([]string, len(customers))
	for i, c := range customers {
		names[i] = string(c)
	}
	return strings.Join(names, ", ")
}
