// Package keymap folds the keys stream: who holds which shard of the
// idempotency keys. A node that becomes a holder, or is one no more, learns it
// here.
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
	Self   idempotency.Holder
}

// Access names the tables of the fold.
func (c Consumer) Access() []blackboard.Access {
	t := c.Tables
	return []blackboard.Access{t.KeyMap.Write(), t.KeyShards.Write(), t.KeyEntries.Write()}
}

// Next returns the first offset not folded in yet, and notes when it was asked
// for.
func (c Consumer) Next(tx *blackboard.Tx) uint64 {
	row := c.Tables.KeyMap.Get(tx)
	row.AskedAt = c.Clock.Now()
	c.Tables.KeyMap.Set(tx, row)
	return row.Map.Offset + 1
}

// Fold folds the records in. A read that brought none proves that there was
// none when it was asked for.
func (c Consumer) Fold(tx *blackboard.Tx, now time.Time, records []eventlog.Record) {
	row := c.Tables.KeyMap.Get(tx)
	if len(records) == 0 {
		row.Confirmed = row.AskedAt
	}
	for _, r := range records {
		// A record that this build cannot read moves nothing but the offset.
		decoded, _ := record.DecodeKeys(r.Data)
		row = c.fold(tx, now, row, r.Offset, decoded)
	}
	c.Tables.KeyMap.Set(tx, row)
}

func (c Consumer) fold(tx *blackboard.Tx, now time.Time, row tables.KeyMap, offset uint64, r idempotency.Record) tables.KeyMap {
	before := row.Map
	row.Map = row.Map.Fold(offset, r)
	for shard, a := range row.Map.Assignments {
		old := before.Assignments[shard]
		if a.Link != old.Link {
			row.LinkedAt[shard] = now
		}
		if a.Epoch != old.Epoch {
			c.adopt(tx, now, shard, a, old.Epoch, row.Map.Skipped)
		}
	}
	return row
}

// adopt takes up, changes or gives up this node's part in a shard. An epoch
// from before the records that were skipped is not taken up: the node may have
// held it and forgotten it.
func (c Consumer) adopt(tx *blackboard.Tx, now time.Time, shard int, a idempotency.Assignment, previous, skipped uint64) {
	t := c.Tables
	before, held := t.KeyShards.Get(tx, shard)
	if !a.Holds(c.Self) || a.Epoch <= skipped {
		c.drop(tx, shard, held)
		return
	}
	next, carried := idempotency.Adopt(now, c.Config, shard, c.Self, before, a, previous)
	if !carried {
		c.drop(tx, shard, held)
	}
	t.KeyShards.Put(tx, shard, next)
}

func (c Consumer) drop(tx *blackboard.Tx, shard int, held bool) {
	if !held {
		return
	}
	t := c.Tables
	t.KeyShards.Delete(tx, shard)
	t.KeyEntries.Each(tx, func(id idempotency.ID, _ idempotency.Entry) bool {
		if c.Config.ShardOf(id) == shard {
			t.KeyEntries.Delete(tx, id)
		}
		return true
	})
}

// Skip forgets everything: this node may have been replaced unseen.
func (c Consumer) Skip(tx *blackboard.Tx, offset uint64) {
	row := c.Tables.KeyMap.Get(tx)
	for shard := range c.Config.Shards {
		_, held := c.Tables.KeyShards.Get(tx, shard)
		c.drop(tx, shard, held)
	}
	c.Tables.KeyMap.Set(tx, tables.KeyMap{Map: row.Map.Skip(offset)})
}
