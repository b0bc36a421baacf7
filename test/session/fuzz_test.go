package session_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	submitting "github.com/marigoldshelf/marigoldshelf/controllers/submit"
	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/decide/submit"
	"github.com/marigoldshelf/marigoldshelf/encoding/record"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/eventlog/standin"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

func init() {
	// The same draws each run; the command line can set another seed.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

const tryFor = 5 * time.Second

// asked is one request of an operator or customer, and how long the log was
// when the node began on it.
type asked struct {
	node   *testNode
	record change.Record
	from   uint64
}

// fuzzed is a world in which requests are drawn, with what was asked in it.
type fuzzed struct {
	*world
	asked []asked
	told  map[submit.State]int
}

// submissions draws requests, faults of the platform and the nodes' lags, and
// holds every answer against the log itself.
func submissions(t *testing.T, r *rapid.T, told map[submit.State]int) {
	f := &fuzzed{world: newWorld(t, "a", "b"), told: told}
	for range rapid.IntRange(5, 40).Draw(r, "steps") {
		switch rapid.IntRange(0, 6).Draw(r, "step") {
		case 0, 1, 2, 3:
			f.ask(r)
		case 4:
			f.store.SetFaults(standin.Faults{Down: rapid.Bool().Draw(r, "down"), LoseAnswers: rapid.Bool().Draw(r, "lose answers")})
		case 5:
			f.refuse = rapid.Bool().Draw(r, "refuse")
		case 6:
			n := rapid.SampledFrom(f.nodes).Draw(r, "node")
			n.cut = rapid.Bool().Draw(r, "reads nothing")
			n.stuck = rapid.Bool().Draw(r, "appends hang")
		}
		f.advance(time.Duration(rapid.SampledFrom([]int{0, 100, 1000, 6000, 6000, 40000}).Draw(r, "ms")) * time.Millisecond)
		f.checkRows(r)
	}
	f.heal(r)
}

// ask sends a new request to a node, or one of the earlier ones again.
func (f *fuzzed) ask(r *rapid.T) {
	n := rapid.SampledFrom(f.nodes).Draw(r, "node")
	request := f.drawRequest(r, n)
	from := f.length
	if _, underWay := f.row(n, request.ID); underWay {
		from = f.begun(n, request.ID)
	}
	s, taken := submitting.Take(n.tables, request, f.clock.Now().Add(tryFor))
	must.True(r, taken)
	must.Eq(r, change.Fingerprint(request), change.Fingerprint(s.Record), must.Sprint("told of another request"))
	f.asked = append(f.asked, asked{node: n, record: request, from: from})
	f.check(r, n, s, from)
}

// begun returns how long the log was when the node last began on an ID.
func (f *fuzzed) begun(n *testNode, id string) (from uint64) {
	for _, a := range f.asked {
		if a.node == n && a.record.ID == id {
			from = a.from
		}
	}
	return from
}

func (f *fuzzed) drawRequest(r *rapid.T, n *testNode) change.Record {
	if len(f.asked) > 0 && rapid.Bool().Draw(r, "again") {
		again := f.asked[max(0, len(f.asked)-1-rapid.IntRange(0, 2).Draw(r, "earlier"))].record
		if rapid.IntRange(0, 3).Draw(r, "other content") == 0 {
			again.Reason += "!"
		}
		return again
	}
	state := n.tables.Changes.Load()
	id := fmt.Sprintf("r%d", len(f.asked))
	kinds := []change.Kind{change.Propose}
	if len(state.Proposals) > 0 {
		kinds = []change.Kind{change.Propose, change.Approve, change.Approve, change.Veto, change.Release, change.Release}
	}
	kind := rapid.SampledFrom(kinds).Draw(r, "kind")
	out := change.Record{ID: id, Kind: kind, By: change.Principal{Name: "nadia", Role: change.Operator}}
	if kind == change.Propose {
		known := rapid.SampledFrom(f.nodes).Draw(r, "base known at")
		out.Proposal, out.Base = id, known.tables.Changes.Load().Version
		host := mesh.HostID(rapid.SampledFrom([]string{"h1", "h2"}).Draw(r, "host"))
		zone := mesh.Zone(fmt.Sprintf("z%d", len(f.asked)))
		out.Edits = &mesh.Edits{PutServices: []mesh.Service{{Name: "desk", Customer: "menders"}},
			PutHosts: []mesh.Host{{ID: host, Zone: zone, Service: "desk"}}}
		return out
	}
	known := change.InLogOrder(state.Proposals)
	p := known[len(known)-1]
	out.Proposal, out.Digest = p.ID, p.Digest
	if kind != change.Release {
		out.By = change.Principal{Name: "samir", Role: change.CustomerRole, Customer: "menders"}
	}
	return out
}

// log returns the records in the platform's log, whatever its faults.
func (f *fuzzed) log() []change.Record {
	faults := f.store.Faults()
	f.store.SetFaults(standin.Faults{})
	defer f.store.SetFaults(faults)
	var list []change.Record
	for {
		batch, err := f.store.Read(context.Background(), eventlog.Config, uint64(len(list))+1, 0)
		if err != nil || len(batch) == 0 {
			return list
		}
		for _, entry := range batch {
			decoded, err := record.DecodeChange(entry.Data)
			if err != nil {
				return nil
			}
			list = append(list, decoded)
		}
	}
}

// checkRows holds what every node would tell of every request at present.
func (f *fuzzed) checkRows(r *rapid.T) {
	for _, a := range f.asked {
		if s, found := f.row(a.node, a.record.ID); found && change.Fingerprint(s.Record) == change.Fingerprint(a.record) {
			f.check(r, a.node, s, f.begun(a.node, a.record.ID))
		}
	}
}

func (f *fuzzed) row(n *testNode, id string) (submit.Submission, bool) {
	s, err := n.tables.Submissions.Await(context.Background(), id, func(submit.Submission, bool) bool { return true })
	return s, err == nil && s.Record.ID != ""
}

// check holds one answer against the log.
func (f *fuzzed) check(r *rapid.T, n *testNode, s submit.Submission, from uint64) {
	f.told[s.State]++
	log := f.log()
	first, outcome, found := firstWithID(log, s.Record.ID)
	same := found && change.Fingerprint(first) == change.Fingerprint(s.Record)
	switch s.State {
	case submit.InLog:
		must.True(r, same, must.Sprintf("told in the log: %+v", s.Record))
		must.Eq(r, outcome.Accepted, s.Outcome.Accepted)
		must.Eq(r, outcome.Refusal, s.Outcome.Refusal)
		must.Eq(r, outcome.Version, s.Outcome.Version)
	case submit.NotAppended:
		must.False(r, n.hasAppended(log, from, s.Record), must.Sprintf("told not appended: %+v", s.Record))
	case submit.Refused:
		must.False(r, same && outcome.Accepted, must.Sprintf("told refused: %+v", s.Record))
		if s.Outcome.Refusal == change.StaleBase {
			must.Less(r, versionOf(log), s.Record.Base)
		}
	}
}

// firstWithID folds the log from its start, and returns the first record with
// an ID and what it did.
func firstWithID(log []change.Record, id string) (change.Record, change.Outcome, bool) {
	fold := change.NewFold(change.State{})
	for i, entry := range log {
		outcome := fold.Apply(uint64(i)+1, entry)
		if entry.ID == id {
			return entry, outcome, true
		}
	}
	return change.Record{}, change.Outcome{}, false
}

// versionOf returns the version that a log puts in force.
func versionOf(log []change.Record) mesh.Version {
	fold := change.NewFold(change.State{})
	for i, entry := range log {
		fold.Apply(uint64(i)+1, entry)
	}
	return fold.State().Version
}

// hasAppended reports whether the node brought a record into the log after an
// offset.
func (n *testNode) hasAppended(log []change.Record, after uint64, r change.Record) bool {
	for _, offset := range n.appended {
		if offset > after && change.Fingerprint(log[offset-1]) == change.Fingerprint(r) {
			return true
		}
	}
	return false
}

// heal ends all faults: the nodes must come to agree by themselves, every
// request must get a certain end when it is asked again, and nothing is left
// over.
func (f *fuzzed) heal(r *rapid.T) {
	f.store.SetFaults(standin.Faults{})
	f.refuse = false
	for _, n := range f.nodes {
		n.cut, n.stuck = false, false
	}
	f.advance(time.Minute)
	for _, a := range f.asked {
		s, _ := submitting.Take(a.node.tables, a.record, f.clock.Now().Add(tryFor))
		f.advance(time.Second)
		if s.State == submit.Pending {
			s, _ = f.row(a.node, a.record.ID)
		}
		must.True(r, s.State == submit.InLog || s.State == submit.Refused, must.Sprintf("%s %+v", s.State, a.record))
		f.check(r, a.node, s, f.begun(a.node, a.record.ID))
	}
	f.advance(time.Minute)
	first := f.nodes[0].tables.Changes.Load()
	for _, n := range f.nodes {
		must.Eq(r, first, n.tables.Changes.Load())
		must.Eq(r, 0, n.leftOver())
	}
}

// TestEveryAnswerIsTrue draws sessions with outages, refusals, lost answers,
// lagging nodes and repeated requests.
func TestEveryAnswerIsTrue(t *testing.T) {
	told := make(map[submit.State]int)
	rapid.Check(t, func(r *rapid.T) { submissions(t, r, told) })
	for _, s := range []submit.State{submit.InLog, submit.NotAppended, submit.Unknown, submit.Refused, submit.Pending} {
		must.Positive(t, told[s], must.Sprintf("never told %s", s))
	}
	t.Logf("told: %v", told)
}

func encoded(t *testing.T, value any) []byte {
	data, err := json.Marshal(value)
	must.NoError(t, err)
	return data
}
