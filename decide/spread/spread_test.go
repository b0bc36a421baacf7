package spread_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/snapshot"
	"github.com/marigoldshelf/marigoldshelf/decide/spread"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

var start = time.Unix(1000, 0)

func records(from, to uint64) (list []spread.Record) {
	for offset := from; offset <= to; offset++ {
		list = append(list, spread.Record{Offset: offset, Data: []byte(fmt.Sprint(offset))})
	}
	return list
}

func feed(to uint64) spread.Feed { return spread.Feed{}.Append(records(1, to)) }

// Answers that are late, repeated, short of records or changed on their way
// take nothing in that does not belong there.
func TestTakeRefusesWhatDoesNotContinueTheStream(t *testing.T) {
	whole := spread.Answer{Records: records(4, 6), Digest: feed(6).Digest}
	fresh, ok := spread.Take(feed(3), whole)
	must.True(t, ok)
	must.Len(t, 3, fresh)
	fresh, ok = spread.Take(feed(5), whole) // two of them are known
	must.True(t, ok)
	must.Eq(t, records(6, 6), fresh)
	fresh, ok = spread.Take(feed(9), whole) // it comes late
	must.True(t, ok)
	must.Len(t, 0, fresh)

	_, ok = spread.Take(feed(2), whole) // record 3 is missing
	must.False(t, ok)
	missing := whole
	missing.Records = append(records(4, 4), records(6, 6)...)
	_, ok = spread.Take(feed(3), missing)
	must.False(t, ok)
	changed := whole
	changed.Records = records(4, 6)
	changed.Records[1].Data = []byte("x")
	_, ok = spread.Take(feed(3), changed)
	must.False(t, ok)
}

func reply(r spread.Request, f spread.Feed, s snapshot.Snapshot) spread.Answer {
	p := spread.Pull{Request: r, Arrived: start, Deadline: start.Add(time.Second)}
	a, _ := spread.Reply(start, p, spread.Served{Feed: f, Snapshot: s})
	return a
}

func TestReplySendsRecordsOnlyToWhoHasTheSamePast(t *testing.T) {
	f := feed(10)
	none := snapshot.Snapshot{}
	must.Eq(t, spread.Records, reply(spread.Request{Offset: 4, Digest: feed(4).Digest}, f, none).Kind)
	must.Eq(t, spread.Hold, reply(spread.Request{Offset: 10, Digest: f.Digest}, f, none).Kind)
	must.Eq(t, spread.Diverged, reply(spread.Request{Offset: 4, Digest: feed(5).Digest}, f, none).Kind)
	must.Eq(t, spread.Behind, reply(spread.Request{Offset: 11}, f, none).Kind)

	restarted := spread.Feed{}.Restart(8, feed(8).Digest).Append(records(9, 10))
	newcomer := spread.Request{}
	must.Eq(t, spread.Encode, reply(newcomer, restarted, none).Kind)
	must.Eq(t, spread.Encode, reply(newcomer, restarted, snapshot.New(7, []byte("old"))).Kind)
	must.Eq(t, spread.Chunk, reply(newcomer, restarted, snapshot.New(9, []byte("new"))).Kind)
}

// A herd that asks for the same large snapshot is told to come back, each at
// another time, and the bytes sent stay within the budget.
func TestBudgetSpreadsAHerd(t *testing.T) {
	restarted := spread.Feed{}.Restart(8, spread.Digest{1})
	s := spread.Served{Feed: restarted, Snapshot: snapshot.New(8, make([]byte, snapshot.ChunkBytes))}
	sent, pauses := 0, map[time.Duration]bool{}
	for i := range 500 {
		s.Draw = float64(i) / 500
		p := spread.Pull{Request: spread.Request{}, Arrived: start, Deadline: start.Add(time.Second)}
		answer, left := spread.Reply(start, p, s)
		s.Budget = left
		if answer.Kind == spread.Chunk {
			sent += len(answer.Chunk.Data)
			continue
		}
		must.Eq(t, spread.Busy, answer.Kind)
		pauses[answer.RetryAfter] = true
	}
	must.LessEq(t, 2<<20, sent)
	must.GreaterEq(t, 400, len(pauses))
}

func members(perZone int, zones ...mesh.Zone) (list []mesh.Member) {
	for _, zone := range zones {
		for i := range perZone {
			id := mesh.HostID(fmt.Sprintf("%s-%d", zone, i))
			list = append(list, mesh.Member{Host: id, Zone: zone, State: mesh.Alive, PeerAddress: string(id)})
		}
	}
	return list
}

// At the size of tomorrow the log has twenty readers, no node feeds more than
// the fan-out, and every node's parents lead to a reader.
func TestAssignBuildsATreeOfBoundedFanout(t *testing.T) {
	zones := []mesh.Zone{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	all := members(93, zones...)
	readers, children := map[mesh.HostID]bool{}, map[mesh.HostID]int{}
	parent := map[mesh.HostID]mesh.HostID{}
	for _, m := range all {
		role := spread.Assign(m, all, spread.Config{})
		if role.Reader {
			readers[m.Host] = true
			continue
		}
		parent[m.Host] = role.Parent.Host
		children[role.Parent.Host]++
	}
	must.MapLen(t, 20, readers)
	for host := range parent {
		must.LessEq(t, 4, children[host])
		depth := 0
		for at := host; !readers[at]; at = parent[at] {
			depth++
			must.LessEq(t, 3, depth)
		}
	}
}

// The floor waits for every live witness: one that knows less than another
// must not settle it.
func TestFloorWaitsForEveryWitness(t *testing.T) {
	witnesses := []spread.Source{{Host: "a"}, {Host: "b"}}
	answers := map[mesh.HostID]spread.Recalled{"a": {Recall: spread.Recall{Version: 3, Settled: true}}}
	learn := func(f spread.Feed) spread.Floor {
		return spread.LearnFloor(spread.Floor{}, start, f, witnesses, answers)
	}
	must.False(t, learn(spread.Feed{}).Known)
	answers["b"] = spread.Recalled{Failed: true}
	must.False(t, learn(spread.Feed{}).Known)
	answers["b"] = spread.Recalled{Recall: spread.Recall{Version: 9}}
	floor := learn(spread.Feed{})
	must.Eq(t, 9, floor.Version)
	must.False(t, floor.Allows(3))

	clear(answers)
	must.False(t, learn(spread.Feed{Confirmed: start.Add(-1)}).Known) // the log's word from before the start
	must.True(t, learn(spread.Feed{Confirmed: start}).Known)
	answers["a"], answers["b"] = spread.Recalled{}, spread.Recalled{}
	must.False(t, learn(spread.Feed{}).Known) // nobody who answers knows its own
}
