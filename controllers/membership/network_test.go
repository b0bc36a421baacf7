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
	// stride is how far the virtual clock moves at once.
	stride      = 10 * time.Millisecond
	settleLimit = 1_000_000
	testSecret  = "a secret of the peers"
)

// network carries encoded datagrams between nodes that are stepped by hand,
// and stands in for the stream of announcements.
type network struct {
	t       testing.TB
	clock   *clock.Virtual
	random  *rand.Rand
	codec   probe.Codec
	options []blackboard.Option

	nodes   []*host
	flying  []packet
	loss    float64
	cut     func(from, to *host) bool
	drop    func(to *host, m membership.Message) bool
	records []eventlog.Record
	logDown bool
	appends []time.Time
	reads   int
	bytes   int
	packets int
}

type packet struct {
	from, to string
	data     []byte
	due      time.Time
}

// host is one node of the network.
type host struct {
	self    mesh.Member
	seeds   []string
	tables  *tables.Tables
	pool    *controller.Pool
	started time.Time
	inbox   uint64
	paused  bool
	down    bool
	events  map[controllers.Event]int
	bytes   int
	asked   time.Time // when the platform got the read that waits
	asking  bool      // the platform has something to answer
	sending bool      // the outbox holds something
	// afterStep, if there is one, is called when the node was stepped.
	afterStep func()
}

func newNetwork(t testing.TB, seed uint64, options ...blackboard.Option) *network {
	return &network{
		t: t, clock: clock.NewVirtual(time.Unix(1_700_000_000, 0)), options: options,
		random: rand.New(rand.NewPCG(seed, 1)), codec: probe.NewCodec(testSecret),
		cut:  func(_, _ *host) bool { return false },
		drop: func(*host, membership.Message) bool { return false },
	}
}

// add starts hosts in a zone.
func (n *network) add(zone mesh.Zone, count int) {
	for i := range count {
		number := len(n.nodes) + 1
		h := &host{self: mesh.Member{
			Host: mesh.HostID(fmt.Sprintf("%s-%02d", zone, i+1)), Zone: zone, Service: "desk", Region: "north",
			PeerAddress:  fmt.Sprintf("10.0.%d.%d:7200", number/250, number%250+1),
			ProbeAddress: fmt.Sprintf("10.0.%d.%d:7200", number/250, number%250+1),
		}}
		n.nodes = append(n.nodes, h)
		n.start(h, mesh.Incarnation(n.clock.Now().UnixNano()))
	}
}

// start begins a new life of a host, as a process that lost everything.
func (n *network) start(h *host, life mesh.Incarnation) {
	h.self.State, h.self.Incarnation, h.self.Life = mesh.Alive, life, life
	h.tables = tables.New(blackboard.New(n.options...))
	h.pool = controller.New(n.clock, 1)
	h.started, h.down, h.paused = n.clock.Now(), false, false
	h.asked, h.sending = time.Time{}, false
	h.tables.MessagesOut.Watch(func(uint64) { h.sending = true })
	h.tables.LogReads.Watch(func(eventlog.Stream) { h.asking = true })
	h.tables.Appends.Watch(func(string) { h.asking = true })
	h.events = make(map[controllers.Event]int)
	controllers.Register(h.pool, h.tables, controllers.Config{
		Self: h.self, Times: membership.DefaultConfig(), Seeds: h.seeds,
		Random: rand.New(rand.NewPCG(n.random.Uint64(), 2)),
		Count:  func(e controllers.Event) { h.events[e]++ },
	})
}

// run moves the clock by d.
func (n *network) run(d time.Duration) {
	for end := n.clock.Now().Add(d); n.clock.Now().Before(end); {
		n.step()
	}
}

// until runs until holds is true and returns how long that took; it fails the
// test after limit.
func (n *network) until(what string, limit time.Duration, holds func() bool) time.Duration {
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
	n.clock.Advance(stride)
	n.deliver()
	for _, h := range n.nodes {
		if h.down || h.paused {
			continue
		}
		h.pool.Settle(settleLimit)
		if h.asking {
			n.platform(h)
		}
		if h.sending {
			n.collect(h)
		}
		if h.afterStep != nil {
			h.afterStep()
		}
	}
}

// collect takes a node's outbox and sets its datagrams flying.
func (n *network) collect(h *host) {
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
				n.flying = append(n.flying, packet{h.self.ProbeAddress, e.Address, data, n.clock.Now().Add(time.Millisecond)})
			}
			return true
		})
	}, b.MessagesOut.Write())
	h.sending = false
}

// deliver puts the datagrams that are due into inboxes; those for a paused
// node wait in its socket.
func (n *network) deliver() {
	due := n.flying
	n.flying = nil
	byAddress := make(map[string]*host, len(n.nodes))
	for _, h := range n.nodes {
		byAddress[h.self.ProbeAddress] = h
	}
	for _, p := range due {
		to, from := byAddress[p.to], byAddress[p.from]
		if to == nil || to.down || from != nil && n.cut(from, to) {
			continue
		}
		if to.paused || p.due.After(n.clock.Now()) {
			n.flying = append(n.flying, p)
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

// platform answers what a node asks of the log.
func (n *network) platform(h *host) {
	b := h.tables
	h.asking = false
	waits := false
	b.Board.Do(func(tx *blackboard.Tx) {
		if read, found := b.LogReads.Get(tx, eventlog.Members); found {
			waits = !n.read(tx, h, read)
		}
		b.Appends.Each(tx, func(id string, a tables.Append) bool {
			b.Appends.Delete(tx, id)
			if n.logDown {
				b.AppendsDone.Put(tx, id, tables.AppendDone{Err: eventlog.ErrUnavailable})
				return true
			}
			offset := uint64(len(n.records) + 1)
			n.records = append(n.records, eventlog.Record{Offset: offset, Data: []byte(a.Data)})
			n.appends = append(n.appends, n.clock.Now())
			b.AppendsDone.Put(tx, id, tables.AppendDone{Offset: offset})
			return true
		})
	}, b.LogReads.Write(), b.LogBatches.Write(), b.Appends.Write(), b.AppendsDone.Write())
	h.asking = waits
}

// read answers a read, or returns false while it has to wait.
func (n *network) read(tx *blackboard.Tx, h *host, read tables.LogRead) bool {
	batch := tables.LogBatch{From: read.From}
	if h.asked.IsZero() {
		h.asked = n.clock.Now()
	}
	switch {
	case n.logDown:
		batch.Err = eventlog.ErrUnavailable
	case read.From <= uint64(len(n.records)):
		batch.Records = n.records[read.From-1:]
	case n.clock.Now().Sub(h.asked) < read.Wait:
		return false
	}
	n.reads++
	h.asked = time.Time{}
	h.tables.LogReads.Delete(tx, eventlog.Members)
	h.tables.LogBatches.Put(tx, eventlog.Members, batch)
	return true
}

// state returns what a node's Members says of a host; zero when it is unknown.
func (h *host) state(id mesh.HostID) (m mesh.Member) {
	b := h.tables
	b.Board.Do(func(tx *blackboard.Tx) { m, _ = b.Members.Get(tx, id) }, b.Members.Read())
	return m
}

// everyone reports whether every node that runs, but the one named, sees a
// host in a state.
func (n *network) everyone(id mesh.HostID, state mesh.MemberState) bool {
	for _, h := range n.nodes {
		if !h.down && !h.paused && h.self.Host != id && h.state(id).State != state {
			return false
		}
	}
	return true
}

// whole reports whether every node sees every node alive in its present life.
func (n *network) whole() bool {
	for _, h := range n.nodes {
		if h.down {
			continue
		}
		for _, other := range n.nodes {
			m := h.state(other.self.Host)
			if !other.down && (m.State != mesh.Alive || m.Life != other.self.Life) {
				return false
			}
		}
	}
	return true
}

// count sums an event over the nodes.
func (n *network) count(e controllers.Event) (sum int) {
	for _, h := range n.nodes {
		sum += h.events[e]
	}
	return sum
}
