package change

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"

	"github.com/marigoldshelf/marigoldshelf/decide/route"
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
	ID       string
	Digest   string
	Base     mesh.Version
	Edits    mesh.Edits
	By       Principal
	Status   Status
	Needs    []mesh.Customer
	Approved []mesh.Customer
}

// Approvable reports whether every customer concerned has approved.
func (p Proposal) Approvable() bool {
	for _, c := range p.Needs {
		if !slices.Contains(p.Approved, c) {
			return false
		}
	}
	return true
}

// Outcome says what one record did to the state.
type Outcome struct {
	// Accepted is false when the record changed nothing.
	Accepted bool
	// Refusal is the reason, when it was not accepted.
	Refusal string
	// Version is the configuration in force after the record.
	Version mesh.Version
}

// State is the fold of the records up to an offset. It is a value: Apply
// returns a new one and leaves the old as it is.
type State struct {
	// Offset is the offset of the last record folded in; zero for none.
	Offset uint64
	// Version is the release in force; zero for none.
	Version mesh.Version
	// Config is the configuration of that release.
	Config mesh.Config
	// Proposals has the proposals by ID.
	Proposals map[string]Proposal
	// Seen has the IDs of the records folded in.
	Seen map[string]Outcome
}

// Digest returns the digest of a proposal's content: hex SHA-256 of its base
// and edits in a fixed text form.
func Digest(base mesh.Version, edits mesh.Edits) string {
	text := fmt.Sprintf("%d %+v", base, edits)
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// Apply folds in the record at offset. A record at or below s.Offset is
// ignored: records may arrive twice.
func (s State) Apply(offset uint64, r Record) (State, Outcome) {
	if offset <= s.Offset {
		return s, Outcome{Refusal: "already applied", Version: s.Version}
	}
	s.Offset = offset
	if earlier, found := s.Seen[r.ID]; found {
		return s, earlier
	}
	s, refusal := s.fold(offset, r)
	outcome := Outcome{Accepted: refusal == "", Refusal: refusal, Version: s.Version}
	s.Seen = with(s.Seen, r.ID, outcome)
	return s, outcome
}

// Skip moves the offset past a record that no build can read.
func (s State) Skip(offset uint64) State {
	s.Offset = max(s.Offset, offset)
	return s
}

func (s State) fold(offset uint64, r Record) (State, string) {
	switch r.Kind {
	case Propose:
		return s.propose(r)
	case Approve:
		return s.approve(r)
	case Veto:
		return s.veto(r)
	case Release:
		return s.release(offset, r)
	case Withhold:
		return s.withhold(r)
	default:
		return s, "unknown kind of record"
	}
}

func (s State) propose(r Record) (State, string) {
	switch {
	case r.By.Role != Operator:
		return s, "only an operator proposes"
	case r.Edits == nil || r.Edits.Empty():
		return s, "the proposal changes nothing"
	case r.Base != s.Version:
		return s, fmt.Sprintf("made from version %d, but version %d is in force", r.Base, s.Version)
	}
	next := s.Config.Apply(*r.Edits)
	if faults := route.Check(next); len(faults) > 0 {
		return s, "bad configuration: " + faults.Error()
	}
	p := Proposal{
		ID:     r.ID,
		Digest: Digest(r.Base, *r.Edits),
		Base:   r.Base,
		Edits:  *r.Edits,
		By:     r.By,
		Status: Open,
		Needs:  customersConcerned(s.Config, next, *r.Edits),
	}
	s.Proposals = with(s.Proposals, p.ID, p)
	return s, ""
}

func (s State) approve(r Record) (State, string) {
	p, refusal := s.answerable(r)
	if refusal != "" {
		return s, refusal
	}
	if !slices.Contains(p.Approved, r.By.Customer) {
		p.Approved = append(slices.Clone(p.Approved), r.By.Customer)
	}
	s.Proposals = with(s.Proposals, p.ID, p)
	return s, ""
}

func (s State) veto(r Record) (State, string) {
	p, refusal := s.answerable(r)
	if refusal != "" {
		return s, refusal
	}
	p.Status = Vetoed
	s.Proposals = with(s.Proposals, p.ID, p)
	return s, ""
}

// answerable finds the open proposal that a customer's record names exactly.
func (s State) answerable(r Record) (Proposal, string) {
	p, found := s.Proposals[r.Proposal]
	switch {
	case !found:
		return p, "no such proposal"
	case r.By.Role != CustomerRole:
		return p, "only a customer approves or vetoes"
	case p.Status != Open:
		return p, "the proposal is " + string(p.Status)
	case r.Digest != p.Digest:
		return p, "the digest names another content"
	case !slices.Contains(p.Needs, r.By.Customer):
		return p, "the change does not concern this customer"
	}
	return p, ""
}

func (s State) release(offset uint64, r Record) (State, string) {
	p, found := s.Proposals[r.Proposal]
	switch {
	case !found:
		return s, "no such proposal"
	case r.By.Role != Operator:
		return s, "only an operator releases"
	case p.Status != Open:
		return s, "the proposal is " + string(p.Status)
	case !p.Approvable():
		return s, "an approval is missing"
	}
	s.Config = s.Config.Apply(p.Edits)
	s.Version = mesh.Version(offset)
	s.Proposals = closeOthers(s.Proposals, p.ID)
	return s, ""
}

// closeOthers marks the released proposal, and every open one as stale: they
// were made from the version before.
func closeOthers(old map[string]Proposal, released string) map[string]Proposal {
	rows := make(map[string]Proposal, len(old))
	for id, p := range old {
		if id == released {
			p.Status = Released
		} else if p.Status == Open {
			p.Status = Stale
		}
		rows[id] = p
	}
	return rows
}

func (s State) withhold(r Record) (State, string) {
	p, found := s.Proposals[r.Proposal]
	switch {
	case !found:
		return s, "no such proposal"
	case r.By.Role != Operator:
		return s, "only an operator withholds"
	case p.Status != Open:
		return s, "the proposal is " + string(p.Status)
	}
	p.Status = Withheld
	s.Proposals = with(s.Proposals, p.ID, p)
	return s, ""
}

// customersConcerned returns the customers of every service whose routes or
// resources the edits touch, before or after the change, in order.
func customersConcerned(before, after mesh.Config, e mesh.Edits) []mesh.Customer {
	concerned := make(map[mesh.Customer]struct{})
	for _, c := range []mesh.Config{before, after} {
		for _, service := range servicesTouched(c, e) {
			if found, ok := c.Services[service]; ok {
				concerned[found.Customer] = struct{}{}
			}
		}
	}
	return slices.Sorted(maps.Keys(concerned))
}

func servicesTouched(c mesh.Config, e mesh.Edits) []mesh.ServiceName {
	names := slices.Clone(e.DeleteServices)
	for _, s := range e.PutServices {
		names = append(names, s.Name)
	}
	for _, h := range e.PutHosts {
		names = append(names, h.Service, c.Hosts[h.ID].Service)
	}
	for _, id := range e.DeleteHosts {
		names = append(names, c.Hosts[id].Service)
	}
	for _, r := range e.PutRules {
		names = append(names, r.Service, c.Rules[r.ID].Service)
	}
	for _, id := range e.DeleteRules {
		names = append(names, c.Rules[id].Service)
	}
	return names
}

// with returns a copy of rows in which key has the given row.
func with[V any](rows map[string]V, key string, row V) map[string]V {
	next := make(map[string]V, len(rows)+1)
	maps.Copy(next, rows)
	next[key] = row
	return next
}
