// Package session runs whole sessions of operators and customers against nodes
// whose pools are stepped by hand on a virtual clock, over the stand-in of the
// platform's log.
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
	"github.com/marigoldshelf/marigoldshelf/decide/spread"
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

// settleLimit ends a test whose controllers wake each other for ever.
const settleLimit = 10_000

// world is a platform and some nodes.
type world struct {
	clock *clock.Virtual
	store *standin.Store
	// refuse makes the platform refuse appends for certain.
	refuse bool
	// length is the offset of the log's last record.
	length uint64
	nodes  []*testNode
}

// testNode is the part of a node that has to do with changes.
type testNode struct {
	name   string
	tables *tables.Tables
	pool   *controller.Pool
	ioPool *controller.Pool
	api    http.Handler
	// cut keeps the node from reading the log.
	cut bool
	// stuck makes the node's appends hang.
	stuck bool
	// appended has the offsets of the records that the node brought into the
	// log, answered or not.
	appended []uint64
}

var began = time.Date(2026, 6, 1, 9, 0, 0, 0, time.UTC)

func newWorld(t *testing.T, names ...string) *world {
	w := &world{clock: clock.NewVirtual(began)}
	w.store = standin.New(w.clock, standin.Options{Batch: 3})
	for _, name := range names {
		w.nodes = append(w.nodes, w.newNode(t, name))
	}
	return w
}

func (w *world) newNode(t *testing.T, name string) *testNode {
	n := &testNode{
		name:   name,
		tables: tables.New(blackboard.New(blackboard.CheckOrder())),
		pool:   controller.New(w.clock, 1),
		ioPool: controller.New(w.clock, 1),
	}
	meter := metrics.New(tally.NoopScope)
	n.tables.Board.Do(func(tx *blackboard.Tx) {
		n.tables.Floor.Set(tx, spread.Floor{Known: true}) // nothing was served before
	}, n.tables.Floor.Write())
	activate.Register(n.pool, n.tables, meter.Count)
	submit.Register(n.pool, n.tables, meter.Count)
	outbox.Serve(context.Background(), n.ioPool, n.tables.Board, "append", n.tables.Appends, n.tables.AppendsDone,
		func(ctx context.Context, _ string, a tables.Append) tables.AppendDone { return w.append(ctx, n, a) })
	api := &operator.API{
		Tables: n.tables, Clock: w.clock, Self: mesh.Member{Host: mesh.HostID(name), Zone: "fes"}, Meter: meter,
		NewID: func() string { return "no-id" },
		Logins: []settings.Credential{
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

func (w *world) append(ctx context.Context, n *testNode, a tables.Append) tables.AppendDone {
	if w.refuse {
		return tables.AppendDone{Err: eventlog.ErrRefused}
	}
	offset, err := w.store.Append(ctx, a.Stream, []byte(a.Data))
	if !w.store.Faults().Down {
		w.length++
		n.appended = append(n.appended, w.length)
	}
	return tables.AppendDone{Offset: offset, Err: err}
}

// settle lets every node do what it can at the present instant.
func (w *world) settle() {
	for busy := true; busy; {
		busy = false
		for _, n := range w.nodes {
			calls := n.pool.Settle(settleLimit)
			if !n.stuck {
				calls += n.ioPool.Settle(settleLimit)
			}
			busy = busy || calls > 0 || w.read(n)
		}
	}
}

// read folds one batch of the log into the node; it reports whether there was
// one.
func (w *world) read(n *testNode) bool {
	if n.cut {
		return false
	}
	consumer := changes.Consumer{Tables: n.tables}
	records, err := w.store.Read(context.Background(), eventlog.Config, n.tables.Changes.Load().Offset+1, 0)
	if err != nil || len(records) == 0 {
		return false
	}
	n.tables.Board.Do(func(tx *blackboard.Tx) { consumer.Fold(tx, w.clock.Now(), records) }, consumer.Access()...)
	return true
}

// advance moves the clock from timer to timer.
func (w *world) advance(d time.Duration) {
	end := w.clock.Now().Add(d)
	for {
		w.settle()
		next, pending := w.nextTimer()
		if !pending || next.After(end) {
			break
		}
		w.clock.Advance(next.Sub(w.clock.Now()))
	}
	w.clock.Advance(end.Sub(w.clock.Now()))
	w.settle()
}

func (w *world) nextTimer() (first time.Time, pending bool) {
	for _, n := range w.nodes {
		if next, any := n.pool.NextTimer(); any && (!pending || next.Before(first)) {
			first, pending = next, true
		}
	}
	return first, pending
}

// leftOver returns the number of submissions and appends in the node's tables.
func (n *testNode) leftOver() (rows int) {
	t := n.tables
	t.Board.Do(func(tx *blackboard.Tx) {
		rows = t.Submissions.Len(tx) + t.Appends.Len(tx) + t.AppendsDone.Len(tx)
	}, t.Submissions.Read(), t.Appends.Read(), t.AppendsDone.Read())
	return rows
}
