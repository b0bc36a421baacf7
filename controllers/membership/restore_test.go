package membership_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// Guards against announcements that stay lost after a restore: relays announce
// themselves only every ten minutes, and their positions lie beyond the end of the
// restored stream. A node that starts afterwards must join.
func TestAnnouncementsLostInARestoreAreWrittenAgain(t *testing.T) {
	for seed := range uint64(10) {
		n := newNetwork(t, seed, blackboard.PanicOnNested())
		n.era = 1
		n.add("fes", 3)
		n.add("meknes", 3)
		n.runUntil("the fleet has joined", 20*time.Second, n.converged)
		n.run(5 * time.Second)
		n.records, n.era = nil, 2
		// Relays read the stream every 30 s, with a jitter of a half.
		n.runUntil("a node has announced itself again", 60*time.Second, func() bool { return len(n.records) > 0 })
		n.add("sale", 1)
		newest := n.nodes[len(n.nodes)-1]
		n.runUntil("the new node has joined", 10*time.Second, func() bool { return newest.tables.Self.Load().Joined })
	}
}

// Guards against a node that waits for half a minute to announce itself although
// another reader of its store has observed the change, and against one that
// repeats the announcement for good.
func TestObservedChangeOfEraIsFollowedByOneAnnouncement(t *testing.T) {
	n := newNetwork(t, 1, blackboard.PanicOnNested())
	n.era = 1
	n.add("fes", 9)
	n.runUntil("the fleet has joined", 20*time.Second, n.converged)
	n.run(90 * time.Second) // all have learnt the first era that read the stream
	for _, h := range n.nodes {
		h.setEra(1)
	}
	n.run(5 * time.Second)
	n.records, n.era = nil, 2
	before := len(n.appends)
	for _, h := range n.nodes {
		h.setEra(2)
	}
	n.run(5 * time.Second)
	must.Eq(t, len(n.nodes), len(n.appends)-before)
	n.run(2 * time.Minute)
	must.Eq(t, len(n.nodes), len(n.appends)-before)
}

// Guards against a late batch of a former era that moves the position.
func TestLateBatchOfAFormerEraIsIgnored(t *testing.T) {
	n := newNetwork(t, 1, blackboard.PanicOnNested())
	n.add("fes", 1)
	h := n.nodes[0]
	h.setEra(5)
	b := h.tables
	b.Board.Do(func(tx *blackboard.Tx) {
		b.LogReads.Delete(tx, eventlog.MembersStream)
		b.LogBatches.Put(tx, eventlog.MembersStream, tables.LogBatch{
			From: 1, RequestEra: 4, Era: 4, Records: []eventlog.Record{{Offset: 7, Data: []byte("x")}},
		})
	}, b.LogReads.Write(), b.LogBatches.Write())
	h.pool.StepUntilIdle(maxSettleCalls)
	b.Board.Do(func(tx *blackboard.Tx) {
		position, _ := b.Positions.Get(tx, eventlog.MembersStream)
		must.Zero(t, position)
		read, pending := b.LogReads.Get(tx, eventlog.MembersStream)
		must.True(t, pending)
		must.Eq(t, 1, read.From)
	}, b.Positions.Read(), b.LogReads.Read())
}

// setEra records an era that another reader of the node's store has observed.
func (h *testNode) setEra(era uint64) {
	h.tables.Board.Do(func(tx *blackboard.Tx) { h.tables.StoreEra.Set(tx, era) }, h.tables.StoreEra.Write())
}
