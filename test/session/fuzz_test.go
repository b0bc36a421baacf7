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
	// A fixed seed draws the same steps in every run. The command line can set
	// another one.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// submitTimeout is the time from a request to the deadline of its submission.
const submitTimeout = 5 * time.Second

// sentRequest is a request of an operator or customer. startOffset is the last
// offset of the log when the node started on it.
type sentRequest struct {
	node        *testNode
	record      change.Record
	startOffset uint64
}

// fuzzedCluster is a cluster with the randomly drawn requests that were sent to it.
type fuzzedCluster struct {
	*cluster
	sent        []sentRequest
	stateCounts map[submit.State]int
}

// checkSubmissions draws requests, faults of the platform, and nodes whose reads or
// appends are blocked, and checks every submission against the log. It adds the
// states of the submissions to stateCounts.
func checkSubmissions(t *testing.T, r *rapid.T, stateCounts map[submit.State]int) {
	f := &fuzzedCluster{cluster: newCluster(t, "a", "b"), stateCounts: stateCounts}
	for range rapid.IntRange(5, 40).Draw(r, "steps") {
		switch rapid.IntRange(0, 6).Draw(r, "step") {
		case 0, 1, 2, 3:
			f.submitRandom(r)
		case 4:
			f.store.SetFaults(standin.Faults{Down: rapid.Bool().Draw(r, "down"), LoseResponses: rapid.Bool().Draw(r, "lose answers")})
		case 5:
			f.refuseAppends = rapid.Bool().Draw(r, "refuse")
		case 6:
			n := rapid.SampledFrom(f.nodes).Draw(r, "node")
			n.readsBlocked = rapid.Bool().Draw(r, "reads nothing")
			n.appendsBlocked = rapid.Bool().Draw(r, "appends hang")
		}
		f.advance(time.Duration(rapid.SampledFrom([]int{0, 100, 1000, 6000, 6000, 40000}).Draw(r, "ms")) * time.Millisecond)
		f.checkStored(r)
	}
	f.checkRecovery(r)
}

// submitRandom submits a new request to a node, or an earlier one again.
func (f *fuzzedCluster) submitRandom(r *rapid.T) {
	n := rapid.SampledFrom(f.nodes).Draw(r, "node")
	request := f.drawRequest(r, n)
	afterOffset := f.lastOffset
	if _, inProgress := f.storedSubmission(n, request.ID); inProgress {
		afterOffset = f.startOffset(n, request.ID)
	}
	s, accepted := submitting.Submit(n.tables, request, f.clock.Now().Add(submitTimeout))
	must.True(r, accepted)
	must.Eq(r, change.Fingerprint(request), change.Fingerprint(s.Record), must.Sprint("got the submission of another request"))
	f.sent = append(f.sent, sentRequest{node: n, record: request, startOffset: afterOffset})
	f.checkSubmission(r, n, s, afterOffset)
}

// startOffset returns the last offset of the log when the node last started on the
// request with an ID.
func (f *fuzzedCluster) startOffset(n *testNode, id string) (offset uint64) {
	for _, a := range f.sent {
		if a.node == n && a.record.ID == id {
			offset = a.startOffset
		}
	}
	return offset
}

// drawRequest draws a request: an earlier one again, possibly with other content, a
// proposal, or a decision on the newest proposal in the state of n.
func (f *fuzzedCluster) drawRequest(r *rapid.T, n *testNode) change.Record {
	if len(f.sent) > 0 && rapid.Bool().Draw(r, "again") {
		again := f.sent[max(0, len(f.sent)-1-rapid.IntRange(0, 2).Draw(r, "earlier"))].record
		if rapid.IntRange(0, 3).Draw(r, "other content") == 0 {
			again.Reason += "!"
		}
		return again
	}
	state := n.tables.Changes.Load()
	id := fmt.Sprintf("r%d", len(f.sent))
	kinds := []change.Kind{change.Propose}
	if len(state.Proposals) > 0 {
		kinds = []change.Kind{change.Propose, change.Approve, change.Approve, change.Veto, change.Release, change.Release}
	}
	kind := rapid.SampledFrom(kinds).Draw(r, "kind")
	out := change.Record{ID: id, Kind: kind, Author: change.Principal{Name: "nadia", Role: change.Operator}}
	if kind == change.Propose {
		baseNode := rapid.SampledFrom(f.nodes).Draw(r, "base known at")
		out.Proposal, out.Base = id, baseNode.tables.Changes.Load().Version
		host := mesh.HostID(rapid.SampledFrom([]string{"h1", "h2"}).Draw(r, "host"))
		zone := mesh.Zone(fmt.Sprintf("z%d", len(f.sent)))
		out.Edits = &mesh.Edits{PutServices: []mesh.Service{{Name: "desk", Customer: "menders"}},
			PutHosts: []mesh.Host{{ID: host, Zone: zone, Service: "desk"}}}
		return out
	}
	proposals := change.InLogOrder(state.Proposals)
	newest := proposals[len(proposals)-1]
	out.Proposal, out.Digest = newest.ID, newest.Digest
	if kind != change.Release {
		out.Author = change.Principal{Name: "samir", Role: change.CustomerRole, Customer: "menders"}
	}
	return out
}

// logRecords returns all records of the platform's log. It disables the platform's
// faults meanwhile.
func (f *fuzzedCluster) logRecords() []change.Record {
	faults := f.store.Faults()
	f.store.SetFaults(standin.Faults{})
	defer f.store.SetFaults(faults)
	var list []change.Record
	for {
		batch, err := f.store.Read(context.Background(), eventlog.ConfigStream, uint64(len(list))+1, 0)
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

// checkStored checks the submission that each node has stored for each request.
func (f *fuzzedCluster) checkStored(r *rapid.T) {
	for _, a := range f.sent {
		if s, found := f.storedSubmission(a.node, a.record.ID); found && change.Fingerprint(s.Record) == change.Fingerprint(a.record) {
			f.checkSubmission(r, a.node, s, f.startOffset(a.node, a.record.ID))
		}
	}
}

// storedSubmission returns a row of a node's submission table.
func (f *fuzzedCluster) storedSubmission(n *testNode, id string) (submit.Submission, bool) {
	s, err := n.tables.Submissions.Await(context.Background(), id, func(submit.Submission, bool) bool { return true })
	return s, err == nil && s.Record.ID != ""
}

// checkSubmission checks one submission against the log and counts its state.
func (f *fuzzedCluster) checkSubmission(r *rapid.T, n *testNode, s submit.Submission, afterOffset uint64) {
	f.stateCounts[s.State]++
	log := f.logRecords()
	first, outcome, found := firstWithID(log, s.Record.ID)
	same := found && change.Fingerprint(first) == change.Fingerprint(s.Record)
	switch s.State {
	case submit.InLog:
		must.True(r, same, must.Sprintf("in_log, but the log has another record or none: %+v", s.Record))
		must.Eq(r, outcome.Accepted, s.Outcome.Accepted)
		must.Eq(r, outcome.Refusal, s.Outcome.Refusal)
		must.Eq(r, outcome.Version, s.Outcome.Version)
	case submit.NotAppended:
		must.False(r, n.hasAppended(log, afterOffset, s.Record), must.Sprintf("not_appended, but the node appended it: %+v", s.Record))
	case submit.Refused:
		must.False(r, same && outcome.Accepted, must.Sprintf("refused, but accepted in the log: %+v", s.Record))
		if s.Outcome.Refusal == change.StaleBase {
			must.Less(r, finalVersion(log), s.Record.Base)
		}
	}
}

// firstWithID returns the first record of the log with an ID, and its outcome.
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

// finalVersion returns the version in force after the last record of a log.
func finalVersion(log []change.Record) mesh.Version {
	fold := change.NewFold(change.State{})
	for i, entry := range log {
		fold.Apply(uint64(i)+1, entry)
	}
	return fold.State().Version
}

// hasAppended reports whether the node appended the record r after an offset.
func (n *testNode) hasAppended(log []change.Record, after uint64, r change.Record) bool {
	for _, offset := range n.appended {
		if offset > after && change.Fingerprint(log[offset-1]) == change.Fingerprint(r) {
			return true
		}
	}
	return false
}

// checkRecovery ends all faults. Every request must then end in the state in_log or
// refused when it is submitted again, all nodes must have the same state, and no
// rows must be left in their tables.
func (f *fuzzedCluster) checkRecovery(r *rapid.T) {
	f.store.SetFaults(standin.Faults{})
	f.refuseAppends = false
	for _, n := range f.nodes {
		n.readsBlocked, n.appendsBlocked = false, false
	}
	f.advance(time.Minute)
	for _, a := range f.sent {
		s, _ := submitting.Submit(a.node.tables, a.record, f.clock.Now().Add(submitTimeout))
		f.advance(time.Second)
		if s.State == submit.Pending {
			s, _ = f.storedSubmission(a.node, a.record.ID)
		}
		must.True(r, s.State == submit.InLog || s.State == submit.Refused, must.Sprintf("%s %+v", s.State, a.record))
		f.checkSubmission(r, a.node, s, f.startOffset(a.node, a.record.ID))
	}
	f.advance(time.Minute)
	first := f.nodes[0].tables.Changes.Load()
	for _, n := range f.nodes {
		must.Eq(r, first, n.tables.Changes.Load())
		must.Eq(r, 0, n.pendingRows())
	}
}

// TestSubmissionStatesMatchTheLog guards against a submission state that contradicts the
// log, for example not_appended for a record that the node did append. It draws
// outages, refusals, lost responses, lagging nodes and repeated requests, and checks
// that every state of a submission occurs.
func TestSubmissionStatesMatchTheLog(t *testing.T) {
	stateCounts := make(map[submit.State]int)
	rapid.Check(t, func(r *rapid.T) { checkSubmissions(t, r, stateCounts) })
	for _, s := range []submit.State{submit.InLog, submit.NotAppended, submit.OutcomeUnknown, submit.Refused, submit.Pending} {
		must.Positive(t, stateCounts[s], must.Sprintf("state %s did not occur", s))
	}
	t.Logf("states: %v", stateCounts)
}

func mustMarshal(t *testing.T, value any) []byte {
	data, err := json.Marshal(value)
	must.NoError(t, err)
	return data
}
