// Package changes folds the records of the configuration stream into the table
// Changes: the proposals and the released configuration.
package changes

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/encoding/record"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// Consumer implements logread.Consumer for the configuration stream.
type Consumer struct {
	Tables *tables.Tables
}

// Access returns the tables that the other methods use.
func (c Consumer) Access() []blackboard.Access {
	return []blackboard.Access{c.Tables.Changes.Write()}
}

// NextOffset returns the first offset that is not folded in yet.
func (c Consumer) NextOffset(tx *blackboard.Tx) uint64 {
	return c.Tables.Changes.Get(tx).Offset + 1
}

// Apply applies records to the state. A record that does not decode only
// advances the offset, on every node alike.
func (c Consumer) Apply(tx *blackboard.Tx, _ time.Time, records []eventlog.Record) {
	if len(records) == 0 {
		return
	}
	fold := change.NewFold(c.Tables.Changes.Get(tx))
	for _, r := range records {
		decoded, err := record.DecodeChange(r.Data)
		if err != nil {
			fold.Skip(r.Offset)
			continue
		}
		fold.Apply(r.Offset, decoded)
	}
	c.Tables.Changes.Set(tx, fold.State())
}

// Skip does nothing: when records are lost to retention, the state stays as it
// is until a snapshot replaces it.
func (c Consumer) Skip(*blackboard.Tx, uint64) {}
