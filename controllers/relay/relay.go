// Package relay has the controllers that answer other nodes' requests for
// configuration records and snapshots: relay answers the rows of the table
// IncomingPulls, and encode encodes the snapshot for nodes that need more than
// records.
package relay

import (
	"math/rand/v2"
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/decide/distribution"
	"github.com/marigoldshelf/marigoldshelf/decide/snapshot"
	encoding "github.com/marigoldshelf/marigoldshelf/encoding/snapshot"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// singletonKey is the only key of each controller: one change of the feed can
// answer many requests.
const singletonKey = 0

// Config holds the controllers' settings.
type Config struct {
	// Random is the source of random choices. It is used only under the write
	// lock of the table IncomingPulls.
	Random *rand.Rand
	// Count is called with the kind of each answer.
	Count func(kind distribution.AnswerKind)
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
	t.IncomingPulls.Watch(func(string) { enqueue() })
	t.Feed.Watch(enqueue)
	t.EncodedSnapshot.Watch(enqueue)
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
		t.Feed.Read(), t.ServedVersions.Write(), t.PeerAhead.Write(), t.IncomingPulls.Write(), t.SendBudget.Write(),
		t.EncodedSnapshot.Read(), t.Members.Read())
	if needsEncoding {
		r.encode.Add(singletonKey)
	}
	return result
}

// answerPulls answers every request that can be answered now. The result's
// delay ends at the earliest deadline of those held back; needsEncoding is true
// when a request waits for a snapshot.
func (r reconciler) answerPulls(tx *blackboard.Tx, now time.Time) (result controller.Result, needsEncoding bool) {
	t := r.tables
	t.IncomingPulls.Each(tx, func(id string, p distribution.IncomingPull) bool {
		if p.Answer != nil {
			return true
		}
		r.recordRequester(tx, p.Request)
		switch r.answerPull(tx, now, id, p) {
		case distribution.KindEncode:
			needsEncoding = true
		case distribution.KindHold:
			remaining := max(p.Deadline.Sub(now), time.Millisecond)
			if result.RequeueAfter == 0 || remaining < result.RequeueAfter {
				result.RequeueAfter = remaining
			}
		}
		return true
	})
	return result, needsEncoding
}

// answerPull writes the answer to one request, unless the kind that it returns
// is KindEncode or KindHold.
func (r reconciler) answerPull(tx *blackboard.Tx, now time.Time, id string, p distribution.IncomingPull) distribution.AnswerKind {
	t := r.tables
	input := distribution.ReplyInput{
		Feed: t.Feed.Get(tx), Snapshot: t.EncodedSnapshot.Get(tx), Budget: t.SendBudget.Get(tx), Draw: r.config.Random.Float64(),
	}
	answer, budget := distribution.Reply(now, p, input)
	if answer.Kind == distribution.KindEncode || answer.Kind == distribution.KindHold {
		return answer.Kind
	}
	if budget != input.Budget {
		t.SendBudget.Set(tx, budget)
	}
	p.Answer = &answer
	t.IncomingPulls.Put(tx, id, p)
	r.config.Count(answer.Kind)
	return answer.Kind
}

// recordRequester records the highest version that the requesting host has
// reported to serve, and sets PeerAhead if the host is ahead of this node.
func (r reconciler) recordRequester(tx *blackboard.Tx, request distribution.PullRequest) {
	t := r.tables
	if highest, _ := t.ServedVersions.Get(tx, request.Host); request.Served > highest {
		t.ServedVersions.Put(tx, request.Host, request.Served)
	}
	if request.Offset <= max(t.Feed.Get(tx).Offset, t.PeerAhead.Get(tx).Offset) {
		return
	}
	if m, found := t.Members.Get(tx, request.Host); found {
		source := distribution.Peer{Host: m.Host, Address: m.PeerAddress}
		t.PeerAhead.Set(tx, distribution.PeerAhead{Peer: source, Offset: request.Offset})
	}
}

// encodeSnapshot encodes the present state, unless the snapshot at that offset
// is encoded already or the state and the feed are at different offsets. It
// encodes outside the transactions. This is safe because the pool never runs
// the controller encode concurrently with itself, and no other controller
// writes EncodedSnapshot.
func encodeSnapshot(t *tables.Tables) {
	var state change.State
	var feed distribution.Feed
	var old snapshot.Snapshot
	t.Board.Do(func(tx *blackboard.Tx) {
		state, feed, old = t.Changes.Get(tx), t.Feed.Get(tx), t.EncodedSnapshot.Get(tx)
	}, t.Changes.Read(), t.Feed.Read(), t.EncodedSnapshot.Read())
	if state.Offset != feed.Offset || old.ID != "" && old.Offset == feed.Offset {
		return
	}
	encoded, err := encoding.EncodeState(state, feed.Digest)
	if err != nil {
		return
	}
	t.Board.Do(func(tx *blackboard.Tx) { t.EncodedSnapshot.Set(tx, encoded) }, t.EncodedSnapshot.Write())
}
