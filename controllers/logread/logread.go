// Package logread implements the controller that consumes one stream of the
// platform's log. It keeps at most one read of the stream in the outbox
// LogReads, takes the answers from the inbox LogBatches and passes their
// records to the stream's Consumer. Failed reads are retried with exponential
// backoff.
package logread

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/controllers/storeera"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

const (
	// readWait is how long the platform may hold a read until new records
	// arrive.
	readWait = 10 * time.Second
	// baseRetryDelay is the mean delay after the first failed read. The mean
	// doubles with each consecutive failure, up to maxRetryDelay.
	baseRetryDelay = 250 * time.Millisecond
	maxRetryDelay  = 4 * time.Second
)

// Consumer applies the records of a stream to tables. Its methods are called
// inside the controller's transaction.
type Consumer interface {
	// Access returns the tables that the other methods use, except LogReads and
	// LogBatches.
	Access() []blackboard.Access
	// NextOffset returns the offset of the first record that was not applied
	// yet.
	NextOffset(tx *blackboard.Tx) uint64
	// Apply applies records in their order. Records that were already applied
	// are ignored.
	Apply(tx *blackboard.Tx, now time.Time, records []eventlog.Record)
	// Skip is called when the records up to and including offset are no longer
	// retained by the platform.
	Skip(tx *blackboard.Tx, offset uint64)
}

// ConditionalConsumer is a Consumer that decides before each read whether to
// read, and is called with the outcome of each read.
type ConditionalConsumer interface {
	Consumer
	// ShouldRead reports whether the next read is to be made.
	ShouldRead(tx *blackboard.Tx) bool
	// ObserveRead is called after each read, failed or not. The records of a
	// successful read have been applied before.
	ObserveRead(tx *blackboard.Tx, now time.Time, batch tables.LogBatch)
}

// RestartableConsumer is a Consumer that can apply a stream again from its start.
// Without it, a consumer of a store that was restored from a copy continues at
// its offset.
type RestartableConsumer interface {
	Consumer
	// Restart is called when the position belongs to another era than the store,
	// so that offsets up to NextOffset can have been assigned again. NextOffset
	// must return 1 afterwards.
	Restart(tx *blackboard.Tx)
}

// Register adds the controller for stream s. Adding s to the returned handle
// makes the controller call ConditionalConsumer.ShouldRead again.
func Register(p *controller.Pool, t *tables.Tables, s eventlog.Stream, c Consumer) controller.Handle[eventlog.Stream] {
	r := reader{tables: t, consumer: c}
	handle := controller.Register(p, "logread", r.reconcile)
	t.LogBatches.Watch(func(changed eventlog.Stream) {
		if changed == s {
			handle.Add(s)
		}
	})
	t.StoreEra.Watch(func() { handle.Add(s) })
	handle.Add(s)
	return handle
}

type reader struct {
	tables   *tables.Tables
	consumer Consumer
}

func (r reader) reconcile(now time.Time, s eventlog.Stream) (result controller.Result) {
	access := append(r.consumer.Access(), r.tables.StoreEra.Write(), r.tables.StreamEras.Write(), r.tables.LogReads.Write(), r.tables.LogBatches.Write())
	r.tables.Board.Do(func(tx *blackboard.Tx) {
		result = r.processBatch(tx, now, s)
	}, access...)
	return result
}

// processBatch passes the batch in the inbox, if there is one, to the consumer
// and requests the next read. A failed batch stays in the inbox until its retry
// delay is over; the controller is then called again and requests the read.
func (r reader) processBatch(tx *blackboard.Tx, now time.Time, s eventlog.Stream) controller.Result {
	t := r.tables
	if _, pending := t.LogReads.Get(tx, s); pending {
		return controller.Result{}
	}
	batch, found := t.LogBatches.Get(tx, s)
	late := found && batch.RetryAt.IsZero() && storeera.Observe(tx, t, batch.RequestEra, batch.Era, nil)
	restarted := r.restart(tx, s)
	switch {
	case found && (late || restarted) && (batch.Err == nil || eris.Is(batch.Err, eventlog.ErrExpired)):
		// The records are of another era than the position. They are read again.
		batch.Err = nil
	case found && batch.Err != nil && batch.RetryAt.IsZero():
		delay := retryDelay(now, batch)
		batch.RetryAt = now.Add(delay)
		r.observe(tx, now, batch)
		t.LogBatches.Put(tx, s, batch)
		return controller.Result{RequeueAfter: delay}
	case found && batch.Err != nil && now.Before(batch.RetryAt):
		return controller.Result{RequeueAfter: batch.RetryAt.Sub(now)}
	case found && batch.Err != nil:
		r.skipExpired(tx, batch)
	case found:
		r.consumer.Apply(tx, now, batch.Records)
		r.observe(tx, now, batch)
	}
	t.LogBatches.Delete(tx, s)
	if conditional, ok := r.consumer.(ConditionalConsumer); ok && !conditional.ShouldRead(tx) {
		return controller.Result{}
	}
	next := tables.LogRead{From: r.consumer.NextOffset(tx), Wait: readWait, RequestedAt: now, Era: t.StoreEra.Get(tx)}
	if batch.Err != nil {
		next.Failures = batch.Failures + 1
	}
	t.LogReads.Put(tx, s, next)
	return controller.Result{}
}

// restart calls the consumer's Restart if its position belongs to another era
// than the known one, and reports whether it did. A position at the start of the
// stream is valid in every era.
func (r reader) restart(tx *blackboard.Tx, s eventlog.Stream) bool {
	consumer, ok := r.consumer.(RestartableConsumer)
	known := r.tables.StoreEra.Get(tx)
	if of, _ := r.tables.StreamEras.Get(tx, s); !ok || of == known {
		return false
	}
	r.tables.StreamEras.Put(tx, s, known)
	if consumer.NextOffset(tx) <= 1 {
		return false
	}
	consumer.Restart(tx)
	return true
}

// retryDelay returns the delay after a failed read. The nanoseconds of now add
// jitter, which spreads the retries of readers that failed at the same time. A
// read that returned the oldest retained offset is retried almost at once.
func retryDelay(now time.Time, batch tables.LogBatch) time.Duration {
	if _, known := eventlog.OldestRetained(batch.Err); known {
		return time.Millisecond
	}
	delay := min(baseRetryDelay<<min(batch.Failures, 8), maxRetryDelay)
	return delay/2 + time.Duration(now.UnixNano())%delay
}

func (r reader) observe(tx *blackboard.Tx, now time.Time, batch tables.LogBatch) {
	if conditional, ok := r.consumer.(ConditionalConsumer); ok {
		conditional.ObserveRead(tx, now, batch)
	}
}

// skipExpired calls the consumer's Skip if the batch failed because its first
// offset is no longer retained.
func (r reader) skipExpired(tx *blackboard.Tx, batch tables.LogBatch) {
	if oldest, known := eventlog.OldestRetained(batch.Err); known && oldest > batch.From {
		r.consumer.Skip(tx, oldest-1)
	}
}
