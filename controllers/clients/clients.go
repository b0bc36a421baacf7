// Package clients is the controller that closes the connections of stalled clients
// when clients hold too much of the node's memory. It reads ClientRelief, marks rows of
// ClientHoldings and adds them to ClientCloses, the outbox from which
// front/clientload closes connections.
package clients

import (
	"slices"
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/clientload"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// singletonKey is the only key of this controller.
const singletonKey = 0

// Register adds the controller to the pool.
func Register(p *controller.Pool, t *tables.Tables, limits clientload.Limits) {
	handle := controller.Register(p, "clients", func(now time.Time, _ int) controller.Result {
		t.Board.Do(func(tx *blackboard.Tx) { reconcile(tx, t, now, limits) }, t.ClientHoldings.Write(), t.ClientRelief.Write(), t.ClientCloses.Write())
		return controller.Result{}
	})
	t.ClientRelief.Watch(func() { handle.Add(singletonKey) })
}

func reconcile(tx *blackboard.Tx, t *tables.Tables, now time.Time, limits clientload.Limits) {
	relief := t.ClientRelief.Get(tx)
	if relief.Decided == relief.Observed {
		return
	}
	for i, observed := range relief.Observed {
		if relief.Decided[i] == observed {
			continue
		}
		group := clientload.Group(i)
		for _, id := range limits.ForGroup(group).SelectStalled(now, entriesOf(tx, t, group)) {
			MarkClosing(tx, t, id)
		}
	}
	relief.Decided = relief.Observed
	t.ClientRelief.Set(tx, relief)
}

// entriesOf returns the rows of ClientHoldings of one group in key order.
func entriesOf(tx *blackboard.Tx, t *tables.Tables, group clientload.Group) []clientload.Entry {
	return slices.DeleteFunc(Entries(tx, t), func(e clientload.Entry) bool { return e.Group != group })
}

// MarkClosing marks a connection to be closed. The transaction writes
// ClientHoldings and ClientCloses.
func MarkClosing(tx *blackboard.Tx, t *tables.Tables, id uint64) {
	h, _ := t.ClientHoldings.Get(tx, id)
	h.Closing = true
	t.ClientHoldings.Put(tx, id, h)
	t.ClientCloses.Put(tx, id, struct{}{})
}

// Entries returns the rows of ClientHoldings in key order.
func Entries(tx *blackboard.Tx, t *tables.Tables) []clientload.Entry {
	var entries []clientload.Entry
	t.ClientHoldings.Each(tx, func(id uint64, h clientload.Holding) bool {
		entries = append(entries, clientload.Entry{ID: id, Holding: h})
		return true
	})
	return entries
}
