package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/controller"
	controllers "github.com/marigoldshelf/marigoldshelf/controllers/membership"
	"github.com/marigoldshelf/marigoldshelf/decide/membership"
	"github.com/marigoldshelf/marigoldshelf/encoding/probe"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

const (
	// clockStep is how far the virtual clock advances in one step.
	clockStep      = 10 * time.Millisecond
	maxSettleCalls = 1_000_000
	testSecret     = "a secret of the peers"
)

// network simulates a fleet on a virtual clock: it steps the nodes, delivers their
// encoded datagrams and serves the stream of announcements.
type network struct {
	t       testing.TB
	clock   *clock.Virtual
	random  *rand.Rand
	codec   probe.Codec
	options []blackboard.Option

	nodes       []*testNode
	inFlight    []packet
	loss        float64
	partitioned func(from, to *testNode) bool
	drop        func(to *testNode, m membership.Message) bool
	records     []eventlog.Record
	logDown     bool
	era         uint64 // era of the log; zero for a log without eras
	appends     []time.Time
	reads       int
	bytes       int
	packets     int
}

type packet struct {
	from, to string
	data     []byte
	due      time.Time
}

// testNode is a simulated node.
type testNode struct {
	self            mesh.Member
	seeds           []string
	tables          *tables.Tables
	pool            *controller.Pool
	started         time.Time
	inbox           uint64
	paused          bool
	down            bool
	events          map[controllers.Event]int
	bytes           int
	readSince       time.Time // when the platform received the pending read; zero for none
	platformPending bool      // a read or append waits for the platform
	outboxPending   bool      // the outbox has messages
	// afterStep is called after each step of the node; nil for none.
	afterStep func()
}

func newNetwork(t testing.TB, seed uint64, options ...blackboard.Option) *network {
	return &network{
		t: t, clock: clock.NewVirtual(time.Unix(1_700_000_000, 0)), options: options,
		random: rand.New(rand.NewPCG(seed, 1)), codec: probe.NewCodec(testSecret),
		partitioned: func(_, _ *testNode) bool { return false },
		drop:        func(*testNode, membership.Message) bool { return false },
	}
}

// add starts count hosts in a zone.
func (n *network) add(zone mesh.Zone, count int) {
	for i := range count {
		number := len(n.nodes) + 1
		h := &testNode{self: mesh.Member{
			Host: mesh.HostID(fmt.Sprintf("%s-%02d", zone, i+1)), Zone: zone, Service: "desk", Region: "north",
			PeerAddress:  fmt.Sprintf("10.0.%d.%d:7200", number/250, number%250+1),
			ProbeAddress: fmt.Sprintf("10.0.%d.%d:7200", number/250, number%250+1),
		}}
		n.nodes = append(n.nodes, h)
		n.start(h, mesh.Incarnation(n.clock.Now().UnixNano()))
	}
}

// start starts a host's process with empty tables.
func (n *network) start(h *testNode, incarnation mesh.Incarnation) {
	h.self.State, h.self.Incarnation, h.self.StartIncarnation = mesh.Alive, incarnation, incarnation
	h.tables = tables.New(blackboard.New(n.options...))
	h.pool = controller.NewPool(n.clock, 1)
	h.started, h.down, h.paused = n.clock.Now(), false, false
	h.readSince, h.outboxPending = time.Time{}, false
	h.tables.MessagesOut.Watch(func(uint64) { h.outboxPending = true })
	h.tables.LogReads.Watch(func(eventlog.Stream) { h.platformPending = true })
	h.tables.Appends.Watch(func(string) { h.platformPending = true })
	h.events = make(map[controllers.Event]int)
	controllers.Register(h.pool, h.tables, controllers.Config{
		Self: h.self, Timing: membership.DefaultConfig(), Seeds: h.seeds,
		Random: rand.New(rand.NewPCG(n.random.Uint64(), 2)),
		Count:  func(e controllers.Event) { h.events[e]++ },
	})
}

// run steps the fleet until the clock has advanced by d.
func (n *network) run(d time.Duration) {
	for end := n.clock.Now().Add(d); n.clock.Now().Before(end); {
		n.step()
	}
}

// runUntil steps the fleet until holds returns true and returns how long that
// took. It fails the test after limit.
func (n *network) runUntil(what string, limit time.Duration, holds func() bool) time.Duration {
	n.t.Helper()
	start := n.clock.Now()
	for !holds() {
		if n.clock.Now().Sub(start) > limit {
			n.t.Fatalf("not within %v: %s", limit, what)
		}
		n.step()
	}
	return n.clock.Now().Sub(start)
}

func (n *network) step() {
	n.clock.Advance(clockStep)
	n.deliver()
	for _, h := range n.nodes {
		if h.down || h.paused {
			continue
		}
		h.pool.StepUntilIdle(maxSettleCalls)
		if h.platformPending {
			n.servePlatform(h)
		}
		if h.outboxPending {
			n.sendOutbox(h)
		}
		if h.afterStep != nil {
			h.afterStep()
		}
	}
}

// sendOutbox moves the messages of a node's outbox into transit; some are lost.
func (n *network) sendOutbox(h *testNode) {
	b := h.tables
	b.Board.Do(func(tx *blackboard.Tx) {
		b.MessagesOut.Each(tx, func(number uint64, e membership.Envelope) bool {
			b.MessagesOut.Delete(tx, number)
			data, err := n.codec.Encode(e.Message)
			must.NoError(n.t, err)
			n.bytes += len(data)
			n.packets++
			h.bytes += len(data)
			if n.random.Float64() >= n.loss {
				n.inFlight = append(n.inFlight, packet{h.self.ProbeAddress, e.Address, data, n.clock.Now().Add(time.Millisecond)})
			}
			return true
		})
	}, b.MessagesOut.Write())
	h.outboxPending = false
}

// deliver puts the datagrams that are due into the inboxes. Datagrams for a paused
// node stay in transit, as in a socket buffer.
func (n *network) deliver() {
	due := n.inFlight
	n.inFlight = nil
	byAddress := make(map[string]*testNode, len(n.nodes))
	for _, h := range n.nodes {
		byAddress[h.self.ProbeAddress] = h
	}
	for _, p := range due {
		to, from := byAddress[p.to], byAddress[p.from]
		if to == nil || to.down || from != nil && n.partitioned(from, to) {
			continue
		}
		if to.paused || p.due.After(n.clock.Now()) {
			n.inFlight = append(n.inFlight, p)
			continue
		}
		message, err := n.codec.Decode(p.data)
		must.NoError(n.t, err)
		if n.drop(to, message) {
			continue
		}
		to.bytes += len(p.data)
		to.inbox++
		b := to.tables
		b.Board.Do(func(tx *blackboard.Tx) {
			b.MessagesIn.Put(tx, to.inbox, membership.Envelope{Address: p.from, Message: message})
		}, b.MessagesIn.Write())
	}
}

// servePlatform completes a node's pending read and appends.
func (n *network) servePlatform(h *testNode) {
	b := h.tables
	h.platformPending = false
	waits := false
	b.Board.Do(func(tx *blackboard.Tx) {
		if read, found := b.LogReads.Get(tx, eventlog.MembersStream); found {
			waits = !n.completeRead(tx, h, read)
		}
		b.Appends.Each(tx, func(id string, a tables.Append) bool {
			b.Appends.Delete(tx, id)
			if n.logDown {
				b.AppendResults.Put(tx, id, tables.AppendResult{Err: eventlog.ErrUnavailable})
				return true
			}
			offset := uint64(len(n.records) + 1)
			n.records = append(n.records, eventlog.Record{Offset: offset, Data: []byte(a.Data)})
			n.appends = append(n.appends, n.clock.Now())
			b.AppendResults.Put(tx, id, tables.AppendResult{Offset: offset, RequestEra: a.Era, Era: n.era})
			return true
		})
	}, b.LogReads.Write(), b.LogBatches.Write(), b.Appends.Write(), b.AppendResults.Write())
	h.platformPending = waits
}

// completeRead completes a read. It returns false while the read waits for records.
func (n *network) completeRead(tx *blackboard.Tx, h *testNode, read tables.LogRead) bool {
	batch := tables.LogBatch{From: read.From, RequestEra: read.Era, Era: n.era}
	if h.readSince.IsZero() {
		h.readSince = n.clock.Now()
	}
	switch {
	case n.logDown:
		batch.Err, batch.Era = eventlog.ErrUnavailable, 0
	case n.era > 0 && read.From > uint64(len(n.records))+1:
		batch.Err = &eventlog.ExpiredError{Oldest: 1}
	case read.From <= uint64(len(n.records)):
		batch.Records = n.records[read.From-1:]
	case n.clock.Now().Sub(h.readSince) < read.Wait:
		return false
	}
	n.reads++
	h.readSince = time.Time{}
	h.tables.LogReads.Delete(tx, eventlog.MembersStream)
	h.tables.LogBatches.Put(tx, eventlog.MembersStream, batch)
	return true
}

// member returns the row of a host in this node's Members; zero if it is unknown.
func (h *testNode) member(id mesh.HostID) (m mesh.Member) {
	b := h.tables
	b.Board.Do(func(tx *blackboard.Tx) { m, _ = b.Members.Get(tx, id) }, b.Members.Read())
	return m
}

// allSee reports whether every running node, except the host itself, sees the host
// in state.
func (n *network) allSee(id mesh.HostID, state mesh.MemberState) bool {
	for _, h := range n.nodes {
		if !h.down && !h.paused && h.self.Host != id && h.member(id).State != state {
			return false
		}
	}
	return true
}

// converged reports whether every running node sees every running node as alive
// since its last start.
func (n *network) converged() bool {
	for _, h := range n.nodes {
		if h.down {
			continue
		}
		for _, other := range n.nodes {
			m := h.member(other.self.Host)
			if !other.down && (m.State != mesh.Alive || m.StartIncarnation != other.self.StartIncarnation) {
				return false
			}
		}
	}
	return true
}

// eventCount returns how often an event was counted on all nodes.
func (n *network) eventCount(e controllers.Event) (sum int) {
	for _, h := range n.nodes {
		sum += h.events[e]
	}
	return sum
}
