// Package keymap folds the keys stream, which assigns the shards of the
// idempotency keys to their holders, into the table KeyMap. When this node
// becomes or stops being a holder of a shard, it updates the shard's rows in
// KeyShards and KeyEntries.
package keymap

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/decide/idempotency"
	"github.com/marigoldshelf/marigoldshelf/encoding/record"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// Consumer implements logread.Consumer for the keys stream.
type Consumer struct {
	Tables *tables.Tables
	Clock  clock.Clock
	Config idempotency.Config
	// Self is this node as a holder.
	Self idempotency.Holder
}

// Access returns the tables that the other methods use.
func (c Consumer) Access() []blackboard.Access {
	t := c.Tables
	return []blackboard.Access{t.KeyMap.Write(), t.KeyShards.Write(), t.KeyEntries.Write()}
}

// NextOffset returns the first offset that is not folded in yet, and records
// the time of the read that follows.
func (c Consumer) NextOffset(tx *blackboard.Tx) uint64 {
	row := c.Tables.KeyMap.Get(tx)
	row.RequestedAt = c.Clock.Now()
	c.Tables.KeyMap.Set(tx, row)
	return row.Map.Offset + 1
}

// Apply applies records to the map. A read without records proves that the
// stream had no later record when the read was requested.
func (c Consumer) Apply(tx *blackboard.Tx, now time.Time, records []eventlog.Record) {
	row := c.Tables.KeyMap.Get(tx)
	if len(records) == 0 {
		row.LogConfirmedAt = row.RequestedAt
	}
	for _, r := range records {
		// A decoding error is ignored, so that the offset advances past a
		// record that this build cannot read.
		decoded, _ := record.DecodeKeys(r.Data)
		row = c.foldRecord(tx, now, row, r.Offset, decoded)
	}
	c.Tables.KeyMap.Set(tx, row)
}

func (c Consumer) foldRecord(tx *blackboard.Tx, now time.Time, row tables.KeyMap, offset uint64, r idempotency.Record) tables.KeyMap {
	before := row.Map
	row.Map = row.Map.Fold(offset, r)
	for shard, assignment := range row.Map.Assignments {
		old := before.Assignments[shard]
		if assignment.LastRecordOffset != old.LastRecordOffset {
			row.LastRecordAt[shard] = now
		}
		if assignment.Epoch != old.Epoch {
			c.applyAssignment(tx, now, shard, assignment, old.Epoch, row.Map.LastSkippedOffset)
		}
	}
	return row
}

// applyAssignment starts, changes or ends this node's role in a shard. It does
// not start a role under an epoch that is not later than the skipped records:
// the node may have held the shard under that epoch and lost its state.
func (c Consumer) applyAssignment(tx *blackboard.Tx, now time.Time, shard int, a idempotency.Assignment, previousEpoch, skipped uint64) {
	t := c.Tables
	before, held := t.KeyShards.Get(tx, shard)
	if !a.Holds(c.Self) || a.Epoch <= skipped {
		c.dropShard(tx, shard, held)
		return
	}
	next, stateKept := idempotency.Adopt(now, c.Config, shard, c.Self, before, a, previousEpoch)
	if !stateKept {
		c.dropShard(tx, shard, held)
	}
	t.KeyShards.Put(tx, shard, next)
}

// dropShard deletes a shard and its entries if this node holds it.
func (c Consumer) dropShard(tx *blackboard.Tx, shard int, held bool) {
	if !held {
		return
	}
	t := c.Tables
	t.KeyShards.Delete(tx, shard)
	t.KeyEntries.Each(tx, func(id idempotency.KeyID, _ idempotency.Entry) bool {
		if c.Config.ShardOf(id) == shard {
			t.KeyEntries.Delete(tx, id)
		}
		return true
	})
}

// Skip drops all shards and assignments: a skipped record may have replaced
// this node as a holder.
func (c Consumer) Skip(tx *blackboard.Tx, offset uint64) {
	row := c.Tables.KeyMap.Get(tx)
	for shard := range c.Config.Shards {
		_, held := c.Tables.KeyShards.Get(tx, shard)
		c.dropShard(tx, shard, held)
	}
	c.Tables.KeyMap.Set(tx, tables.KeyMap{Map: row.Map.Skip(offset)})
}
