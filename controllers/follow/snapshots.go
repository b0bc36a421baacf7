package follow

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/snapshot"
	encoding "github.com/marigoldshelf/marigoldshelf/encoding/snapshot"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// SnapshotConsumer is the logread.ConditionalConsumer of the snapshots stream.
// The stream is read by the nodes that are allowed to write snapshots and by
// readers whose feed is marked as expired.
type SnapshotConsumer struct {
	Tables *tables.Tables
	// Writers is the number of nodes that are allowed to write snapshots.
	Writers int
}

// Access returns the tables that the methods of SnapshotConsumer use.
func (s SnapshotConsumer) Access() []blackboard.Access {
	t := s.Tables
	return []blackboard.Access{t.SnapshotCatalog.Write(), t.Positions.Write(), t.Role.Read(), t.Feed.Read()}
}

// NextOffset returns the offset after the last record that was read.
func (s SnapshotConsumer) NextOffset(tx *blackboard.Tx) uint64 {
	last, _ := s.Tables.Positions.Get(tx, eventlog.SnapshotsStream)
	return last + 1
}

// Apply adds the chunks to the cell SnapshotCatalog. Records that cannot be
// decoded are ignored.
func (s SnapshotConsumer) Apply(tx *blackboard.Tx, now time.Time, records []eventlog.Record) {
	if len(records) == 0 {
		return
	}
	catalog := s.Tables.SnapshotCatalog.Get(tx)
	for _, r := range records {
		s.Tables.Positions.Put(tx, eventlog.SnapshotsStream, r.Offset)
		chunk, err := encoding.DecodeChunk(r.Data)
		if err != nil {
			continue
		}
		catalog = catalog.Add(earlierTime(r.Time, now), chunk)
	}
	s.Tables.SnapshotCatalog.Set(tx, catalog)
}

// earlierTime returns the earlier of a and b. It limits record times to the
// present, in case the platform's clock is ahead.
func earlierTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Skip continues after offset: earlier chunks are no longer retained.
func (s SnapshotConsumer) Skip(tx *blackboard.Tx, offset uint64) {
	s.Tables.Positions.Put(tx, eventlog.SnapshotsStream, offset)
}

// ShouldRead reports whether this node reads snapshots: its rank allows it to
// write them, or it is a reader whose feed is marked as expired.
func (s SnapshotConsumer) ShouldRead(tx *blackboard.Tx) bool {
	role := s.Tables.Role.Get(tx)
	writer := role.WriterRank > 0 && role.WriterRank <= s.Writers
	return writer || role.ReadsLog && s.Tables.Feed.Get(tx).Expired
}

// ObserveRead does nothing; it implements logread.ConditionalConsumer.
func (s SnapshotConsumer) ObserveRead(*blackboard.Tx, time.Time, tables.LogBatch) {}

// registerRestore adds the controller that restores the state from the newest
// complete snapshot of the log while the feed is marked as expired.
func registerRestore(p *controller.Pool, l ConfigConsumer) {
	t := l.Tables
	handle := controller.Register(p, "restore", func(time.Time, int) controller.Result {
		access := append(l.ChangeConsumer.Access(), t.Feed.Write(), t.SnapshotCatalog.Read())
		t.Board.Do(func(tx *blackboard.Tx) {
			if t.Feed.Get(tx).Expired {
				restoreSnapshot(tx, l, t.SnapshotCatalog.Get(tx).Newest)
			}
		}, access...)
		return controller.Result{}
	})
	t.SnapshotCatalog.Watch(func() { handle.Add(singletonKey) })
	t.Feed.Watch(func() { handle.Add(singletonKey) })
}

// restoreSnapshot replaces the state and restarts the feed with a snapshot that
// is newer than the feed. A node whose history has diverged also accepts a
// snapshot at the feed's own offset. It returns false if the snapshot cannot be
// decoded.
func restoreSnapshot(tx *blackboard.Tx, l ConfigConsumer, s snapshot.Snapshot) bool {
	feed := l.Tables.Feed.Get(tx)
	newer := s.Offset > feed.Offset || feed.Diverged && s.Offset == feed.Offset
	if s.ID == "" || !newer {
		return true
	}
	state, digest, err := encoding.DecodeState(s)
	if err != nil {
		l.Count(eventSnapshotUnreadable)
		return false
	}
	l.Count(eventSnapshotRestored)
	l.Tables.Changes.Set(tx, state)
	l.Tables.Feed.Set(tx, feed.ResetTo(state.Offset, digest))
	return true
}
