package follow

import (
	"math/rand/v2"
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/controllers/logread"
	"github.com/marigoldshelf/marigoldshelf/decide/snapshot"
	"github.com/marigoldshelf/marigoldshelf/decide/spread"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// singleKey is the key of controllers that have only one.
const singleKey = 0

// Config holds the parameters of the controllers.
type Config struct {
	// Host is this node's host, Started the instant at which the node started.
	Host    mesh.HostID
	Started time.Time
	// Changes applies records to the table Changes.
	Changes logread.Consumer
	// Random spreads retries. It is used only under the write lock of the cell
	// Lane.
	Random *rand.Rand
	// Writers is the number of nodes that are allowed to write snapshots.
	Writers int
	// Count is called with the name of each event that is counted.
	Count func(event string)
}

// Register adds the controllers that keep the table Feed up to date.
func Register(p *controller.Pool, t *tables.Tables, c Config) {
	log := Log{Tables: t, Changes: c.Changes, Count: c.Count}
	config := logread.Register(p, t, eventlog.Config, log)
	snapshots := logread.Register(p, t, eventlog.Snapshots, Snapshots{Tables: t, Writers: c.Writers})
	recheck := func() {
		config.Add(eventlog.Config)
		snapshots.Add(eventlog.Snapshots)
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
	log    Log
}

func (f fetcher) register(p *controller.Pool) {
	t := f.tables
	handle := controller.Register(p, "follow", f.reconcile)
	requeue := func() { handle.Add(tables.FollowLane) }
	t.AskResults.Watch(handle.Add)
	t.Role.Watch(requeue)
	t.Feed.Watch(requeue)
	t.Floor.Watch(requeue)
	t.Hint.Watch(requeue)
}

func (f fetcher) reconcile(now time.Time, key string) (result controller.Result) {
	t := f.tables
	access := append(f.config.Changes.Access(), t.Routes.Read(), t.Role.Read(), t.Feed.Write(), t.Floor.Read(),
		t.Hint.Read(), t.Lane.Write(), t.Asks.Write(), t.AskResults.Write())
	t.Board.Do(func(tx *blackboard.Tx) {
		f.processResult(tx, now, key)
		result = f.requestNext(tx, now, key)
	}, access...)
	return result
}

// requestNext puts the next request into the outbox Asks if none is pending, the
// retry delay is over and the node needs data from other nodes.
func (f fetcher) requestNext(tx *blackboard.Tx, now time.Time, key string) controller.Result {
	t := f.tables
	if _, pending := t.Asks.Get(tx, key); pending {
		return controller.Result{}
	}
	lane := t.Lane.Get(tx)
	if now.Before(lane.NextAt) {
		return controller.Result{After: lane.NextAt.Sub(now)}
	}
	asker := f.askerState(tx)
	if !asker.Wants() {
		return controller.Result{}
	}
	if next, found := lane.Next(now, asker); found {
		t.Asks.Put(tx, key, next)
	}
	return controller.Result{}
}

func (f fetcher) askerState(tx *blackboard.Tx) spread.Asker {
	t := f.tables
	asker := spread.Asker{
		Host:    f.config.Host,
		Started: f.config.Started,
		Feed:    t.Feed.Get(tx),
		Role:    t.Role.Get(tx),
		Floor:   t.Floor.Get(tx),
		Hint:    t.Hint.Get(tx),
	}
	if routes := t.Routes.Get(tx); routes != nil {
		asker.Served = routes.Version
	}
	return asker
}

// processResult applies the result of the last request, if there is one, and
// updates the retry state in Lane.
func (f fetcher) processResult(tx *blackboard.Tx, now time.Time, key string) {
	t := f.tables
	result, found := t.AskResults.Get(tx, key)
	if !found {
		return
	}
	t.AskResults.Delete(tx, key)
	lane := t.Lane.Get(tx)
	jitter := f.config.Random.Float64()
	if result.Err != nil {
		f.config.Count(eventPeerUnanswered)
		t.Lane.Set(tx, lane.Failed(now, jitter))
		return
	}
	part, ok := f.applyAnswer(tx, now, lane.Part, result)
	lane.Part = part
	if ok {
		lane = lane.Answered(now, result.Answer, jitter)
	} else {
		lane = lane.Failed(now, jitter)
	}
	t.Lane.Set(tx, lane)
}

// applyAnswer applies an answer and returns the snapshot chunks received so far.
// The second result is false if the answer is invalid.
func (f fetcher) applyAnswer(tx *blackboard.Tx, now time.Time, part snapshot.Partial, r tables.AskResult) (snapshot.Partial, bool) {
	answer := r.Answer
	switch answer.Kind {
	case spread.Records:
		return part, f.applyRecords(tx, now, r)
	case spread.Chunk:
		return f.applyChunk(tx, part.Add(answer.Chunk))
	case spread.Diverged:
		f.markDiverged(tx, r.Ask.Request)
	case spread.Behind:
		f.config.Count(eventPeerBehind)
	case spread.Busy:
		f.config.Count(eventPeerBusy)
	default:
		f.config.Count(eventPeerInvalid)
		return part, false
	}
	return part, true
}

// applyRecords applies the records of an answer, and the times at which the
// answering node was last at the log's end and in contact with the log. It
// returns false if records are missing or do not match the answer's digest.
func (f fetcher) applyRecords(tx *blackboard.Tx, now time.Time, r tables.AskResult) bool {
	t := f.tables
	fresh, ok := spread.Take(t.Feed.Get(tx), r.Answer)
	if !ok {
		f.config.Count(eventPeerInvalid)
		return false
	}
	foldAndAppend(tx, t, f.config.Changes, now, fresh)
	feed := t.Feed.Get(tx)
	next := feed
	if r.Answer.AgeKnown && feed.Offset >= r.Answer.Offset {
		next = next.ConfirmedAt(r.Ask.At.Add(-r.Answer.Age))
	}
	if r.Answer.ContactKnown {
		next = next.ContactAt(now.Add(-r.Answer.ContactAge))
	}
	if next.Confirmed != feed.Confirmed || next.Contact != feed.Contact {
		t.Feed.Set(tx, next)
	}
	return true
}

// applyChunk restores the snapshot once all its chunks have been received. It
// returns false if the snapshot is corrupt or cannot be decoded.
func (f fetcher) applyChunk(tx *blackboard.Tx, part snapshot.Partial) (snapshot.Partial, bool) {
	whole, complete, corrupt := part.Whole()
	switch {
	case corrupt:
		f.config.Count(eventSnapshotCorrupt)
		return snapshot.Partial{}, false
	case complete:
		return snapshot.Partial{}, restoreSnapshot(tx, f.log, whole)
	}
	return part, true
}

// markDiverged records that the node that was asked has a different history,
// unless this node's offset or digest has changed since the request.
func (f fetcher) markDiverged(tx *blackboard.Tx, r spread.Request) {
	feed := f.tables.Feed.Get(tx)
	if feed.Offset != r.Offset || feed.Digest != r.Digest || feed.Diverged {
		return
	}
	f.config.Count(eventPeerDiverged)
	feed.Diverged = true
	f.tables.Feed.Set(tx, feed)
}
