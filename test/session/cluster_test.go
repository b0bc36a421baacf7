// Package session_test sends requests of operators and customers to the operators'
// API of several nodes, and checks the responses. The nodes' pools are stepped on a
// virtual clock and use the stand-in of the platform's log.
package session_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/controllers/activate"
	"github.com/marigoldshelf/marigoldshelf/controllers/changes"
	"github.com/marigoldshelf/marigoldshelf/controllers/submit"
	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/decide/distribution"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/eventlog/standin"
	"github.com/marigoldshelf/marigoldshelf/front/operator"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/metrics"
	"github.com/marigoldshelf/marigoldshelf/outbox"
	"github.com/marigoldshelf/marigoldshelf/settings"
	"github.com/marigoldshelf/marigoldshelf/tables"
	"github.com/uber-go/tally/v4"
)

// maxSettleCalls limits the controller calls of one pool without the clock
// advancing, in case controllers requeue each other without end.
const maxSettleCalls = 10_000

// cluster holds the platform's log and the nodes.
type cluster struct {
	clock *clock.Virtual
	store *standin.Store
	// refuseAppends makes every append fail with eventlog.ErrRefused, without
	// effect.
	refuseAppends bool
	// lastOffset is the offset of the log's last record.
	lastOffset uint64
	nodes      []*testNode
}

// testNode is the part of a node that handles configuration changes.
type testNode struct {
	name   string
	tables *tables.Tables
	pool   *controller.Pool
	ioPool *controller.Pool
	api    http.Handler
	// readsBlocked stops the node's reads of the log.
	readsBlocked bool
	// appendsBlocked makes the node's appends hang.
	appendsBlocked bool
	// appended has the offsets of the records that the node appended to the log,
	// including those whose responses were lost.
	appended []uint64
}

// startTime is the virtual time at the start of every test.
var startTime = time.Date(2026, 6, 1, 9, 0, 0, 0, time.UTC)

func newCluster(t *testing.T, names ...string) *cluster {
	c := &cluster{clock: clock.NewVirtual(startTime)}
	c.store = standin.New(c.clock, standin.Options{MaxBatchRecords: 3})
	for _, name := range names {
		c.nodes = append(c.nodes, c.newNode(t, name))
	}
	return c
}

func (c *cluster) newNode(t *testing.T, name string) *testNode {
	n := &testNode{
		name:   name,
		tables: tables.New(blackboard.New(blackboard.PanicOnNested())),
		pool:   controller.NewPool(c.clock, 1),
		ioPool: controller.NewPool(c.clock, 1),
	}
	meter := metrics.New(tally.NoopScope)
	n.tables.Board.Do(func(tx *blackboard.Tx) {
		n.tables.Floor.Set(tx, distribution.Floor{Known: true}) // nothing was served before
	}, n.tables.Floor.Write())
	activate.Register(n.pool, n.tables, meter.Count)
	submit.Register(n.pool, n.tables, meter.Count)
	outbox.Serve(context.Background(), n.ioPool, n.tables.Board, "append", n.tables.Appends, n.tables.AppendResults,
		func(ctx context.Context, _ string, a tables.Append) tables.AppendResult { return c.append(ctx, n, a) })
	api := &operator.API{
		Tables: n.tables, Clock: c.clock, Self: mesh.Member{Host: mesh.HostID(name), Zone: "fes"}, Meter: meter,
		NewID: func() string { return "no-id" },
		Credentials: []settings.Credential{
			{Name: "nadia", Role: change.Operator, Token: "nadia"},
			{Name: "omar", Role: change.Operator, Token: "omar"},
			{Name: "samir", Role: change.CustomerRole, Customer: "menders", Token: "samir"},
			{Name: "liv", Role: change.CustomerRole, Customer: "stickers", Token: "liv"},
		},
	}
	var err error
	n.api, err = api.Handler()
	must.NoError(t, err)
	return n
}

// append appends a record to the log for a node, as its I/O worker.
func (c *cluster) append(ctx context.Context, n *testNode, a tables.Append) tables.AppendResult {
	if c.refuseAppends {
		return tables.AppendResult{Err: eventlog.ErrRefused}
	}
	offset, err := c.store.Append(ctx, a.Stream, []byte(a.Data))
	if !c.store.Faults().Down {
		c.lastOffset++
		n.appended = append(n.appended, c.lastOffset)
	}
	return tables.AppendResult{Offset: offset, Err: err}
}

// settle runs the controllers and I/O workers of all nodes, and their reads of the
// log, until they have nothing to do at the current time.
func (c *cluster) settle() {
	for busy := true; busy; {
		busy = false
		for _, n := range c.nodes {
			calls := n.pool.StepUntilIdle(maxSettleCalls)
			if !n.appendsBlocked {
				calls += n.ioPool.StepUntilIdle(maxSettleCalls)
			}
			busy = busy || calls > 0 || c.readBatch(n)
		}
	}
}

// readBatch reads one batch of the log and applies it to the node's state. It
// reports whether there were new records.
func (c *cluster) readBatch(n *testNode) bool {
	if n.readsBlocked {
		return false
	}
	consumer := changes.Consumer{Tables: n.tables}
	records, err := c.store.Read(context.Background(), eventlog.ConfigStream, n.tables.Changes.Load().Offset+1, 0)
	if err != nil || len(records) == 0 {
		return false
	}
	n.tables.Board.Do(func(tx *blackboard.Tx) { consumer.Apply(tx, c.clock.Now(), records) }, consumer.Access()...)
	return true
}

// advance advances the clock by d and runs the nodes at the time of each timer.
func (c *cluster) advance(d time.Duration) {
	end := c.clock.Now().Add(d)
	for {
		c.settle()
		next, pending := c.nextTimer()
		if !pending || next.After(end) {
			break
		}
		c.clock.Advance(next.Sub(c.clock.Now()))
	}
	c.clock.Advance(end.Sub(c.clock.Now()))
	c.settle()
}

// nextTimer returns the time of the earliest timer of all nodes.
func (c *cluster) nextTimer() (first time.Time, pending bool) {
	for _, n := range c.nodes {
		if next, any := n.pool.NextTimer(); any && (!pending || next.Before(first)) {
			first, pending = next, true
		}
	}
	return first, pending
}

// pendingRows returns the number of rows in the node's submission and append
// tables.
func (n *testNode) pendingRows() (rows int) {
	t := n.tables
	t.Board.Do(func(tx *blackboard.Tx) {
		rows = t.Submissions.Len(tx) + t.Appends.Len(tx) + t.AppendResults.Len(tx)
	}, t.Submissions.Read(), t.Appends.Read(), t.AppendResults.Read())
	return rows
}
