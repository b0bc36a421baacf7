package change_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

func init() {
	// A fixed seed makes runs repeatable; the command line can override it.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// oracle is a simple model of the fold: the configuration maps each host to the
// service that it runs, and a proposal puts one host.
type oracle struct {
	hosts     map[mesh.HostID]mesh.ServiceName
	version   mesh.Version
	records   map[string]change.Record
	accepted  map[string]bool
	proposals map[string]*oracleProposal
}

type oracleProposal struct {
	record   change.Record
	open     bool
	required map[mesh.Customer]bool
	approved map[mesh.Customer]bool
}

var customerOf = map[mesh.ServiceName]mesh.Customer{"desk": "menders", "store": "stickers"}

func newOracle() *oracle {
	return &oracle{
		hosts: map[mesh.HostID]mesh.ServiceName{}, records: map[string]change.Record{},
		accepted: map[string]bool{}, proposals: map[string]*oracleProposal{},
	}
}

// add applies the record at offset and reports whether it is accepted.
func (o *oracle) add(offset uint64, r change.Record) bool {
	if first, found := o.records[r.ID]; found {
		same := change.Fingerprint(first) == change.Fingerprint(r)
		return same && o.accepted[r.ID]
	}
	o.records[r.ID] = r
	o.accepted[r.ID] = o.decide(offset, r)
	return o.accepted[r.ID]
}

func (o *oracle) decide(offset uint64, r change.Record) bool {
	byOperator := r.Author.Role == change.Operator
	if r.Kind == change.Propose {
		return byOperator && o.propose(r)
	}
	p := o.proposals[r.Proposal]
	if p == nil || !p.open {
		return false
	}
	digest := change.Digest(p.record.Base, *p.record.Edits)
	byCustomer := !byOperator && p.required[r.Author.Customer] && r.Digest == digest
	byOperator = byOperator && r.Digest == digest // every record drawn here carries a digest
	switch r.Kind {
	case change.Approve:
		if byCustomer {
			p.approved[r.Author.Customer] = true
		}
		return byCustomer
	case change.Veto:
		p.open = !byCustomer
		return byCustomer
	case change.Withhold:
		p.open = !byOperator
		return byOperator
	default:
		return byOperator && o.release(offset, p)
	}
}

func (o *oracle) propose(r change.Record) bool {
	host := r.Edits.PutHosts[0]
	before, listed := o.hosts[host.ID]
	_, exists := customerOf[host.Service]
	if r.Base != o.version || !exists || listed && before == host.Service {
		return false
	}
	required := map[mesh.Customer]bool{customerOf[host.Service]: true}
	if listed {
		required[customerOf[before]] = true
	}
	o.proposals[r.ID] = &oracleProposal{record: r, open: true, required: required, approved: map[mesh.Customer]bool{}}
	return true
}

func (o *oracle) release(offset uint64, p *oracleProposal) bool {
	if len(p.approved) < len(p.required) {
		return false
	}
	host := p.record.Edits.PutHosts[0]
	o.hosts[host.ID] = host.Service
	o.version = mesh.Version(offset)
	for _, other := range o.proposals {
		other.open = false
	}
	return true
}

// startState returns a state with two services and no host, 20 offsets before the
// window of IDs seen changes.
func startState(t *testing.T) change.State {
	l := newTestLog(t)
	services := []mesh.Service{{Name: "desk", Customer: "menders"}, {Name: "store", Customer: "stickers"}}
	l.release("services", mesh.Edits{PutServices: services}, menders, stickers)
	return l.state.Skip(change.SeenWindowOffsets - 20)
}

// drawRecord draws a record that refers to a recent proposal or version. Some
// records repeat an earlier ID, with the same or other content.
func drawRecord(t *rapid.T, index int, s change.State, earlier []change.Record) change.Record {
	if len(earlier) > 0 && rapid.IntRange(0, 9).Draw(t, "repeat") == 0 {
		r := rapid.SampledFrom(earlier).Draw(t, "earlier")
		r.AtMillis++
		if rapid.Bool().Draw(t, "other content") {
			r.Reason = "changed"
		}
		return r
	}
	kinds := []change.Kind{change.Propose, change.Approve, change.Approve, change.Approve, change.Veto, change.Release, change.Release, change.Withhold}
	r := change.Record{
		ID:   fmt.Sprintf("r%d", index),
		Kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
	}
	r.Author = drawAuthor(t, r.Kind)
	if r.Kind == change.Propose {
		r.Proposal = r.ID
		r.Base = s.Version - mesh.Version(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "age"))
		service := rapid.SampledFrom([]mesh.ServiceName{"desk", "store", "store", "gone"}).Draw(t, "service")
		id := rapid.SampledFrom([]mesh.HostID{"h1", "h2"}).Draw(t, "host")
		r.Edits = &mesh.Edits{PutHosts: []mesh.Host{host(id, service)}}
		return r
	}
	proposals := change.InLogOrder(s.Proposals)
	p := proposals[max(0, len(proposals)-1-rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "back"))]
	r.Proposal = p.ID
	r.Digest = p.Digest
	if rapid.IntRange(0, 9).Draw(t, "wrong digest") == 0 {
		r.Digest = change.Digest(p.Base+1, p.Edits)
	}
	return r
}

// drawAuthor draws, most of the time, an author whose role is allowed to write
// the kind of record.
func drawAuthor(t *rapid.T, kind change.Kind) change.Principal {
	authors := []change.Principal{operator, operator, operator, operator, menders}
	if kind == change.Approve || kind == change.Veto {
		authors = []change.Principal{menders, menders, stickers, stickers, strangers, operator}
	}
	return rapid.SampledFrom(authors).Draw(t, "by")
}

// TestFoldAgreesWithOracle draws logs and compares the fold with the oracle after
// each record: whether it is accepted, and the configuration in force. Folding the
// same log in other, overlapping batches must give the same state, as it does on
// another node.
func TestFoldAgreesWithOracle(t *testing.T) {
	first := startState(t)
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle()
		o.version = first.Version
		state := first
		var records []change.Record
		for index := range rapid.IntRange(1, 60).Draw(t, "records") {
			r := drawRecord(t, index, state, records)
			offset := state.Offset + 1
			next, outcome := state.Apply(offset, r)
			if want := o.add(offset, r); want != outcome.Accepted {
				t.Fatalf("record %d %+v: oracle says %t, fold says %+v", offset, r, want, outcome)
			}
			must.GreaterEq(t, state.Version, next.Version)
			must.Eq(t, o.version, next.Version)
			must.Eq(t, len(o.hosts), len(next.Config.Hosts))
			for id, service := range o.hosts {
				must.Eq(t, service, next.Config.Hosts[id].Service)
			}
			state, records = next, append(records, r)
		}
		must.Eq(t, state, foldInBatches(t, first, records))
	})
}

// foldInBatches folds the records in overlapping batches of random size. Between
// some batches it encodes and decodes the state, as a snapshot does.
func foldInBatches(t *rapid.T, s change.State, records []change.Record) change.State {
	base := s.Offset
	for s.Offset < base+uint64(len(records)) {
		folded := int(s.Offset - base)
		from := rapid.IntRange(max(0, folded-5), folded).Draw(t, "from")
		to := rapid.IntRange(folded+1, len(records)).Draw(t, "to")
		fold := change.NewFold(s)
		for i := from; i < to; i++ {
			fold.Apply(base+uint64(i)+1, records[i])
		}
		s = fold.State()
		if rapid.Bool().Draw(t, "snapshot") {
			s = encodeAndDecode(t, s)
		}
	}
	return s
}

// BenchmarkPropose applies a proposal that deletes one of 930 hosts.
func BenchmarkPropose(b *testing.B) {
	services := []mesh.Service{{Name: "desk", Customer: "menders"}}
	e := mesh.Edits{PutServices: services}
	for i := range 930 {
		e.PutHosts = append(e.PutHosts, host(mesh.HostID(fmt.Sprintf("h%d", i)), "desk"))
	}
	s := change.State{Config: mesh.Config{}.Apply(e)}
	r := change.Record{ID: "p", Kind: change.Propose, Proposal: "p", Author: operator, Edits: &mesh.Edits{DeleteHosts: []mesh.HostID{"h7"}}}
	for b.Loop() {
		s.Apply(1, r)
	}
}

func encodeAndDecode(t *rapid.T, s change.State) (decoded change.State) {
	data, err := json.Marshal(s)
	must.NoError(t, err)
	must.NoError(t, json.Unmarshal(data, &decoded))
	return decoded
}
