// Package relay has the controllers that answer other nodes' requests for
// configuration records and snapshots: relay answers the rows of the table Pulls,
// and encode encodes the snapshot for nodes that need more than records.
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

// singletonKey is the only key of each controller: one change of the feed can
// answer many requests.
const singletonKey = 0

// Config holds the controllers' settings.
type Config struct {
	// Random is the source of random choices. It is used only under the write
	// lock of the table Pulls.
	Random *rand.Rand
	// Count is called with the kind of each answer.
	Count func(kind spread.Kind)
}

// Register adds the controllers to the pool.
func Register(p *controller.Pool, t *tables.Tables, c Config) {
	encode := controller.Register(p, "encode", func(time.Time, int) controller.Result {
		encodeSnapshot(t)
		return controller.Result{}
	})
	r := reconciler{tables: t, config: c, encode: encode}
	handle := controller.Register(p, "relay", r.reconcile)
	enqueue := func() { handle.Add(singletonKey) }
	t.Pulls.Watch(func(string) { enqueue() })
	t.Feed.Watch(enqueue)
	t.Encoded.Watch(enqueue)
}

type reconciler struct {
	tables *tables.Tables
	config Config
	encode controller.Handle[int]
}

func (r reconciler) reconcile(now time.Time, _ int) (result controller.Result) {
	t := r.tables
	needsEncoding := false
	t.Board.Do(func(tx *blackboard.Tx) { result, needsEncoding = r.answerPulls(tx, now) },
		t.Feed.Read(), t.ServedVersions.Write(), t.Hint.Write(), t.Pulls.Write(), t.Budget.Write(),
		t.Encoded.Read(), t.Members.Read())
	if needsEncoding {
		r.encode.Add(singletonKey)
	}
	return result
}

// answerPulls answers every request that can be answered now. The result's delay
// ends at the earliest deadline of those held back; needsEncoding is true when a
// request waits for a snapshot.
func (r reconciler) answerPulls(tx *blackboard.Tx, now time.Time) (result controller.Result, needsEncoding bool) {
	t := r.tables
	t.Pulls.Each(tx, func(id string, p spread.Pull) bool {
		if p.Answer != nil {
			return true
		}
		r.recordRequester(tx, p.Request)
		switch r.answerPull(tx, now, id, p) {
		case spread.Encode:
			needsEncoding = true
		case spread.Hold:
			remaining := max(p.Deadline.Sub(now), time.Millisecond)
			if result.After == 0 || remaining < result.After {
				result.After = remaining
			}
		}
		return true
	})
	return result, needsEncoding
}

// answerPull writes the answer to one request, unless the kind that it returns is
// Encode or Hold.
func (r reconciler) answerPull(tx *blackboard.Tx, now time.Time, id string, p spread.Pull) spread.Kind {
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

// recordRequester records the highest version that the requesting host has
// reported to serve, and sets Hint if the host is ahead of this node.
func (r reconciler) recordRequester(tx *blackboard.Tx, request spread.Request) {
	t := r.tables
	if highest, _ := t.ServedVersions.Get(tx, request.Host); request.Served > highest {
		t.ServedVersions.Put(tx, request.Host, request.Served)
	}
	if request.Offset <= max(t.Feed.Get(tx).Offset, t.Hint.Get(tx).Offset) {
		return
	}
	if m, found := t.Members.Get(tx, request.Host); found {
		source := spread.Source{Host: m.Host, Address: m.PeerAddress}
		t.Hint.Set(tx, spread.Hint{Source: source, Offset: request.Offset})
	}
}

// encodeSnapshot encodes the present state, unless the snapshot at that offset is
// encoded already or the state and the feed are at different offsets. It encodes
// outside the transactions. This is safe because the pool never runs the
// controller encode concurrently with itself, and no other writes Encoded.
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
