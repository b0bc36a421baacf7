// Package relay has the controllers that answer other nodes' requests for
// records and snapshots.
package relay

import (
	"math/rand/v2"
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/decide/snapshot"
	"github.com/marigoldshelf/marigoldshelf/decide/spread"
	encoding "github.com/marigoldshelf/marigoldshelf/encoding/snapshot"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// theKey is the controllers' only key: one change of the feed answers many.
const theKey = 0

// Config sets the controllers up.
type Config struct {
	// Random is the source of draws. It is used only under the write lock of
	// the table Pulls.
	Random *rand.Rand
	// Count is told the kind of each answer.
	Count func(kind spread.Kind)
}

// Register adds the controllers.
func Register(p *controller.Pool, t *tables.Tables, c Config) {
	encode := controller.Register(p, "encode", func(time.Time, int) controller.Result {
		encodeSnapshot(t)
		return controller.Result{}
	})
	r := relay{tables: t, config: c, encode: encode}
	handle := controller.Register(p, "relay", r.reconcile)
	wake := func() { handle.Add(theKey) }
	t.Pulls.Watch(func(string) { wake() })
	t.Feed.Watch(wake)
	t.Encoded.Watch(wake)
}

type relay struct {
	tables *tables.Tables
	config Config
	encode controller.Handle[int]
}

func (r relay) reconcile(now time.Time, _ int) (result controller.Result) {
	t := r.tables
	wantsEncoding := false
	t.Board.Do(func(tx *blackboard.Tx) { result, wantsEncoding = r.answerAll(tx, now) },
		t.Feed.Read(), t.ServedVersions.Write(), t.Hint.Write(), t.Pulls.Write(), t.Budget.Write(),
		t.Encoded.Read(), t.Members.Read())
	if wantsEncoding {
		r.encode.Add(theKey)
	}
	return result
}

// answerAll answers every request that can be, and returns when the next one
// runs out of time.
func (r relay) answerAll(tx *blackboard.Tx, now time.Time) (result controller.Result, wantsEncoding bool) {
	t := r.tables
	t.Pulls.Each(tx, func(id string, p spread.Pull) bool {
		if p.Answer != nil {
			return true
		}
		r.note(tx, p.Request)
		switch r.answer(tx, now, id, p) {
		case spread.Encode:
			wantsEncoding = true
		case spread.Hold:
			left := max(p.Deadline.Sub(now), time.Millisecond)
			if result.After == 0 || left < result.After {
				result.After = left
			}
		}
		return true
	})
	return result, wantsEncoding
}

func (r relay) answer(tx *blackboard.Tx, now time.Time, id string, p spread.Pull) spread.Kind {
	t := r.tables
	served := spread.Served{
		Feed: t.Feed.Get(tx), Snapshot: t.Encoded.Get(tx), Budget: t.Budget.Get(tx), Draw: r.config.Random.Float64(),
	}
	answer, budget := spread.Reply(now, p, served)
	if answer.Kind == spread.Encode || answer.Kind == spread.Hold {
		return answer.Kind
	}
	if budget != served.Budget {
		t.Budget.Set(tx, budget)
	}
	p.Answer = &answer
	t.Pulls.Put(tx, id, p)
	r.config.Count(answer.Kind)
	return answer.Kind
}

// note remembers which version the asking host serves, and that it is ahead of
// this node if it is.
func (r relay) note(tx *blackboard.Tx, q spread.Request) {
	t := r.tables
	if old, _ := t.ServedVersions.Get(tx, q.Host); q.Served > old {
		t.ServedVersions.Put(tx, q.Host, q.Served)
	}
	if q.Offset <= max(t.Feed.Get(tx).Offset, t.Hint.Get(tx).Offset) {
		return
	}
	if m, found := t.Members.Get(tx, q.Host); found {
		source := spread.Source{Host: m.Host, Address: m.PeerAddress}
		t.Hint.Set(tx, spread.Hint{Source: source, Offset: q.Offset})
	}
}

// encodeSnapshot encodes the present state outside the transactions: only this
// controller writes Encoded, and it never runs twice at once.
func encodeSnapshot(t *tables.Tables) {
	var state change.State
	var feed spread.Feed
	var old snapshot.Snapshot
	t.Board.Do(func(tx *blackboard.Tx) {
		state, feed, old = t.Changes.Get(tx), t.Feed.Get(tx), t.Encoded.Get(tx)
	}, t.Changes.Read(), t.Feed.Read(), t.Encoded.Read())
	if state.Offset != feed.Offset || old.ID != "" && old.Offset == feed.Offset {
		return
	}
	encoded, err := encoding.EncodeState(state, feed.Digest)
	if err != nil {
		return
	}
	t.Board.Do(func(tx *blackboard.Tx) { t.Encoded.Set(tx, encoded) }, t.Encoded.Write())
}
