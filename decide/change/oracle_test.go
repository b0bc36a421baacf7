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
	// The same draws each run; the command line can set another seed.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// oracle says in a plain way what a log means: each host is worth the service
// it runs, and a proposal sets one host.
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
	needs    map[mesh.Customer]bool
	approved map[mesh.Customer]bool
}

var owners = map[mesh.ServiceName]mesh.Customer{"desk": "menders", "store": "stickers"}

func newOracle() *oracle {
	return &oracle{
		hosts: map[mesh.HostID]mesh.ServiceName{}, records: map[string]change.Record{},
		accepted: map[string]bool{}, proposals: map[string]*oracleProposal{},
	}
}

// add returns whether the record at offset is accepted.
func (o *oracle) add(offset uint64, r change.Record) bool {
	if first, seen := o.records[r.ID]; seen {
		same := change.Fingerprint(first) == change.Fingerprint(r)
		return same && o.accepted[r.ID]
	}
	o.records[r.ID] = r
	o.accepted[r.ID] = o.decide(offset, r)
	return o.accepted[r.ID]
}

func (o *oracle) decide(offset uint64, r change.Record) bool {
	byOperator := r.By.Role == change.Operator
	if r.Kind == change.Propose {
		return byOperator && o.propose(r)
	}
	p := o.proposals[r.Proposal]
	if p == nil || !p.open {
		return false
	}
	digest := change.Digest(p.record.Base, *p.record.Edits)
	byCustomer := !byOperator && p.needs[r.By.Customer] && r.Digest == digest
	byOperator = byOperator && r.Digest == digest // operators' records here carry one
	switch r.Kind {
	case change.Approve:
		if byCustomer {
			p.approved[r.By.Customer] = true
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
	before, there := o.hosts[host.ID]
	_, exists := owners[host.Service]
	if r.Base != o.version || !exists || there && before == host.Service {
		return false
	}
	needs := map[mesh.Customer]bool{owners[host.Service]: true}
	if there {
		needs[owners[before]] = true
	}
	o.proposals[r.ID] = &oracleProposal{record: r, open: true, needs: needs, approved: map[mesh.Customer]bool{}}
	return true
}

func (o *oracle) release(offset uint64, p *oracleProposal) bool {
	if len(p.approved) < len(p.needs) {
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

// start is a state with the two services and no host, shortly before the IDs
// seen change their generation.
func start(t *testing.T) change.State {
	l := newLog(t)
	services := []mesh.Service{{Name: "desk", Customer: "menders"}, {Name: "store", Customer: "stickers"}}
	l.release("services", mesh.Edits{PutServices: services}, menders, stickers)
	return l.state.Skip(change.SeenSpan - 20)
}

// drawRecord makes a record that is likely to matter, and some that repeat an
// ID with the same or another content.
func drawRecord(t *rapid.T, n int, s change.State, earlier []change.Record) change.Record {
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
		ID:   fmt.Sprintf("r%d", n),
		Kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
	}
	r.By = drawAuthor(t, r.Kind)
	if r.Kind == change.Propose {
		r.Proposal = r.ID
		r.Base = s.Version - mesh.Version(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "age"))
		service := rapid.SampledFrom([]mesh.ServiceName{"desk", "store", "store", "gone"}).Draw(t, "service")
		id := rapid.SampledFrom([]mesh.HostID{"h1", "h2"}).Draw(t, "host")
		r.Edits = &mesh.Edits{PutHosts: []mesh.Host{host(id, service)}}
		return r
	}
	known := change.InLogOrder(s.Proposals)
	p := known[max(0, len(known)-1-rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "back"))]
	r.Proposal = p.ID
	r.Digest = p.Digest
	if rapid.IntRange(0, 9).Draw(t, "wrong digest") == 0 {
		r.Digest = change.Digest(p.Base+1, p.Edits)
	}
	return r
}

// drawAuthor mostly draws one whose role may write the kind of record.
func drawAuthor(t *rapid.T, kind change.Kind) change.Principal {
	authors := []change.Principal{operator, operator, operator, operator, menders}
	if kind == change.Approve || kind == change.Veto {
		authors = []change.Principal{menders, menders, stickers, stickers, strangers, operator}
	}
	return rapid.SampledFrom(authors).Draw(t, "by")
}

// TestFoldAgreesWithOracle draws logs and compares, after each record, what the
// fold and the oracle accept and put in force. A second node that reads the same
// log in other batches, some of them twice, ends in the same state.
func TestFoldAgreesWithOracle(t *testing.T) {
	first := start(t)
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle()
		o.version = first.Version
		state := first
		var records []change.Record
		for n := range rapid.IntRange(1, 60).Draw(t, "records") {
			r := drawRecord(t, n, state, records)
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
		must.Eq(t, state, inBatches(t, first, records))
	})
}

// inBatches folds records that arrive in batches of any size, which overlap. The
// state is written out and read between some of them, as a snapshot is.
func inBatches(t *rapid.T, s change.State, records []change.Record) change.State {
	base := s.Offset
	for s.Offset < base+uint64(len(records)) {
		done := int(s.Offset - base)
		from := rapid.IntRange(max(0, done-5), done).Draw(t, "from")
		to := rapid.IntRange(done+1, len(records)).Draw(t, "to")
		fold := change.NewFold(s)
		for i := from; i < to; i++ {
			fold.Apply(base+uint64(i)+1, records[i])
		}
		s = fold.State()
		if rapid.Bool().Draw(t, "snapshot") {
			s = reread(t, s)
		}
	}
	return s
}

// BenchmarkPropose folds a proposal of one host into a configuration of 930.
func BenchmarkPropose(b *testing.B) {
	services := []mesh.Service{{Name: "desk", Customer: "menders"}}
	e := mesh.Edits{PutServices: services}
	for i := range 930 {
		e.PutHosts = append(e.PutHosts, host(mesh.HostID(fmt.Sprintf("h%d", i)), "desk"))
	}
	s := change.State{Config: mesh.Config{}.Apply(e)}
	r := change.Record{ID: "p", Kind: change.Propose, Proposal: "p", By: operator, Edits: &mesh.Edits{DeleteHosts: []mesh.HostID{"h7"}}}
	for b.Loop() {
		s.Apply(1, r)
	}
}

func reread(t *rapid.T, s change.State) (back change.State) {
	data, err := json.Marshal(s)
	must.NoError(t, err)
	must.NoError(t, json.Unmarshal(data, &back))
	return back
}
