package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/marigoldshelf/marigoldshelf/controllers/activate"
	"github.com/marigoldshelf/marigoldshelf/controllers/changes"
	"github.com/marigoldshelf/marigoldshelf/controllers/floor"
	"github.com/marigoldshelf/marigoldshelf/controllers/follow"
	"github.com/marigoldshelf/marigoldshelf/controllers/relay"
	"github.com/marigoldshelf/marigoldshelf/controllers/roles"
	"github.com/marigoldshelf/marigoldshelf/controllers/snapwrite"
	"github.com/marigoldshelf/marigoldshelf/controllers/submit"
	"github.com/marigoldshelf/marigoldshelf/decide/snapshot"
	"github.com/marigoldshelf/marigoldshelf/decide/spread"
	"github.com/marigoldshelf/marigoldshelf/front/distrib"
	"github.com/marigoldshelf/marigoldshelf/outbox"
	"github.com/marigoldshelf/marigoldshelf/platform"
	"github.com/marigoldshelf/marigoldshelf/tables"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

const (
	// platformTimeout is how long the platform may take to answer, beyond the
	// time for which it may hold a read.
	platformTimeout = 5 * time.Second
	// distributionEvent counts what goes wrong in the distribution, by reason.
	distributionEvent = "distribution"
	// pullAnswerEvent counts the answers to other nodes, by kind.
	pullAnswerEvent = "pull_answer"
)

// Streams of the node's seed, one for each controller that draws.
const (
	seedFollow = iota + 1
	seedRelay
)

// registerConfig adds the controllers of changes and of the configuration.
func (n *Node) registerConfig() {
	t := n.tables
	started := n.options.Clock.Now()
	policy := snapshot.Policy{}.WithDefaults()
	roles.Register(n.pool, t, n.self, spread.Config{})
	follow.Register(n.pool, t, follow.Config{
		Host: n.self.Host, Started: started, Changes: changes.Consumer{Tables: t},
		Random: n.random(seedFollow), Writers: policy.Writers, Count: n.countDistribution,
	})
	relay.Register(n.pool, t, relay.Config{
		Random: n.random(seedRelay),
		Count:  func(k spread.Kind) { n.options.Metrics.Count(pullAnswerEvent, verdict.Reason(k.String())) },
	})
	floor.Register(n.pool, t, floor.Config{Host: n.self.Host, Started: started, Count: n.countDistribution})
	snapwrite.Register(n.pool, t, snapwrite.Config{Started: started, Policy: policy, Count: n.countDistribution})
	activate.Register(n.pool, t)
	submit.Register(n.pool, t, n.options.Metrics.Count)
}

func (n *Node) random(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(n.options.Seed+stream, uint64(n.self.Incarnation)))
}

func (n *Node) countDistribution(event string) {
	n.options.Metrics.Count(distributionEvent, verdict.Reason(event))
}

// registerIO adds the duties of the I/O workers.
func (n *Node) registerIO(ctx context.Context) {
	t := n.tables
	log := n.options.Log
	outbox.Serve(ctx, n.ioPool, t.Board, "read log", t.LogReads, t.LogBatches,
		func(ctx context.Context, s platform.Stream, r tables.LogRead) tables.LogBatch {
			ctx, cancel := context.WithTimeout(ctx, r.Wait+platformTimeout)
			defer cancel()
			records, err := log.Read(ctx, s, r.From, r.Wait)
			return tables.LogBatch{From: r.From, At: r.At, Failures: r.Failures, Records: records, Err: err}
		})
	outbox.Serve(ctx, n.ioPool, t.Board, "append", t.Appends, t.AppendsDone,
		func(ctx context.Context, _ string, a tables.Append) tables.AppendDone {
			ctx, cancel := context.WithTimeout(ctx, platformTimeout)
			defer cancel()
			offset, err := log.Append(ctx, a.Stream, []byte(a.Data))
			return tables.AppendDone{Offset: offset, Err: err}
		})
	outbox.Serve(ctx, n.ioPool, t.Board, "bounds", t.BoundsAsks, t.BoundsResults,
		func(ctx context.Context, s platform.Stream, a tables.BoundsAsk) tables.BoundsResult {
			ctx, cancel := context.WithTimeout(ctx, platformTimeout)
			defer cancel()
			bounds, err := log.Bounds(ctx, s)
			return tables.BoundsResult{Ask: a, Bounds: bounds, Err: err}
		})
	client := &distrib.Client{HTTP: &http.Client{Transport: n.transport(0)}, Clock: n.options.Clock}
	outbox.Serve(ctx, n.ioPool, t.Board, "ask peer", t.Asks, t.AskResults, client.Ask)
	outbox.Serve(ctx, n.ioPool, t.Board, "recall", t.RecallAsks, t.Recalls, client.Recall)
}
