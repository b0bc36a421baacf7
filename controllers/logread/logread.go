// Package logread is the controller that follows a stream of the platform's
// log: it keeps one read wanted in the outbox and hands each batch to the
// stream's consumer.
package logread

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

const (
	// readWait is how long the platform holds a read for new records.
	readWait = 10 * time.Second
	// retryBase and retryLimit bound the pause after a failed read; it doubles
	// with each failure in a row.
	retryBase  = 250 * time.Millisecond
	retryLimit = 4 * time.Second
)

// Consumer folds records into tables.
type Consumer interface {
	// Access names the tables that Fold and Next need, beside those of the
	// log's outbox and inbox.
	Access() []blackboard.Access
	// Next returns the first offset that was not folded in yet.
	Next(tx *blackboard.Tx) uint64
	// Fold folds records in, in their order. Records it has seen are ignored.
	Fold(tx *blackboard.Tx, now time.Time, records []eventlog.Record)
	// Skip is told that records up to and with offset are no longer retained.
	Skip(tx *blackboard.Tx, offset uint64)
}

// Follower is a Consumer that reads only at times, and wants to know how each
// read went.
type Follower interface {
	Consumer
	// Wanted reports whether to read on.
	Wanted(tx *blackboard.Tx) bool
	// Observe is told of each read, failed ones too, after its records were
	// folded.
	Observe(tx *blackboard.Tx, now time.Time, batch tables.LogBatch)
}

// Register adds the controller for one stream. The handle makes it look again
// whether reading is wanted.
func Register(p *controller.Pool, t *tables.Tables, s eventlog.Stream, c Consumer) controller.Handle[eventlog.Stream] {
	r := reader{tables: t, consumer: c}
	handle := controller.Register(p, "logread", r.reconcile)
	t.LogBatches.Watch(func(changed eventlog.Stream) {
		if changed == s {
			handle.Add(s)
		}
	})
	handle.Add(s)
	return handle
}

type reader struct {
	tables   *tables.Tables
	consumer Consumer
}

func (r reader) reconcile(now time.Time, s eventlog.Stream) (result controller.Result) {
	access := append(r.consumer.Access(), r.tables.LogReads.Write(), r.tables.LogBatches.Write())
	r.tables.Board.Do(func(tx *blackboard.Tx) {
		result = r.step(tx, now, s)
	}, access...)
	return result
}

// step takes the batch that came, if any, and asks for the next one. A failed
// read stays in the inbox until its pause is over: the timer's call finds it
// and asks again.
func (r reader) step(tx *blackboard.Tx, now time.Time, s eventlog.Stream) controller.Result {
	t := r.tables
	if _, asked := t.LogReads.Get(tx, s); asked {
		return controller.Result{}
	}
	batch, came := t.LogBatches.Get(tx, s)
	switch {
	case came && batch.Err != nil && batch.RetryAt.IsZero():
		pause := retryPause(now, batch)
		batch.RetryAt = now.Add(pause)
		r.observe(tx, now, batch)
		t.LogBatches.Put(tx, s, batch)
		return controller.Result{After: pause}
	case came && batch.Err != nil && now.Before(batch.RetryAt):
		return controller.Result{After: batch.RetryAt.Sub(now)}
	case came && batch.Err != nil:
		r.skip(tx, batch)
	case came:
		r.consumer.Fold(tx, now, batch.Records)
		r.observe(tx, now, batch)
	}
	t.LogBatches.Delete(tx, s)
	if follower, ok := r.consumer.(Follower); ok && !follower.Wanted(tx) {
		return controller.Result{}
	}
	next := tables.LogRead{From: r.consumer.Next(tx), Wait: readWait, At: now}
	if batch.Err != nil {
		next.Failures = batch.Failures + 1
	}
	t.LogReads.Put(tx, s, next)
	return controller.Result{}
}

// retryPause is the pause after a failed read. The instant's fraction spreads
// the readers that failed together; one that learned the oldest offset needs
// no pause worth the name.
func retryPause(now time.Time, batch tables.LogBatch) time.Duration {
	if _, told := eventlog.Oldest(batch.Err); told {
		return time.Millisecond
	}
	pause := min(retryBase<<min(batch.Failures, 8), retryLimit)
	return pause/2 + time.Duration(now.UnixNano())%pause
}

func (r reader) observe(tx *blackboard.Tx, now time.Time, batch tables.LogBatch) {
	if follower, ok := r.consumer.(Follower); ok {
		follower.Observe(tx, now, batch)
	}
}

// skip tells the consumer which records are lost.
func (r reader) skip(tx *blackboard.Tx, batch tables.LogBatch) {
	if oldest, told := eventlog.Oldest(batch.Err); told && oldest > batch.From {
		r.consumer.Skip(tx, oldest-1)
	}
}
