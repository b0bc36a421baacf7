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

// theKey is the only key of a controller that has one.
const theKey = 0

// Config sets the controllers up.
type Config struct {
	// Host is the own host, Started the instant at which the node started.
	Host    mesh.HostID
	Started time.Time
	// Changes folds records into the state.
	Changes logread.Consumer
	// Random is the source of draws. It is used only under the write lock of
	// the cell Lane.
	Random *rand.Rand
	// Writers is the number of nodes that may write snapshots.
	Writers int
	// Count is told of each thing that went wrong.
	Count func(event string)
}

// Register adds the controllers that keep the feed going.
func Register(p *controller.Pool, t *tables.Tables, c Config) {
	log := Log{Tables: t, Changes: c.Changes, Count: c.Count}
	config := logread.Register(p, t, eventlog.Config, log)
	snapshots := logread.Register(p, t, eventlog.Snapshots, Snapshots{Tables: t, Writers: c.Writers})
	again := func() {
		config.Add(eventlog.Config)
		snapshots.Add(eventlog.Snapshots)
	}
	t.Role.Watch(again)
	t.Feed.Watch(again)
	registerRestore(p, log)
	registerTip(p, t, c)
	asker{tables: t, config: c, log: log}.register(p)
}

// asker is the controller that asks other nodes.
type asker struct {
	tables *tables.Tables
	config Config
	log    Log
}

func (a asker) register(p *controller.Pool) {
	t := a.tables
	handle := controller.Register(p, "follow", a.reconcile)
	wake := func() { handle.Add(tables.FollowLane) }
	t.AskResults.Watch(handle.Add)
	t.Role.Watch(wake)
	t.Feed.Watch(wake)
	t.Floor.Watch(wake)
	t.Hint.Watch(wake)
}

func (a asker) reconcile(now time.Time, key string) (result controller.Result) {
	t := a.tables
	access := append(a.config.Changes.Access(), t.Routes.Read(), t.Role.Read(), t.Feed.Write(), t.Floor.Read(),
		t.Hint.Read(), t.Lane.Write(), t.Asks.Write(), t.AskResults.Write())
	t.Board.Do(func(tx *blackboard.Tx) {
		a.takeResult(tx, now, key)
		result = a.ask(tx, now, key)
	}, access...)
	return result
}

// ask puts the next request into the outbox when it is time.
func (a asker) ask(tx *blackboard.Tx, now time.Time, key string) controller.Result {
	t := a.tables
	if _, underWay := t.Asks.Get(tx, key); underWay {
		return controller.Result{}
	}
	lane := t.Lane.Get(tx)
	if now.Before(lane.NextAt) {
		return controller.Result{After: lane.NextAt.Sub(now)}
	}
	self := a.self(tx)
	if !self.Wants() {
		return controller.Result{}
	}
	if next, found := lane.Next(now, self); found {
		t.Asks.Put(tx, key, next)
	}
	return controller.Result{}
}

func (a asker) self(tx *blackboard.Tx) spread.Asker {
	t := a.tables
	self := spread.Asker{
		Host:    a.config.Host,
		Started: a.config.Started,
		Feed:    t.Feed.Get(tx),
		Role:    t.Role.Get(tx),
		Floor:   t.Floor.Get(tx),
		Hint:    t.Hint.Get(tx),
	}
	if routes := t.Routes.Get(tx); routes != nil {
		self.Served = routes.Version
	}
	return self
}

// takeResult takes in what came of the last request.
func (a asker) takeResult(tx *blackboard.Tx, now time.Time, key string) {
	t := a.tables
	result, came := t.AskResults.Get(tx, key)
	if !came {
		return
	}
	t.AskResults.Delete(tx, key)
	lane := t.Lane.Get(tx)
	draw := a.config.Random.Float64()
	if result.Err != nil {
		a.config.Count(peerUnanswered)
		t.Lane.Set(tx, lane.Failed(now, draw))
		return
	}
	part, ok := a.take(tx, now, lane.Part, result)
	lane.Part = part
	if ok {
		lane = lane.Answered(now, result.Answer, draw)
	} else {
		lane = lane.Failed(now, draw)
	}
	t.Lane.Set(tx, lane)
}

// take folds an answer in; ok is false when it was false in itself.
func (a asker) take(tx *blackboard.Tx, now time.Time, part snapshot.Partial, r tables.AskResult) (snapshot.Partial, bool) {
	answer := r.Answer
	switch answer.Kind {
	case spread.Records:
		return part, a.takeRecords(tx, now, r)
	case spread.Chunk:
		return a.takeChunk(tx, part.Add(answer.Chunk))
	case spread.Diverged:
		a.takeDivergence(tx, r.Ask.Request)
	case spread.Behind:
		a.config.Count(peerBehind)
	case spread.Busy:
		a.config.Count(peerBusy)
	default:
		a.config.Count(peerFalse)
		return part, false
	}
	return part, true
}

func (a asker) takeRecords(tx *blackboard.Tx, now time.Time, r tables.AskResult) bool {
	t := a.tables
	fresh, ok := spread.Take(t.Feed.Get(tx), r.Answer)
	if !ok {
		a.config.Count(peerFalse)
		return false
	}
	fold(tx, t, a.config.Changes, now, fresh)
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

func (a asker) takeChunk(tx *blackboard.Tx, part snapshot.Partial) (snapshot.Partial, bool) {
	whole, complete, corrupt := part.Whole()
	switch {
	case corrupt:
		a.config.Count(snapshotCorrupt)
		return snapshot.Partial{}, false
	case complete:
		return snapshot.Partial{}, restore(tx, a.log, whole)
	}
	return part, true
}

// takeDivergence notes that a node asked has another history, unless the own
// place has changed since the question.
func (a asker) takeDivergence(tx *blackboard.Tx, r spread.Request) {
	feed := a.tables.Feed.Get(tx)
	if feed.Offset != r.Offset || feed.Digest != r.Digest || feed.Diverged {
		return
	}
	a.config.Count(peerDiverged)
	feed.Diverged = true
	a.tables.Feed.Set(tx, feed)
}
