package follow

import (
	"math/rand/v2"
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/controllers/logread"
	"github.com/marigoldshelf/marigoldshelf/decide/distribution"
	"github.com/marigoldshelf/marigoldshelf/decide/snapshot"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// singletonKey is the only key of the controller restore.
const singletonKey = 0

// Config holds the parameters of the controllers.
type Config struct {
	// Host is this node's host, StartedAt the instant at which the node
	// started.
	Host      mesh.HostID
	StartedAt time.Time
	// ChangeConsumer applies records to the table Changes.
	ChangeConsumer logread.Consumer
	// Random spreads retries. It is used only under the write lock of the cell
	// PullState.
	Random *rand.Rand
	// SnapshotWriters is the number of nodes that are allowed to write
	// snapshots.
	SnapshotWriters int
	// Count is called with the name of each event that is counted.
	Count func(event string)
}

// Register adds the controllers that keep the table Feed up to date.
func Register(p *controller.Pool, t *tables.Tables, c Config) {
	log := ConfigConsumer{Tables: t, ChangeConsumer: c.ChangeConsumer, Count: c.Count}
	config := logread.Register(p, t, eventlog.ConfigStream, log)
	snapshots := logread.Register(p, t, eventlog.SnapshotsStream, SnapshotConsumer{Tables: t, Writers: c.SnapshotWriters})
	recheck := func() {
		config.Add(eventlog.ConfigStream)
		snapshots.Add(eventlog.SnapshotsStream)
	}
	t.Role.Watch(recheck)
	t.Feed.Watch(recheck)
	registerRestore(p, log)
	registerTip(p, t, c)
	fetcher{tables: t, config: c, log: log}.register(p)
}

// fetcher is the controller that requests records and snapshots from other
// nodes, one request at a time.
type fetcher struct {
	tables *tables.Tables
	config Config
	log    ConfigConsumer
}

func (f fetcher) register(p *controller.Pool) {
	t := f.tables
	handle := controller.Register(p, "follow", f.reconcile)
	requeue := func() { handle.Add(tables.PullKey) }
	t.PullResults.Watch(handle.Add)
	t.Role.Watch(requeue)
	t.Feed.Watch(requeue)
	t.Floor.Watch(requeue)
	t.PeerAhead.Watch(requeue)
}

func (f fetcher) reconcile(now time.Time, key string) (result controller.Result) {
	t := f.tables
	access := append(f.config.ChangeConsumer.Access(), t.Routes.Read(), t.Role.Read(), t.Feed.Write(), t.Floor.Read(),
		t.PeerAhead.Read(), t.PullState.Write(), t.OutgoingPulls.Write(), t.PullResults.Write())
	t.Board.Do(func(tx *blackboard.Tx) {
		f.processResult(tx, now, key)
		result = f.requestNext(tx, now, key)
	}, access...)
	return result
}

// requestNext puts the next request into the outbox OutgoingPulls if none is
// pending, the retry delay is over and the node needs data from other nodes.
func (f fetcher) requestNext(tx *blackboard.Tx, now time.Time, key string) controller.Result {
	t := f.tables
	if _, pending := t.OutgoingPulls.Get(tx, key); pending {
		return controller.Result{}
	}
	state := t.PullState.Get(tx)
	if now.Before(state.NextAt) {
		return controller.Result{RequeueAfter: state.NextAt.Sub(now)}
	}
	input := f.pullInput(tx)
	if !input.NeedsPull() {
		return controller.Result{}
	}
	if next, found := state.NextPull(now, input); found {
		t.OutgoingPulls.Put(tx, key, next)
	}
	return controller.Result{}
}

func (f fetcher) pullInput(tx *blackboard.Tx) distribution.PullInput {
	t := f.tables
	input := distribution.PullInput{
		Host:      f.config.Host,
		StartedAt: f.config.StartedAt,
		Feed:      t.Feed.Get(tx),
		Role:      t.Role.Get(tx),
		Floor:     t.Floor.Get(tx),
		PeerAhead: t.PeerAhead.Get(tx),
	}
	if routes := t.Routes.Get(tx); routes != nil {
		input.Served = routes.Version
	}
	return input
}

// processResult applies the result of the last request, if there is one, and
// updates the cell PullState.
func (f fetcher) processResult(tx *blackboard.Tx, now time.Time, key string) {
	t := f.tables
	result, found := t.PullResults.Get(tx, key)
	if !found {
		return
	}
	t.PullResults.Delete(tx, key)
	state := t.PullState.Get(tx)
	jitter := f.config.Random.Float64()
	if result.Err != nil {
		f.config.Count(eventPeerUnanswered)
		t.PullState.Set(tx, state.AfterFailure(now, jitter))
		return
	}
	partial, ok := f.applyAnswer(tx, now, state.Partial, result)
	state.Partial = partial
	if ok {
		state = state.AfterAnswer(now, result.Answer, jitter)
	} else {
		state = state.AfterFailure(now, jitter)
	}
	t.PullState.Set(tx, state)
}

// applyAnswer applies an answer and returns the snapshot chunks received so
// far. The second result is false if the answer is invalid.
func (f fetcher) applyAnswer(tx *blackboard.Tx, now time.Time, partial snapshot.Partial, r tables.PullResult) (snapshot.Partial, bool) {
	answer := r.Answer
	switch answer.Kind {
	case distribution.KindRecords:
		return partial, f.applyRecords(tx, now, r)
	case distribution.KindChunk:
		return f.applyChunk(tx, partial.Add(answer.Chunk))
	case distribution.KindDiverged:
		f.markDiverged(tx, r.Pull.Request)
	case distribution.KindBehind:
		f.config.Count(eventPeerBehind)
	case distribution.KindBusy:
		f.config.Count(eventPeerBusy)
	default:
		f.config.Count(eventPeerInvalid)
		return partial, false
	}
	return partial, true
}

// applyRecords applies the records of an answer, and the times at which the
// answering node was last at the log's end and in contact with the log. It
// returns false if records are missing or do not match the answer's digest.
func (f fetcher) applyRecords(tx *blackboard.Tx, now time.Time, r tables.PullResult) bool {
	t := f.tables
	fresh, ok := distribution.VerifyRecords(t.Feed.Get(tx), r.Answer)
	if !ok {
		f.config.Count(eventPeerInvalid)
		return false
	}
	foldAndAppend(tx, t, f.config.ChangeConsumer, now, fresh)
	feed := t.Feed.Get(tx)
	next := feed
	if r.Answer.AgeKnown && feed.Offset >= r.Answer.Offset {
		next = next.WithCaughtUp(r.Pull.At.Add(-r.Answer.Age))
	}
	if r.Answer.ContactKnown {
		next = next.WithLogContact(now.Add(-r.Answer.ContactAge))
	}
	if next.CaughtUpAt != feed.CaughtUpAt || next.LogContactAt != feed.LogContactAt {
		t.Feed.Set(tx, next)
	}
	return true
}

// applyChunk restores the snapshot once all its chunks have been received. It
// returns false if the snapshot is corrupt or cannot be decoded.
func (f fetcher) applyChunk(tx *blackboard.Tx, partial snapshot.Partial) (snapshot.Partial, bool) {
	whole, complete, corrupt := partial.Assemble()
	switch {
	case corrupt:
		f.config.Count(eventSnapshotCorrupt)
		return snapshot.Partial{}, false
	case complete:
		return snapshot.Partial{}, restoreSnapshot(tx, f.log, whole)
	}
	return partial, true
}

// markDiverged records that the node that was asked has a different history,
// unless this node's offset or digest has changed since the request.
func (f fetcher) markDiverged(tx *blackboard.Tx, r distribution.PullRequest) {
	feed := f.tables.Feed.Get(tx)
	if feed.Offset != r.Offset || feed.Digest != r.Digest || feed.Diverged {
		return
	}
	f.config.Count(eventPeerDiverged)
	feed.Diverged = true
	f.tables.Feed.Set(tx, feed)
}
