// Package keyhome is the controller of a shard's holders: it decides what other
// nodes ask about keys, and lets entries go that have left the window.
package keyhome

import (
	"strings"
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/idempotency"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// Prefix begins the keys of the table KeyOperations and of the messages that
// follow from them.
const Prefix = "home:"

// Register adds the controllers. The key of the first is the operation's, that
// of the second the entry's.
func Register(p *controller.Pool, t *tables.Tables, c idempotency.Config) {
	r := home{tables: t, config: c}
	handle := controller.Register(p, "keyhome", r.reconcile)
	t.KeyOperations.Watch(handle.Add)
	t.KeyReplies.Watch(func(id string) {
		if strings.HasPrefix(id, Prefix) {
			handle.Add(id)
		}
	})
	expiry := controller.Register(p, "keyexpiry", r.expire)
	t.KeyEntries.Watch(expiry.Add)
}

type home struct {
	tables *tables.Tables
	config idempotency.Config
}

func (r home) reconcile(now time.Time, id string) controller.Result {
	t := r.tables
	t.Board.Do(func(tx *blackboard.Tx) { r.step(tx, now, id) },
		t.Members.Read(), t.KeyMap.Read(), t.KeyShards.Write(), t.KeyEntries.Write(),
		t.KeyOperations.Write(), t.KeySends.Write(), t.KeyReplies.Write())
	return controller.Result{}
}

func (r home) step(tx *blackboard.Tx, now time.Time, id string) {
	t := r.tables
	reply, came := t.KeyReplies.Get(tx, id)
	if came {
		t.KeyReplies.Delete(tx, id)
	}
	op, found := t.KeyOperations.Get(tx, id)
	if !found || op.Done {
		return
	}
	switch {
	case op.Replicate != nil:
		op = r.accept(tx, now, op)
	case op.End != nil:
		op = r.end(tx, now, id, op)
	case came:
		op = r.grant(tx, now, op, reply)
	case op.Epoch == 0:
		op = r.claim(tx, now, id, op)
	default:
		return // the backup has not answered yet
	}
	t.KeyOperations.Put(tx, id, op)
}

func (r home) store(tx *blackboard.Tx) tables.KeyStore {
	return tables.KeyStore{Table: r.tables.KeyEntries, Tx: tx}
}

func (r home) accept(tx *blackboard.Tx, now time.Time, op tables.KeyOperation) tables.KeyOperation {
	op.Done = true
	s, held := r.tables.KeyShards.Get(tx, op.Replicate.Shard)
	if !held {
		return op
	}
	s, op.Ack = s.Accept(now, r.config, r.store(tx), op.Replicate)
	r.tables.KeyShards.Put(tx, s.Number, s)
	return op
}

func (r home) end(tx *blackboard.Tx, now time.Time, id string, op tables.KeyOperation) tables.KeyOperation {
	op.Done = true
	s, held := r.tables.KeyShards.Get(tx, r.config.ShardOf(op.End.Key))
	if !held {
		return op
	}
	s, taken, message := s.End(now, r.config, r.store(tx), *op.End)
	op.Taken = taken
	if taken {
		r.tables.KeyShards.Put(tx, s.Number, s)
	}
	if message != nil {
		r.send(tx, id, message)
	}
	return op
}

// claim decides a claim, or asks the backup first.
func (r home) claim(tx *blackboard.Tx, now time.Time, id string, op tables.KeyOperation) tables.KeyOperation {
	op.Done = true
	s, held := r.tables.KeyShards.Get(tx, r.config.ShardOf(op.Claim.Key))
	if !held {
		return op
	}
	confirmed := r.tables.KeyMap.Get(tx).Confirmed
	s, reply, message := s.Claim(now, r.config, confirmed, r.store(tx), *op.Claim)
	r.tables.KeyShards.Put(tx, s.Number, s)
	if message == nil {
		op.Reply = reply
		return op
	}
	op.Done = !r.send(tx, id, message)
	op.Epoch = message.Epoch
	return op
}

// grant decides a claim once the backup has answered.
func (r home) grant(tx *blackboard.Tx, now time.Time, op tables.KeyOperation, reply tables.KeyReply) tables.KeyOperation {
	op.Done = true
	s, held := r.tables.KeyShards.Get(tx, r.config.ShardOf(op.Claim.Key))
	if !held || reply.Err != nil || reply.Ack != idempotency.Acked {
		return op
	}
	confirmed := r.tables.KeyMap.Get(tx).Confirmed
	op.Reply = s.Grant(now, r.config, confirmed, r.store(tx), *op.Claim, op.Epoch)
	return op
}

// send puts a message for a backup into the outbox, if its address is known.
func (r home) send(tx *blackboard.Tx, id string, m *idempotency.Replicate) bool {
	peer, known := r.tables.Members.Get(tx, mesh.HostID(m.To.Host))
	if known {
		r.tables.KeySends.Put(tx, id, tables.KeySend{Address: peer.PeerAddress, Replicate: m})
	}
	return known
}

// expire deletes an entry that has left the window, or comes back for it.
func (r home) expire(now time.Time, id idempotency.ID) (result controller.Result) {
	t := r.tables
	t.Board.Do(func(tx *blackboard.Tx) {
		e, found := t.KeyEntries.Get(tx, id)
		if !found {
			return
		}
		if left := e.Expires.Sub(now); left > 0 {
			result.After = left
			return
		}
		if s, held := t.KeyShards.Get(tx, r.config.ShardOf(id)); held {
			t.KeyShards.Put(tx, s.Number, s.Expire(e))
		}
		t.KeyEntries.Delete(tx, id)
	}, t.KeyShards.Write(), t.KeyEntries.Write())
	return result
}
