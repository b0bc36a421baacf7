// Package snapwrite is the controller that writes snapshots of the
// configuration's state into the log before the records they cover expire.
// Nothing stops two nodes from writing at once, nor one from writing late: a
// snapshot is named by its content, and an older one changes nothing.
package snapwrite

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/decide/snapshot"
	"github.com/marigoldshelf/marigoldshelf/decide/spread"
	encoding "github.com/marigoldshelf/marigoldshelf/encoding/snapshot"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

const (
	theKey = 0
	// appendID is the outbox key of the chunk under way.
	appendID = "snapshot"
	// retryDelay is the pause after a failed append.
	retryDelay = time.Second
	// holdOff is the pause after a snapshot, until it was read back.
	holdOff = 30 * time.Second
)

// Config sets the controller up.
type Config struct {
	// Started is the instant at which the node started.
	Started time.Time
	Policy  snapshot.Policy
	// Count is told of each snapshot written and each append tried again.
	Count func(event string)
}

// The events that are counted.
const (
	written      = "snapshot_written"
	appendFailed = "snapshot_append_failed"
)

// Register adds the controller.
func Register(p *controller.Pool, t *tables.Tables, c Config) {
	c.Policy = c.Policy.WithDefaults()
	w := writer{tables: t, config: c}
	handle := controller.Register(p, "snapwrite", w.reconcile)
	wake := func() { handle.Add(theKey) }
	t.Role.Watch(wake)
	t.Feed.Watch(wake)
	t.Shelf.Watch(wake)
	t.AppendsDone.Watch(func(id string) {
		if id == appendID {
			wake()
		}
	})
}

type writer struct {
	tables *tables.Tables
	config Config
}

// reconcile encodes outside the transactions, which is why it has two: only
// this controller writes SnapshotDuty, and it never runs twice at once.
func (w writer) reconcile(now time.Time, _ int) (result controller.Result) {
	t := w.tables
	var state change.State
	var digest spread.Digest
	begin := false
	t.Board.Do(func(tx *blackboard.Tx) {
		duty := t.SnapshotDuty.Get(tx)
		if duty.Writing.ID != "" {
			result = w.write(tx, now, duty)
			return
		}
		result, begin = w.due(tx, now, duty)
		state, digest = t.Changes.Get(tx), t.Feed.Get(tx).Digest
	}, t.Changes.Read(), t.Role.Read(), t.Feed.Read(), t.Shelf.Read(), t.SnapshotDuty.Write(),
		t.Appends.Write(), t.AppendsDone.Write())
	if !begin {
		return result
	}
	encoded, err := encoding.EncodeState(state, digest)
	if err != nil {
		return controller.Result{After: holdOff}
	}
	t.Board.Do(func(tx *blackboard.Tx) {
		duty := tables.SnapshotDuty{Writing: encoded}
		result = w.write(tx, now, duty)
	}, t.SnapshotDuty.Write(), t.Appends.Write(), t.AppendsDone.Write())
	return result
}

// due reports whether this node has to write now, and else when to look again.
func (w writer) due(tx *blackboard.Tx, now time.Time, duty tables.SnapshotDuty) (controller.Result, bool) {
	t := w.tables
	shelf, offset := t.Shelf.Get(tx), t.Feed.Get(tx).Offset
	counted := w.config.Policy.CountDue(shelf, offset)
	if counted != !duty.CountedAt.IsZero() {
		duty.CountedAt = time.Time{}
		if counted {
			duty.CountedAt = now
		}
		t.SnapshotDuty.Set(tx, duty)
	}
	facts := snapshot.Facts{
		Rank: t.Role.Get(tx).WriterRank - 1, Offset: offset, CountedAt: duty.CountedAt, Started: w.config.Started,
	}
	at, ever := w.config.Policy.DueAt(shelf, facts)
	if !ever {
		return controller.Result{}, false
	}
	if duty.RetryAt.After(at) {
		at = duty.RetryAt
	}
	if now.Before(at) {
		return controller.Result{After: at.Sub(now)}, false
	}
	return controller.Result{}, true
}

// write appends the next chunk of the snapshot under way, or takes in what
// came of the last one. A chunk whose answer was lost is appended again.
func (w writer) write(tx *blackboard.Tx, now time.Time, duty tables.SnapshotDuty) controller.Result {
	t := w.tables
	if done, came := t.AppendsDone.Get(tx, appendID); came {
		t.AppendsDone.Delete(tx, appendID)
		if done.Err == nil {
			duty.Next++
		} else {
			w.config.Count(appendFailed)
			duty.RetryAt = now.Add(retryDelay)
		}
	}
	if duty.Next >= duty.Writing.Count() {
		w.config.Count(written)
		t.SnapshotDuty.Set(tx, tables.SnapshotDuty{RetryAt: now.Add(holdOff)})
		return controller.Result{After: holdOff}
	}
	t.SnapshotDuty.Set(tx, duty)
	if now.Before(duty.RetryAt) {
		return controller.Result{After: duty.RetryAt.Sub(now)}
	}
	if _, underWay := t.Appends.Get(tx, appendID); underWay {
		return controller.Result{}
	}
	data, err := encoding.EncodeChunk(duty.Writing.Chunk(duty.Next))
	if err != nil {
		t.SnapshotDuty.Set(tx, tables.SnapshotDuty{RetryAt: now.Add(holdOff)})
		return controller.Result{After: holdOff}
	}
	t.Appends.Put(tx, appendID, tables.Append{Stream: eventlog.Snapshots, Data: string(data)})
	return controller.Result{}
}
