package node

import (
	"context"

	"github.com/marigoldshelf/marigoldshelf/controllers/activate"
	"github.com/marigoldshelf/marigoldshelf/controllers/changes"
	"github.com/marigoldshelf/marigoldshelf/controllers/logread"
	"github.com/marigoldshelf/marigoldshelf/controllers/submit"
	"github.com/marigoldshelf/marigoldshelf/outbox"
	"github.com/marigoldshelf/marigoldshelf/platform"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// registerConfig adds the controllers of changes and of the configuration.
func (n *Node) registerConfig() {
	t := n.tables
	logread.Register(n.pool, t, platform.Config, changes.Consumer{Tables: t})
	activate.Register(n.pool, t)
	submit.Register(n.pool, t, n.options.Metrics.Count)
}

// registerIO adds the duties of the I/O workers.
func (n *Node) registerIO(ctx context.Context) {
	t := n.tables
	log := n.options.Log
	outbox.Serve(ctx, n.ioPool, t.Board, "read log", t.LogReads, t.LogBatches,
		func(ctx context.Context, s platform.Stream, r tables.LogRead) tables.LogBatch {
			records, err := log.Read(ctx, s, r.From, r.Wait)
			return tables.LogBatch{From: r.From, Records: records, Err: err}
		})
	outbox.Serve(ctx, n.ioPool, t.Board, "append", t.Appends, t.AppendsDone,
		func(ctx context.Context, _ string, a tables.Append) tables.AppendDone {
			offset, err := log.Append(ctx, a.Stream, []byte(a.Data))
			return tables.AppendDone{Offset: offset, Err: err}
		})
}
