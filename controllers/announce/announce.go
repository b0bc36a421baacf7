// Package announce is the controller that makes this node known: it writes an
// announcement to the members stream, and folds the announcements of others
// into the table Members.
package announce

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/encoding/record"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/platform"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

const (
	// appendID is the outbox key of the node's own announcement.
	appendID = "announce"
	// retryDelay is the pause after a failed announcement.
	retryDelay = time.Second
)

// Register adds the controller; it announces self until the log has it.
func Register(p *controller.Pool, t *tables.Tables, self mesh.Member) error {
	data, err := record.EncodeMember(self)
	if err != nil {
		return err
	}
	row := tables.Append{Stream: platform.Members, Data: string(data)}
	handle := controller.Register(p, "announce", func(_ time.Time, id string) (result controller.Result) {
		t.Board.Do(func(tx *blackboard.Tx) { result = step(tx, t, row) },
			t.Appends.Write(), t.AppendsDone.Write())
		return result
	})
	t.AppendsDone.Watch(func(id string) {
		if id == appendID {
			handle.Add(id)
		}
	})
	handle.Add(appendID)
	return nil
}

func step(tx *blackboard.Tx, t *tables.Tables, row tables.Append) controller.Result {
	done, came := t.AppendsDone.Get(tx, appendID)
	if came && done.Err == nil {
		return controller.Result{}
	}
	if came {
		t.AppendsDone.Delete(tx, appendID)
		return controller.Result{After: retryDelay}
	}
	t.Appends.Put(tx, appendID, row)
	return controller.Result{}
}

// Consumer implements logread.Consumer for the members stream.
type Consumer struct {
	Tables *tables.Tables
}

// Access names the tables of the fold.
func (c Consumer) Access() []blackboard.Access {
	return []blackboard.Access{c.Tables.Members.Write(), c.Tables.Positions.Write()}
}

// Next returns the first offset not folded in yet.
func (c Consumer) Next(tx *blackboard.Tx) uint64 {
	last, _ := c.Tables.Positions.Get(tx, platform.Members)
	return last + 1
}

// Fold puts the members announced into the table; of two lives of a host the
// newer one stays.
func (c Consumer) Fold(tx *blackboard.Tx, _ time.Time, records []platform.Record) {
	for _, r := range records {
		c.Tables.Positions.Put(tx, platform.Members, r.Offset)
		m, err := record.DecodeMember(r.Data)
		if err != nil {
			continue
		}
		if old, found := c.Tables.Members.Get(tx, m.Host); !found || old.Incarnation < m.Incarnation {
			c.Tables.Members.Put(tx, m.Host, m)
		}
	}
}

// Skip moves past records that are no longer retained.
func (c Consumer) Skip(tx *blackboard.Tx, offset uint64) {
	c.Tables.Positions.Put(tx, platform.Members, offset)
}
