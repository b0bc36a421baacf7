// Package stepped runs the configuration part of many nodes on one goroutine
// and a virtual clock: their boards and pools are stepped by hand, and what
// they send each other and the platform is a queue of deliveries with a delay,
// a loss rate and a cut. The same seed gives the same run.
//
// It is for tests and for measuring the distribution; membership is told to
// the nodes, not found out by them.
package stepped

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/decide/snapshot"
	"github.com/marigoldshelf/marigoldshelf/decide/spread"
	"github.com/marigoldshelf/marigoldshelf/encoding/distrib"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/eventlog/standin"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// Options sets a fleet up.
type Options struct {
	Seed uint64
	// Delay is the time that a message takes one way, up to twice that with
	// jitter.
	Delay time.Duration
	// Log is the platform's log.
	Log standin.Options
	// Spread and Snapshots are handed to every node.
	Spread    spread.Config
	Snapshots snapshot.Policy
	// Check makes the boards check the lock order.
	Check bool
}

// Fleet is a number of nodes and the platform's log.
type Fleet struct {
	Clock *clock.Virtual
	Log   *standin.Store
	Nodes map[mesh.HostID]*Node
	// Counts has the nodes' counters, summed, by event and reason.
	Counts map[[2]string]int
	// Traffic sums what was sent.
	Traffic Traffic
	// Loss is the share of messages that are lost; the asking side times out.
	Loss float64
	// Garbled is the share of answers between nodes in which a byte is changed.
	Garbled float64
	// Cut says whether messages from one host to another are lost; the
	// platform is the host "".
	Cut func(from, to mesh.HostID) bool

	options  Options
	random   *rand.Rand
	events   eventHeap
	sequence uint64
	waiting  []*logWait
	starts   uint64
}

// Traffic counts messages and their encoded bytes, without what HTTP adds.
type Traffic struct {
	// Pulls and PullBytes are requests to other nodes and their answers.
	Pulls, PullBytes int
	// Asked has the bytes that each node sent and received as the one asked.
	Asked map[mesh.HostID]int
	// AskedTimes counts those exchanges.
	AskedTimes map[mesh.HostID]int
	// Reads, ReadBytes and Appends are requests to the platform.
	Reads, ReadBytes, Appends int
}

// epoch is the instant at which every run starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// New returns a fleet without nodes.
func New(o Options) *Fleet {
	virtual := clock.NewVirtual(epoch)
	return &Fleet{
		Clock:   virtual,
		Log:     standin.New(virtual, o.Log),
		Nodes:   make(map[mesh.HostID]*Node),
		Counts:  make(map[[2]string]int),
		Traffic: Traffic{Asked: make(map[mesh.HostID]int), AskedTimes: make(map[mesh.HostID]int)},
		options: o,
		random:  rand.New(rand.NewPCG(o.Seed, o.Seed)),
	}
}

// Hosts returns the names of the running nodes, in order.
func (f *Fleet) Hosts() []mesh.HostID {
	hosts := make([]mesh.HostID, 0, len(f.Nodes))
	for host := range f.Nodes {
		hosts = append(hosts, host)
	}
	slices.Sort(hosts)
	return hosts
}

func (f *Fleet) count(event string, reason verdict.Reason) {
	f.Counts[[2]string{event, string(reason)}]++
}

// Append writes to the log as an operator's node would, past the delays, and
// returns the record's offset; zero when the log refused it.
func (f *Fleet) Append(s eventlog.Stream, data []byte) uint64 {
	offset, err := f.Log.Append(context.Background(), s, data)
	if err != nil {
		return 0
	}
	f.wakeReads(s)
	return offset
}

// event is something that happens at an instant.
type event struct {
	due      time.Time
	sequence uint64 // ties are broken by the order of making
	run      func()
}

func (f *Fleet) after(d time.Duration, run func()) {
	f.sequence++
	heap.Push(&f.events, event{due: f.Clock.Now().Add(d), sequence: f.sequence, run: run})
}

// Run lets d pass.
func (f *Fleet) Run(d time.Duration) {
	end := f.Clock.Now().Add(d)
	for len(f.events) > 0 && !f.events[0].due.After(end) {
		next := heap.Pop(&f.events).(event)
		f.Clock.Advance(next.due.Sub(f.Clock.Now()))
		next.run()
	}
	f.Clock.Advance(end.Sub(f.Clock.Now()))
}

// RunUntil lets time pass until holds, which is looked at after each event,
// for at most d. It reports whether it held.
func (f *Fleet) RunUntil(d time.Duration, holds func() bool) bool {
	end := f.Clock.Now().Add(d)
	for !holds() {
		if len(f.events) == 0 || f.events[0].due.After(end) {
			f.Clock.Advance(end.Sub(f.Clock.Now()))
			return holds()
		}
		next := heap.Pop(&f.events).(event)
		f.Clock.Advance(next.due.Sub(f.Clock.Now()))
		next.run()
	}
	return true
}

// oneWay is how long a message takes.
func (f *Fleet) oneWay() time.Duration {
	return f.options.Delay + time.Duration(f.random.Float64()*float64(f.options.Delay))
}

// lost reports whether an exchange between two hosts is lost.
func (f *Fleet) lost(a, b mesh.HostID) bool {
	if f.Loss > 0 && f.random.Float64() < f.Loss {
		return true
	}
	return f.Cut != nil && (f.Cut(a, b) || f.Cut(b, a))
}

// garble changes a byte of an answer now and then.
func (f *Fleet) garble(m *distrib.PullAnswer) {
	if f.Garbled == 0 || f.random.Float64() >= f.Garbled {
		return
	}
	data := m.GetChunk().GetData()
	if len(m.Records) > 0 {
		data = m.Records[f.random.IntN(len(m.Records))].Data
	}
	if len(data) > 0 {
		data[f.random.IntN(len(data))] ^= 1
	}
}

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].due.Equal(h[j].due) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].due.Before(h[j].due)
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}
