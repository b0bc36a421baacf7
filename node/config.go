package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/controllers/activate"
	"github.com/marigoldshelf/marigoldshelf/controllers/changes"
	"github.com/marigoldshelf/marigoldshelf/controllers/floor"
	"github.com/marigoldshelf/marigoldshelf/controllers/follow"
	"github.com/marigoldshelf/marigoldshelf/controllers/relay"
	"github.com/marigoldshelf/marigoldshelf/controllers/roles"
	"github.com/marigoldshelf/marigoldshelf/controllers/snapwrite"
	"github.com/marigoldshelf/marigoldshelf/controllers/submit"
	"github.com/marigoldshelf/marigoldshelf/decide/distribution"
	"github.com/marigoldshelf/marigoldshelf/decide/snapshot"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/front/distrib"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/outbox"
	"github.com/marigoldshelf/marigoldshelf/tables"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

const (
	// platformTimeout limits a request to the platform, on top of the time for
	// which the platform can hold a read.
	platformTimeout = 5 * time.Second
	// distributionEvent counts failures of the distribution, by reason.
	distributionEvent = "distribution"
	// pullAnswerEvent counts the answers to pulls of other nodes, by kind.
	pullAnswerEvent = "pull_answer"
)

// Offsets added to the node's seed, one for each controller that uses random
// numbers.
const (
	seedFollow = iota + 1
	seedRelay
)

// ConfigControllers registers the controllers that keep a node's configuration:
// changes, distribution and recovery.
type ConfigControllers struct {
	// Self is the node itself, Started its start time.
	Self      mesh.Member
	StartedAt time.Time
	// Seed is the seed of the controllers' random numbers.
	Seed uint64
	// Distribution configures the distribution, SnapshotPolicy the writing of
	// snapshots. Zero values select the defaults.
	Distribution   distribution.Config
	SnapshotPolicy snapshot.Policy
	// Count is called for each event with its reason.
	Count func(event string, reason verdict.Reason)
}

// Register adds the controllers to p.
func (c ConfigControllers) Register(p *controller.Pool, t *tables.Tables) {
	host, policy := c.Self.Host, c.SnapshotPolicy.WithDefaults()
	count := func(reason string) { c.Count(distributionEvent, verdict.Reason(reason)) }
	roles.Register(p, t, roles.Config{Self: c.Self, StartedAt: c.StartedAt, Distribution: c.Distribution})
	follow.Register(p, t, follow.Config{
		Host: host, StartedAt: c.StartedAt, ChangeConsumer: changes.Consumer{Tables: t},
		Random: c.random(seedFollow), SnapshotWriters: policy.Writers, Count: count,
	})
	relay.Register(p, t, relay.Config{
		Random: c.random(seedRelay),
		Count:  func(k distribution.AnswerKind) { c.Count(pullAnswerEvent, verdict.Reason(k.String())) },
	})
	floor.Register(p, t, floor.Config{Host: host, StartedAt: c.StartedAt, Count: count})
	snapwrite.Register(p, t, snapwrite.Config{StartedAt: c.StartedAt, Policy: policy, Count: count})
	activate.Register(p, t, c.Count)
	submit.Register(p, t, c.Count)
}

func (c ConfigControllers) random(seedOffset uint64) *rand.Rand {
	return rand.New(rand.NewPCG(c.Seed+seedOffset, uint64(c.Self.Incarnation)))
}

// registerConfig adds the controllers of the configuration.
func (n *Node) registerConfig() {
	ConfigControllers{
		Self: n.self, StartedAt: n.options.Clock.Now(), Seed: n.options.Seed, Count: n.options.Metrics.Count,
	}.Register(n.pool, n.tables)
}

// registerIO adds the I/O workers that read and write the platform's log and send
// distribution requests to peers.
func (n *Node) registerIO(ctx context.Context) {
	t := n.tables
	log := n.options.Log
	outbox.Serve(ctx, n.ioPool, t.Board, "read log", t.LogReads, t.LogBatches,
		func(ctx context.Context, s eventlog.Stream, r tables.LogRead) tables.LogBatch {
			ctx, cancel := context.WithTimeout(ctx, r.Wait+platformTimeout)
			defer cancel()
			records, era, err := eventlog.Read(ctx, log, s, r.From, r.Wait)
			return tables.LogBatch{
				From: r.From, RequestedAt: r.RequestedAt, Failures: r.Failures, RequestEra: r.Era, Era: era, Records: records, Err: err,
			}
		})
	outbox.Serve(ctx, n.ioPool, t.Board, "append", t.Appends, t.AppendResults,
		func(ctx context.Context, _ string, a tables.Append) tables.AppendResult {
			ctx, cancel := context.WithTimeout(ctx, platformTimeout)
			defer cancel()
			offset, era, err := eventlog.Append(ctx, log, a.Stream, []byte(a.Data))
			return tables.AppendResult{Offset: offset, RequestEra: a.Era, Era: era, Err: err}
		})
	outbox.Serve(ctx, n.ioPool, t.Board, "bounds", t.BoundsRequests, t.BoundsResults,
		func(ctx context.Context, s eventlog.Stream, r tables.BoundsRequest) tables.BoundsResult {
			ctx, cancel := context.WithTimeout(ctx, platformTimeout)
			defer cancel()
			bounds, err := log.Bounds(ctx, s)
			return tables.BoundsResult{Request: r, Bounds: bounds, Err: err}
		})
	client := &distrib.Client{HTTP: &http.Client{Transport: n.transport(0)}, Clock: n.options.Clock}
	outbox.Serve(ctx, n.ioPool, t.Board, "ask peer", t.OutgoingPulls, t.PullResults, client.Pull)
	outbox.Serve(ctx, n.ioPool, t.Board, "recall", t.VersionReportRequests, t.VersionReportResults, client.RequestVersionReport)
}
