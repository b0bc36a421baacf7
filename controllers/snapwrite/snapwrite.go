// Package snapwrite is the controller that appends snapshots of the
// configuration state to the log before the records that they cover expire. It
// keeps its progress in the cell SnapshotWrite and appends through Appends.
//
// Several nodes can write at once, and a node can write late: a snapshot's ID
// is the hash of its content, and an older snapshot does not replace a newer
// one.
package snapwrite

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/decide/distribution"
	"github.com/marigoldshelf/marigoldshelf/decide/snapshot"
	encoding "github.com/marigoldshelf/marigoldshelf/encoding/snapshot"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

const (
	// singletonKey is the only key of this controller.
	singletonKey = 0
	// appendID is the key of the chunk in Appends and AppendResults.
	appendID = "snapshot"
	// appendRetryDelay is the delay after a failed append.
	appendRetryDelay = time.Second
	// snapshotDelay is the delay after a snapshot was written, so that it can
	// be read back, and after one that could not be encoded.
	snapshotDelay = 30 * time.Second
)

// Config holds the controller's settings.
type Config struct {
	// StartedAt is the time at which the node started.
	StartedAt time.Time
	Policy    snapshot.Policy
	// Count is called for each snapshot written and each failed append.
	Count func(event string)
}

// The counted events.
const (
	snapshotWritten = "snapshot_written"
	appendFailed    = "snapshot_append_failed"
)

// Register adds the controller to the pool.
func Register(p *controller.Pool, t *tables.Tables, c Config) {
	c.Policy = c.Policy.WithDefaults()
	w := writer{tables: t, config: c}
	handle := controller.Register(p, "snapwrite", w.reconcile)
	enqueue := func() { handle.Add(singletonKey) }
	t.Role.Watch(enqueue)
	t.Feed.Watch(enqueue)
	t.SnapshotCatalog.Watch(enqueue)
	t.AppendResults.Watch(func(id string) {
		if id == appendID {
			enqueue()
		}
	})
}

type writer struct {
	tables *tables.Tables
	config Config
}

// reconcile encodes outside the transactions, so it has two of them. This is
// safe because the pool never runs this controller concurrently with itself,
// and no other controller writes SnapshotWrite.
func (w writer) reconcile(now time.Time, _ int) (result controller.Result) {
	t := w.tables
	var state change.State
	var digest distribution.Digest
	due := false
	t.Board.Do(func(tx *blackboard.Tx) {
		write := t.SnapshotWrite.Get(tx)
		if write.Writing.ID != "" {
			result = w.writeChunk(tx, now, write)
			return
		}
		result, due = w.checkDue(tx, now, write)
		state, digest = t.Changes.Get(tx), t.Feed.Get(tx).Digest
	}, t.Changes.Read(), t.Role.Read(), t.Feed.Read(), t.SnapshotCatalog.Read(), t.SnapshotWrite.Write(),
		t.Appends.Write(), t.AppendResults.Write())
	if !due {
		return result
	}
	encoded, err := encoding.EncodeState(state, digest)
	if err != nil {
		return controller.Result{RequeueAfter: snapshotDelay}
	}
	t.Board.Do(func(tx *blackboard.Tx) {
		write := tables.SnapshotWrite{Writing: encoded}
		result = w.writeChunk(tx, now, write)
	}, t.SnapshotWrite.Write(), t.Appends.Write(), t.AppendResults.Write())
	return result
}

// checkDue reports whether this node has to write a snapshot now. If not, the
// result has the delay until one can be due; zero when only a change of a
// watched table can make it due.
func (w writer) checkDue(tx *blackboard.Tx, now time.Time, write tables.SnapshotWrite) (controller.Result, bool) {
	t := w.tables
	catalog, offset := t.SnapshotCatalog.Get(tx), t.Feed.Get(tx).Offset
	countDue := w.config.Policy.DueByRecords(catalog, offset)
	if countDue != !write.ThresholdReachedAt.IsZero() {
		write.ThresholdReachedAt = time.Time{}
		if countDue {
			write.ThresholdReachedAt = now
		}
		t.SnapshotWrite.Set(tx, write)
	}
	writerState := snapshot.WriterState{
		Rank: t.Role.Get(tx).WriterRank - 1, Offset: offset, RecordsDueAt: write.ThresholdReachedAt, StartedAt: w.config.StartedAt,
	}
	dueAt, canBeDue := w.config.Policy.DueAt(catalog, writerState)
	if !canBeDue {
		return controller.Result{}, false
	}
	if write.RetryAt.After(dueAt) {
		dueAt = write.RetryAt
	}
	if now.Before(dueAt) {
		return controller.Result{RequeueAfter: dueAt.Sub(now)}, false
	}
	return controller.Result{}, true
}

// writeChunk applies the outcome of the last append, and appends the next chunk
// of the snapshot. A chunk whose append was not confirmed is appended again,
// although it may be in the log.
func (w writer) writeChunk(tx *blackboard.Tx, now time.Time, write tables.SnapshotWrite) controller.Result {
	t := w.tables
	if outcome, found := t.AppendResults.Get(tx, appendID); found {
		t.AppendResults.Delete(tx, appendID)
		if outcome.Err == nil {
			write.NextChunk++
		} else {
			w.config.Count(appendFailed)
			write.RetryAt = now.Add(appendRetryDelay)
		}
	}
	if write.NextChunk >= write.Writing.Count() {
		w.config.Count(snapshotWritten)
		t.SnapshotWrite.Set(tx, tables.SnapshotWrite{RetryAt: now.Add(snapshotDelay)})
		return controller.Result{RequeueAfter: snapshotDelay}
	}
	t.SnapshotWrite.Set(tx, write)
	if now.Before(write.RetryAt) {
		return controller.Result{RequeueAfter: write.RetryAt.Sub(now)}
	}
	if _, pending := t.Appends.Get(tx, appendID); pending {
		return controller.Result{}
	}
	data, err := encoding.EncodeChunk(write.Writing.Chunk(write.NextChunk))
	if err != nil {
		t.SnapshotWrite.Set(tx, tables.SnapshotWrite{RetryAt: now.Add(snapshotDelay)})
		return controller.Result{RequeueAfter: snapshotDelay}
	}
	t.Appends.Put(tx, appendID, tables.Append{Stream: eventlog.SnapshotsStream, Data: string(data)})
	return controller.Result{}
}
