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

// Snapshots is the logread.Follower of the snapshots stream: it is read by the
// nodes that may write snapshots, and by readers that lost records.
type Snapshots struct {
	Tables *tables.Tables
	// Writers is the number of nodes that may write.
	Writers int
}

// Access names the tables of the fold.
func (s Snapshots) Access() []blackboard.Access {
	t := s.Tables
	return []blackboard.Access{t.Shelf.Write(), t.Positions.Write(), t.Role.Read(), t.Feed.Read()}
}

// Next returns the first offset not folded in yet.
func (s Snapshots) Next(tx *blackboard.Tx) uint64 {
	last, _ := s.Tables.Positions.Get(tx, eventlog.Snapshots)
	return last + 1
}

// Fold collects the chunks; what is no chunk is passed over.
func (s Snapshots) Fold(tx *blackboard.Tx, now time.Time, records []eventlog.Record) {
	if len(records) == 0 {
		return
	}
	shelf := s.Tables.Shelf.Get(tx)
	for _, r := range records {
		s.Tables.Positions.Put(tx, eventlog.Snapshots, r.Offset)
		chunk, err := encoding.DecodeChunk(r.Data)
		if err != nil {
			continue
		}
		shelf = shelf.Add(earlier(r.Time, now), chunk)
	}
	s.Tables.Shelf.Set(tx, shelf)
}

// earlier guards against a platform whose clock is ahead.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Skip moves past chunks that are no longer retained.
func (s Snapshots) Skip(tx *blackboard.Tx, offset uint64) {
	s.Tables.Positions.Put(tx, eventlog.Snapshots, offset)
}

// Wanted reports whether this node reads snapshots.
func (s Snapshots) Wanted(tx *blackboard.Tx) bool {
	role := s.Tables.Role.Get(tx)
	writer := role.WriterRank > 0 && role.WriterRank <= s.Writers
	return writer || role.Reader && s.Tables.Feed.Get(tx).Lost
}

// Observe implements logread.Follower.
func (s Snapshots) Observe(*blackboard.Tx, time.Time, tables.LogBatch) {}

// registerRestore adds the controller that restores the state from the log's
// newest snapshot when records were lost.
func registerRestore(p *controller.Pool, l Log) {
	t := l.Tables
	handle := controller.Register(p, "restore", func(time.Time, int) controller.Result {
		access := append(l.Changes.Access(), t.Feed.Write(), t.Shelf.Read())
		t.Board.Do(func(tx *blackboard.Tx) {
			if t.Feed.Get(tx).Lost {
				restore(tx, l, t.Shelf.Get(tx).Best)
			}
		}, access...)
		return controller.Result{}
	})
	t.Shelf.Watch(func() { handle.Add(theKey) })
	t.Feed.Watch(func() { handle.Add(theKey) })
}

// restore replaces the state by a snapshot that is newer, or, for a node whose
// history differs from that of others, as new. It reports whether the
// snapshot could be read.
func restore(tx *blackboard.Tx, l Log, s snapshot.Snapshot) bool {
	feed := l.Tables.Feed.Get(tx)
	newer := s.Offset > feed.Offset || feed.Diverged && s.Offset == feed.Offset
	if s.ID == "" || !newer {
		return true
	}
	state, digest, err := encoding.DecodeState(s)
	if err != nil {
		l.Count(snapshotUnread)
		return false
	}
	l.Count(snapshotRestored)
	l.Tables.Changes.Set(tx, state)
	l.Tables.Feed.Set(tx, feed.Restart(state.Offset, digest))
	return true
}
