// Package follow has the controllers that keep this node's feed of the
// configuration stream going: from the log where the node reads it, from other
// nodes otherwise, and from snapshots where records are lost.
package follow

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controllers/logread"
	"github.com/marigoldshelf/marigoldshelf/decide/spread"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// Log is the logread.Follower of the configuration stream. It folds records
// into the feed and hands them on to Changes.
type Log struct {
	Tables *tables.Tables
	// Changes folds the records into the state.
	Changes logread.Consumer
	// Count is told of each thing that went wrong.
	Count func(event string)
}

// The events that are counted.
const (
	logExpired       = "log_expired"
	logUnanswered    = "log_unanswered"
	logGap           = "log_gap"
	peerUnanswered   = "peer_unanswered"
	peerFalse        = "peer_false"
	peerBehind       = "peer_behind"
	peerDiverged     = "peer_diverged"
	peerBusy         = "peer_busy"
	snapshotCorrupt  = "snapshot_corrupt"
	snapshotUnread   = "snapshot_unreadable"
	snapshotRestored = "snapshot_restored"
)

// Access names the tables of the fold.
func (l Log) Access() []blackboard.Access {
	return append(l.Changes.Access(), l.Tables.Feed.Write(), l.Tables.Role.Read())
}

// Next returns the first offset not folded in yet.
func (l Log) Next(tx *blackboard.Tx) uint64 { return l.Tables.Feed.Get(tx).Offset + 1 }

// Fold folds the records that continue the feed.
func (l Log) Fold(tx *blackboard.Tx, now time.Time, records []eventlog.Record) {
	feed := l.Tables.Feed.Get(tx)
	fresh, gap := feed.Accept(fromLog(records))
	if gap {
		l.Count(logGap)
		feed.Lost = true
		l.Tables.Feed.Set(tx, feed)
		return
	}
	fold(tx, l.Tables, l.Changes, now, fresh)
}

// Skip is called when records after the feed are no longer retained.
func (l Log) Skip(tx *blackboard.Tx, _ uint64) {
	l.Count(logExpired)
	feed := l.Tables.Feed.Get(tx)
	feed.Lost = true
	l.Tables.Feed.Set(tx, feed)
}

// Wanted reports whether this node reads the log.
func (l Log) Wanted(tx *blackboard.Tx) bool {
	feed := l.Tables.Feed.Get(tx)
	return l.Tables.Role.Get(tx).Reader && !feed.Lost
}

// Observe notes whether the log answers, and that it had nothing more when an
// answer was empty.
func (l Log) Observe(tx *blackboard.Tx, now time.Time, batch tables.LogBatch) {
	feed := l.Tables.Feed.Get(tx)
	_, expired := eventlog.Oldest(batch.Err)
	failing := batch.Err != nil && !expired
	if failing {
		l.Count(logUnanswered)
	}
	if !failing {
		feed = feed.ContactAt(now)
	}
	if batch.Err == nil && len(batch.Records) == 0 {
		feed = feed.ConfirmedAt(batch.At)
	}
	feed.LogFailing = failing
	l.Tables.Feed.Set(tx, feed)
}

// fold takes fresh records into the state and the feed in one transaction.
func fold(tx *blackboard.Tx, t *tables.Tables, c logread.Consumer, now time.Time, fresh []spread.Record) {
	if len(fresh) == 0 {
		return
	}
	records := make([]eventlog.Record, len(fresh))
	for i, r := range fresh {
		records[i] = eventlog.Record{Offset: r.Offset, Data: r.Data}
	}
	c.Fold(tx, now, records)
	t.Feed.Set(tx, t.Feed.Get(tx).Append(fresh))
}

func fromLog(records []eventlog.Record) []spread.Record {
	list := make([]spread.Record, len(records))
	for i, r := range records {
		list[i] = spread.Record{Offset: r.Offset, Data: r.Data}
	}
	return list
}
