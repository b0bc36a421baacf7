// Package stepped is a deterministic discrete-event simulation of configuration
// distribution. It runs the configuration controllers of many nodes on one
// goroutine and a virtual clock, and replaces the network between the nodes and
// the platform's log by a queue of timed events with delay, message loss and
// partitions. A run is determined by its seed.
//
// It is used by tests and to measure the distribution. Membership is not
// simulated: Fleet.UpdateMembership writes the running nodes to the member table
// of every node.
package stepped

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/decide/distribution"
	"github.com/marigoldshelf/marigoldshelf/decide/snapshot"
	"github.com/marigoldshelf/marigoldshelf/encoding/distrib"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/eventlog/standin"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// Options configures a Fleet.
type Options struct {
	Seed uint64
	// MinDelay is the minimum one-way delay of a message; jitter adds up to the
	// same again.
	MinDelay time.Duration
	// LogOptions configures the platform's log.
	LogOptions standin.Options
	// Distribution and Snapshots are the settings of every node.
	Distribution distribution.Config
	Snapshots    snapshot.Policy
	// CheckLockOrder makes the blackboards check their lock order.
	CheckLockOrder bool
}

// Fleet is a set of simulated nodes and the platform's log. It is not safe for
// concurrent use.
type Fleet struct {
	Clock *clock.Virtual
	Log   *standin.Store
	// Nodes holds the running nodes.
	Nodes map[mesh.HostID]*Node
	// EventCounts holds the sum of the nodes' event counters by event and reason.
	EventCounts map[[2]string]int
	// Traffic totals the messages sent. A caller can reset it between phases.
	Traffic Traffic
	// LossRate is the ratio of message exchanges that are lost, 0 to 1; the
	// requester times out.
	LossRate float64
	// CorruptionRate is the ratio of pull answers in which one bit is flipped, 0 to
	// 1.
	CorruptionRate float64
	// Partitioned reports whether messages from one host to another are lost; nil
	// for no partition. The platform is the host "". An exchange is lost when either
	// direction is.
	Partitioned func(from, to mesh.HostID) bool

	options    Options
	random     *rand.Rand
	events     eventHeap
	sequence   uint64
	heldReads  []*heldRead
	startCount uint64
}

// Traffic counts messages and their encoded bytes, without HTTP overhead.
type Traffic struct {
	// Pulls counts answered pulls between nodes. PullBytes is the size of their
	// requests and answers.
	Pulls, PullBytes int
	// ServedPullBytes holds the size of the pulls that each node answered, requests
	// and answers.
	ServedPullBytes map[mesh.HostID]int
	// ServedPulls counts the pulls that each node answered.
	ServedPulls map[mesh.HostID]int
	// LogReads counts the reads of records and of bounds from the platform's log,
	// and LogAppends the appends. LogReadBytes is the size of the records read.
	LogReads, LogReadBytes, LogAppends int
}

// epoch is the start time of every simulation.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// New returns a Fleet without nodes.
func New(o Options) *Fleet {
	virtual := clock.NewVirtual(epoch)
	return &Fleet{
		Clock:       virtual,
		Log:         standin.New(virtual, o.LogOptions),
		Nodes:       make(map[mesh.HostID]*Node),
		EventCounts: make(map[[2]string]int),
		Traffic:     Traffic{ServedPullBytes: make(map[mesh.HostID]int), ServedPulls: make(map[mesh.HostID]int)},
		options:     o,
		random:      rand.New(rand.NewPCG(o.Seed, o.Seed)),
	}
}

// Hosts returns the host IDs of the running nodes, sorted.
func (f *Fleet) Hosts() []mesh.HostID {
	hosts := make([]mesh.HostID, 0, len(f.Nodes))
	for host := range f.Nodes {
		hosts = append(hosts, host)
	}
	slices.Sort(hosts)
	return hosts
}

func (f *Fleet) countEvent(event string, reason verdict.Reason) {
	f.EventCounts[[2]string{event, string(reason)}]++
}

// Append writes a record to the platform's log without delay, completes held
// reads of the stream, and returns the record's offset. The offset is zero when
// the log rejects the record.
func (f *Fleet) Append(s eventlog.Stream, data []byte) uint64 {
	offset, err := f.Log.Append(context.Background(), s, data)
	if err != nil {
		return 0
	}
	f.retryHeldReads(s)
	return offset
}

// event is a scheduled function call.
type event struct {
	due      time.Time
	sequence uint64 // orders events with the same due time by creation
	run      func()
}

func (f *Fleet) schedule(d time.Duration, run func()) {
	f.sequence++
	heap.Push(&f.events, event{due: f.Clock.Now().Add(d), sequence: f.sequence, run: run})
}

// RunFor advances the simulation by d.
func (f *Fleet) RunFor(d time.Duration) {
	end := f.Clock.Now().Add(d)
	for len(f.events) > 0 && !f.events[0].due.After(end) {
		next := heap.Pop(&f.events).(event)
		f.Clock.Advance(next.due.Sub(f.Clock.Now()))
		next.run()
	}
	f.Clock.Advance(end.Sub(f.Clock.Now()))
}

// RunUntil advances the simulation by at most d, until condition returns true.
// It evaluates condition first and after each event, and reports whether it
// became true.
func (f *Fleet) RunUntil(d time.Duration, condition func() bool) bool {
	end := f.Clock.Now().Add(d)
	for !condition() {
		if len(f.events) == 0 || f.events[0].due.After(end) {
			f.Clock.Advance(end.Sub(f.Clock.Now()))
			return condition()
		}
		next := heap.Pop(&f.events).(event)
		f.Clock.Advance(next.due.Sub(f.Clock.Now()))
		next.run()
	}
	return true
}

// oneWayDelay draws the delay of one message.
func (f *Fleet) oneWayDelay() time.Duration {
	return f.options.MinDelay + time.Duration(f.random.Float64()*float64(f.options.MinDelay))
}

// isLost reports whether an exchange between two hosts is lost, by the loss rate
// or a partition.
func (f *Fleet) isLost(a, b mesh.HostID) bool {
	if f.LossRate > 0 && f.random.Float64() < f.LossRate {
		return true
	}
	return f.Partitioned != nil && (f.Partitioned(a, b) || f.Partitioned(b, a))
}

// corruptAnswer flips a bit in the data of a record or of the snapshot chunk of
// a pull answer, with the probability f.CorruptionRate.
func (f *Fleet) corruptAnswer(m *distrib.PullAnswer) {
	if f.CorruptionRate == 0 || f.random.Float64() >= f.CorruptionRate {
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
