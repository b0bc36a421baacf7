// Package follow has the controllers that replicate the configuration stream to
// this node, in the tables Changes and Feed. A node whose role is reader reads
// the platform's log. Other nodes, and readers whose log read fails, request
// records from other nodes. A snapshot replaces the state when the next records
// are no longer available or when the node's history has diverged.
package follow

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controllers/logread"
	"github.com/marigoldshelf/marigoldshelf/decide/distribution"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// ConfigConsumer is the logread.ConditionalConsumer of the configuration
// stream. It appends records to the table Feed and passes them to Changes.
type ConfigConsumer struct {
	Tables *tables.Tables
	// ChangeConsumer applies the records to the table Changes.
	ChangeConsumer logread.Consumer
	// Count is called with the name of each event that is counted.
	Count func(event string)
}

// Events passed to Count. The strings are metric labels.
const (
	eventLogExpired         = "log_expired"
	eventLogUnanswered      = "log_unanswered"
	eventLogGap             = "log_gap"
	eventPeerUnanswered     = "peer_unanswered"
	eventPeerInvalid        = "peer_false"
	eventPeerBehind         = "peer_behind"
	eventPeerDiverged       = "peer_diverged"
	eventPeerBusy           = "peer_busy"
	eventSnapshotCorrupt    = "snapshot_corrupt"
	eventSnapshotUnreadable = "snapshot_unreadable"
	eventSnapshotRestored   = "snapshot_restored"
)

// Access returns the tables that the methods of ConfigConsumer use.
func (l ConfigConsumer) Access() []blackboard.Access {
	return append(l.ChangeConsumer.Access(), l.Tables.Feed.Write(), l.Tables.Role.Read())
}

// NextOffset returns the offset after the last record in the feed.
func (l ConfigConsumer) NextOffset(tx *blackboard.Tx) uint64 { return l.Tables.Feed.Get(tx).Offset + 1 }

// Apply applies the records that continue the feed. If records are missing
// between the feed and the batch, it applies none and marks the feed as
// expired, so that a snapshot is restored.
func (l ConfigConsumer) Apply(tx *blackboard.Tx, now time.Time, records []eventlog.Record) {
	feed := l.Tables.Feed.Get(tx)
	fresh, gap := feed.Accept(toDistributionRecords(records))
	if gap {
		l.Count(eventLogGap)
		feed.Expired = true
		l.Tables.Feed.Set(tx, feed)
		return
	}
	foldAndAppend(tx, l.Tables, l.ChangeConsumer, now, fresh)
}

// Skip marks the feed as expired: records that follow it are no longer
// retained.
func (l ConfigConsumer) Skip(tx *blackboard.Tx, _ uint64) {
	l.Count(eventLogExpired)
	feed := l.Tables.Feed.Get(tx)
	feed.Expired = true
	l.Tables.Feed.Set(tx, feed)
}

// ShouldRead reports whether this node reads the log: its role is reader and
// the feed is not marked as expired.
func (l ConfigConsumer) ShouldRead(tx *blackboard.Tx) bool {
	feed := l.Tables.Feed.Get(tx)
	return l.Tables.Role.Get(tx).ReadsLog && !feed.Expired
}

// ObserveRead records in the feed whether the log answered; an expired offset
// counts as an answer. An empty answer confirms that the feed was at the end of
// the log when the read was requested.
func (l ConfigConsumer) ObserveRead(tx *blackboard.Tx, now time.Time, batch tables.LogBatch) {
	feed := l.Tables.Feed.Get(tx)
	_, expired := eventlog.OldestRetained(batch.Err)
	failing := batch.Err != nil && !expired
	if failing {
		l.Count(eventLogUnanswered)
	}
	if !failing {
		feed = feed.WithLogContact(now)
	}
	if batch.Err == nil && len(batch.Records) == 0 {
		feed = feed.WithCaughtUp(batch.RequestedAt)
	}
	feed.LogFailing = failing
	l.Tables.Feed.Set(tx, feed)
}

// foldAndAppend passes records that follow the feed to c and appends them to
// the feed in the same transaction.
func foldAndAppend(tx *blackboard.Tx, t *tables.Tables, c logread.Consumer, now time.Time, fresh []distribution.Record) {
	if len(fresh) == 0 {
		return
	}
	records := make([]eventlog.Record, len(fresh))
	for i, r := range fresh {
		records[i] = eventlog.Record{Offset: r.Offset, Data: r.Data}
	}
	c.Apply(tx, now, records)
	t.Feed.Set(tx, t.Feed.Get(tx).Append(fresh))
}

func toDistributionRecords(records []eventlog.Record) []distribution.Record {
	list := make([]distribution.Record, len(records))
	for i, r := range records {
		list[i] = distribution.Record{Offset: r.Offset, Data: r.Data}
	}
	return list
}
