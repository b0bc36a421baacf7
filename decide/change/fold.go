package change

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

func (f *Fold) fold(offset uint64, r Record) refusal {
	if fault := r.Malformation(); fault != "" {
		return refuse(Malformed, fault)
	}
	if r.Kind == Propose {
		return f.propose(offset, r)
	}
	p, found := f.s.Proposals[r.Proposal]
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

// Preview returns how the state would answer a proposal that came next in the
// log. With the base that s is at, faults found now are found in the log too.
func (s State) Preview(r Record) Outcome {
	f := NewFold(s)
	_, refused := f.proposed(r)
	return refused.outcome(s.Version)
}

func (f *Fold) propose(offset uint64, r Record) refusal {
	next, refused := f.proposed(r)
	if refused.code != "" {
		return refused
	}
	if _, taken := f.s.Proposals[r.ID]; taken {
		return refuse(IDReused, "another proposal has this ID")
	}
	edits := r.Edits.Len()
	if f.openNumber >= MaxOpen || f.openEdits+edits > MaxOpenEdits {
		return refuse(TooManyOpen, fmt.Sprintf("%d proposals are open; withhold some", f.openNumber))
	}
	f.put(Proposal{
		ID:        r.ID,
		Offset:    offset,
		Digest:    Digest(r.Base, *r.Edits),
		Base:      r.Base,
		Edits:     *r.Edits,
		EditCount: edits,
		By:        r.By,
		AtMillis:  r.AtMillis,
		Reason:    r.Reason,
		Status:    Open,
		Needs:     Concerned(f.s.Config, next),
		Approved:  []mesh.Customer{},
	})
	return refusal{}
}

// proposed returns the configuration that a proposal would make.
func (f *Fold) proposed(r Record) (mesh.Config, refusal) {
	if r.By.Role != Operator {
		return mesh.Config{}, refuse(WrongRole, "only an operator proposes")
	}
	if r.Edits == nil {
		return mesh.Config{}, refuse(EmptyChange, "the proposal changes nothing")
	}
	if fault := badEdits(*r.Edits); fault != "" {
		return mesh.Config{}, refuse(BadEdits, fault)
	}
	return f.result(r.Base, *r.Edits)
}

// result returns the configuration that edits of a base make, if the base is in
// force, something changes, and the whole is without fault.
func (f *Fold) result(base mesh.Version, e mesh.Edits) (mesh.Config, refusal) {
	if base != f.s.Version {
		return mesh.Config{}, refuse(StaleBase,
			fmt.Sprintf("made from version %d, but version %d is in force", base, f.s.Version))
	}
	next := f.s.Config.Apply(e)
	if faults := route.Check(next); len(faults) > 0 {
		return next, refusal{code: BadConfiguration, detail: "the whole configuration would have faults", faults: faults}
	}
	if mesh.Diff(f.s.Config, next).Empty() {
		return next, refuse(EmptyChange, "the proposal changes nothing")
	}
	return next, refusal{}
}

func (f *Fold) approve(offset uint64, r Record, p Proposal) refusal {
	if refused := answerable(r, p); refused.code != "" {
		return refused
	}
	if p.Status != Open {
		return notOpen(p)
	}
	if slices.Contains(p.Approved, r.By.Customer) {
		return refusal{}
	}
	p = p.answered(offset, r, false)
	p.Approved = append(slices.Clip(p.Approved), r.By.Customer)
	f.put(p)
	return refusal{}
}

// veto closes an open proposal. One that came after the release is noted, and
// changes nothing: only a new change can.
func (f *Fold) veto(offset uint64, r Record, p Proposal) refusal {
	if refused := answerable(r, p); refused.code != "" {
		return refused
	}
	if p.Status == Open {
		f.close(offset, p.answered(offset, r, false), Vetoed)
		return refusal{}
	}
	if p.Status == Released && !p.hasLateVeto(r.By.Customer) {
		f.put(p.answered(offset, r, true))
	}
	return notOpen(p)
}

// answerable checks that a customer concerned names the proposal exactly.
func answerable(r Record, p Proposal) refusal {
	switch {
	case r.By.Role != CustomerRole:
		return refuse(WrongRole, "only a customer approves or vetoes")
	case !slices.Contains(p.Needs, r.By.Customer):
		return refuse(NotConcerned, fmt.Sprintf("the change does not concern customer %q", r.By.Customer))
	case r.Digest != p.Digest:
		return refuse(WrongDigest, "the proposal's digest is "+p.Digest)
	}
	return refusal{}
}

func notOpen(p Proposal) refusal {
	switch p.Status {
	case Released:
		return refuse(AlreadyReleased, fmt.Sprintf("released as version %d; a new change can follow it", p.ClosedAt))
	case Stale:
		return refuse(NotOpen, fmt.Sprintf("version %d was released first; make the change anew from it", p.ClosedAt))
	default:
		return refuse(NotOpen, "the proposal is "+string(p.Status))
	}
}

// operable checks that an operator names an open proposal.
func operable(r Record, p Proposal) refusal {
	switch {
	case r.By.Role != Operator:
		return refuse(WrongRole, "only an operator releases or withholds")
	case p.Status != Open:
		return notOpen(p)
	case r.Digest != "" && r.Digest != p.Digest:
		return refuse(WrongDigest, "the proposal's digest is "+p.Digest)
	}
	return refusal{}
}

// release puts a proposal in force. It checks anew all that was checked when
// the proposal was made, and the approvals against the customers concerned.
func (f *Fold) release(offset uint64, r Record, p Proposal) refusal {
	if refused := operable(r, p); refused.code != "" {
		return refused
	}
	next, refused := f.result(p.Base, p.Edits)
	if refused.code != "" {
		return refused
	}
	p.Needs = Concerned(f.s.Config, next)
	if missing := p.Missing(); len(missing) > 0 {
		return refuse(ApprovalMissing, "not approved by "+joined(missing))
	}
	f.s.Config = next
	f.s.Version = mesh.Version(offset)
	f.close(offset, p.answered(offset, r, false), Released)
	f.closeOvertaken(offset)
	return refusal{}
}

// closeOvertaken closes every open proposal: they were made from the version
// before.
func (f *Fold) closeOvertaken(offset uint64) {
	for _, p := range InLogOrder(f.s.Proposals) {
		if p.Status == Open {
			f.close(offset, p, Stale)
		}
	}
}

func (f *Fold) withhold(offset uint64, r Record, p Proposal) refusal {
	if refused := operable(r, p); refused.code != "" {
		return refused
	}
	f.close(offset, p.answered(offset, r, false), Withheld)
	return refusal{}
}

func (f *Fold) put(p Proposal) {
	if _, known := f.s.Proposals[p.ID]; !known {
		f.openNumber++
		f.openEdits += p.EditCount
	}
	f.s.Proposals[p.ID] = p
}

// close closes an open proposal, and drops the one closed first when too many
// are kept.
func (f *Fold) close(offset uint64, p Proposal, status Status) {
	f.openNumber--
	f.openEdits -= p.EditCount
	p = p.closed(offset, status)
	f.s.Proposals[p.ID] = p
	if len(f.s.Proposals)-f.openNumber <= MaxClosed {
		return
	}
	first := p
	for _, other := range f.s.Proposals {
		if other.Status != Open && closedBefore(other, first) {
			first = other
		}
	}
	delete(f.s.Proposals, first.ID)
}

func closedBefore(a, b Proposal) bool {
	return cmp.Or(cmp.Compare(a.ClosedAt, b.ClosedAt), cmp.Compare(a.Offset, b.Offset)) < 0
}

func joined(customers []mesh.Customer) string {
	words := make([]string, len(customers))
	for i, c := range customers {
		words[i] = string(c)
	}
	return strings.Join(words, ", ")
}
