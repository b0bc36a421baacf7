package distribution_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/distribution"
	"github.com/marigoldshelf/marigoldshelf/decide/snapshot"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

var startTime = time.Unix(1000, 0)

func records(first, last uint64) (list []distribution.Record) {
	for offset := first; offset <= last; offset++ {
		list = append(list, distribution.Record{Offset: offset, Data: []byte(fmt.Sprint(offset))})
	}
	return list
}

// feed returns a feed of the records 1 to last.
func feed(last uint64) distribution.Feed { return distribution.Feed{}.Append(records(1, last)) }

// Answers can be late, repeated, incomplete or changed in transit. Records that do
// not continue the feed, or that differ from the sender's, must not be applied.
func TestVerifyRecordsRejectsGapsAndChangedRecords(t *testing.T) {
	answer := distribution.PullAnswer{Records: records(4, 6), Digest: feed(6).Digest}
	fresh, ok := distribution.VerifyRecords(feed(3), answer)
	must.True(t, ok)
	must.Len(t, 3, fresh)
	fresh, ok = distribution.VerifyRecords(feed(5), answer) // has two of the records already
	must.True(t, ok)
	must.Eq(t, records(6, 6), fresh)
	fresh, ok = distribution.VerifyRecords(feed(9), answer) // a late answer
	must.True(t, ok)
	must.Len(t, 0, fresh)

	_, ok = distribution.VerifyRecords(feed(2), answer) // record 3 is missing
	must.False(t, ok)
	incomplete := answer
	incomplete.Records = append(records(4, 4), records(6, 6)...)
	_, ok = distribution.VerifyRecords(feed(3), incomplete)
	must.False(t, ok)
	changed := answer
	changed.Records = records(4, 6)
	changed.Records[1].Data = []byte("x")
	_, ok = distribution.VerifyRecords(feed(3), changed)
	must.False(t, ok)
}

func reply(r distribution.PullRequest, f distribution.Feed, s snapshot.Snapshot) distribution.PullAnswer {
	p := distribution.IncomingPull{Request: r, Arrived: startTime, Deadline: startTime.Add(time.Second)}
	a, _ := distribution.Reply(startTime, p, distribution.ReplyInput{Feed: f, Snapshot: s})
	return a
}

// Records sent to a node with a different history would be applied on top of a
// different state.
func TestReplySendsRecordsOnlyOnMatchingDigest(t *testing.T) {
	f := feed(10)
	none := snapshot.Snapshot{}
	must.Eq(t, distribution.KindRecords, reply(distribution.PullRequest{Offset: 4, Digest: feed(4).Digest}, f, none).Kind)
	must.Eq(t, distribution.KindHold, reply(distribution.PullRequest{Offset: 10, Digest: f.Digest}, f, none).Kind)
	must.Eq(t, distribution.KindDiverged, reply(distribution.PullRequest{Offset: 4, Digest: feed(5).Digest}, f, none).Kind)
	must.Eq(t, distribution.KindBehind, reply(distribution.PullRequest{Offset: 11}, f, none).Kind)

	restarted := distribution.Feed{}.ResetTo(8, feed(8).Digest).Append(records(9, 10))
	empty := distribution.PullRequest{}
	must.Eq(t, distribution.KindEncode, reply(empty, restarted, none).Kind)
	must.Eq(t, distribution.KindEncode, reply(empty, restarted, snapshot.New(7, []byte("old"))).Kind)
	must.Eq(t, distribution.KindChunk, reply(empty, restarted, snapshot.New(9, []byte("new"))).Kind)
}

// Many nodes that start at once pull the same large snapshot. The bytes sent must
// stay within the budget, and the refused nodes must get different retry times, or
// they would all pull at once again.
func TestBudgetSpreadsSimultaneousPulls(t *testing.T) {
	restarted := distribution.Feed{}.ResetTo(8, distribution.Digest{1})
	s := distribution.ReplyInput{Feed: restarted, Snapshot: snapshot.New(8, make([]byte, snapshot.ChunkBytes))}
	sentBytes, delays := 0, map[time.Duration]bool{}
	for i := range 500 {
		s.Draw = float64(i) / 500
		p := distribution.IncomingPull{Request: distribution.PullRequest{}, Arrived: startTime, Deadline: startTime.Add(time.Second)}
		answer, left := distribution.Reply(startTime, p, s)
		s.Budget = left
		if answer.Kind == distribution.KindChunk {
			sentBytes += len(answer.Chunk.Data)
			continue
		}
		must.Eq(t, distribution.KindBusy, answer.Kind)
		delays[answer.RetryAfter] = true
	}
	must.LessEq(t, 2<<20, sentBytes)
	must.GreaterEq(t, 400, len(delays))
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

// In a fleet of 930 nodes in ten zones, the log must have twenty readers, no node
// more children than the fan-out, and every node a path to a reader of at most
// three steps. Otherwise the load on the log or on a node grows with the fleet.
func TestAssignRoleBuildsTreeOfBoundedFanout(t *testing.T) {
	zones := []mesh.Zone{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	all := members(93, zones...)
	readers, children := map[mesh.HostID]bool{}, map[mesh.HostID]int{}
	parent := map[mesh.HostID]mesh.HostID{}
	for _, m := range all {
		role := distribution.AssignRole(m, all, distribution.Config{})
		if role.ReadsLog {
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
		for node := host; !readers[node]; node = parent[node] {
			depth++
			must.LessEq(t, 3, depth)
		}
	}
}

// Peers can report different versions as served by the host. A floor decided
// before all of them reported would allow an older version than the host
// served before its restart.
func TestFloorRequiresReportOfEveryPeer(t *testing.T) {
	floorPeers := []distribution.Peer{{Host: "a"}, {Host: "b"}}
	results := map[mesh.HostID]distribution.VersionReportResult{"a": {Report: distribution.VersionReport{Version: 3, FloorKnown: true}}}
	decideFloor := func(f distribution.Feed) distribution.Floor {
		return distribution.DecideFloor(distribution.Floor{}, startTime, f, floorPeers, results)
	}
	must.False(t, decideFloor(distribution.Feed{}).Known)
	results["b"] = distribution.VersionReportResult{Failed: true}
	must.False(t, decideFloor(distribution.Feed{}).Known)
	results["b"] = distribution.VersionReportResult{Report: distribution.VersionReport{Version: 9}}
	floor := decideFloor(distribution.Feed{})
	must.Eq(t, 9, floor.Version)
	must.False(t, floor.Allows(3))

	clear(results)
	must.False(t, decideFloor(distribution.Feed{CaughtUpAt: startTime.Add(-1)}).Known) // caught up before the start
	must.True(t, decideFloor(distribution.Feed{CaughtUpAt: startTime}).Known)
	results["a"], results["b"] = distribution.VersionReportResult{}, distribution.VersionReportResult{}
	must.False(t, decideFloor(distribution.Feed{}).Known) // no peer has a known floor
}
