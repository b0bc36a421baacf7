// Package changes folds the configuration stream into the cell Changes, and
// notes what became of records that were appended through this node.
package changes

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/decide/submit"
	"github.com/marigoldshelf/marigoldshelf/encoding/record"
	"github.com/marigoldshelf/marigoldshelf/platform"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// Consumer implements logread.Consumer for the configuration stream.
type Consumer struct {
	Tables *tables.Tables
}

// Access names the tables of the fold.
func (c Consumer) Access() []blackboard.Access {
	return []blackboard.Access{c.Tables.Changes.Write(), c.Tables.Submissions.Write()}
}

// Next returns the first offset not folded in yet.
func (c Consumer) Next(tx *blackboard.Tx) uint64 {
	return c.Tables.Changes.Get(tx).Offset + 1
}

// Fold applies records to the state. A record that cannot be read is refused
// as a whole by every node alike: it only moves the offset.
func (c Consumer) Fold(tx *blackboard.Tx, _ time.Time, records []platform.Record) {
	if len(records) == 0 {
		return
	}
	state := c.Tables.Changes.Get(tx)
	for _, r := range records {
		state = c.apply(tx, state, r)
	}
	c.Tables.Changes.Set(tx, state)
}

func (c Consumer) apply(tx *blackboard.Tx, state change.State, r platform.Record) change.State {
	decoded, err := record.DecodeChange(r.Data)
	if err != nil {
		return state.Skip(r.Offset)
	}
	next, outcome := state.Apply(r.Offset, decoded)
	if s, found := c.Tables.Submissions.Get(tx, decoded.ID); found && s.State != submit.InLog {
		c.Tables.Submissions.Put(tx, decoded.ID, s.ReadBack(outcome))
	}
	return next
}

// Skip is called when records were lost to retention; the state stays as it is
// until a snapshot replaces it.
func (c Consumer) Skip(*blackboard.Tx, uint64) {}
