// Package keysync is the controller by which a shard's primary brings the whole
// state to its backup, and then tells it every second that it lives.
package keysync

import (
	"strconv"
	"strings"
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/idempotency"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// prefix begins the outbox keys of this controller; the shard follows.
const prefix = "sync:"

// Register adds the controller; its key is the shard.
func Register(p *controller.Pool, t *tables.Tables, c idempotency.Config) {
	r := syncer{tables: t, config: c}
	handle := controller.Register(p, "keysync", r.reconcile)
	t.KeyShards.Watch(handle.Add)
	t.KeyReplies.Watch(func(id string) {
		if shard, found := strings.CutPrefix(id, prefix); found {
			number, _ := strconv.Atoi(shard)
			handle.Add(number)
		}
	})
}

type syncer struct {
	tables *tables.Tables
	config idempotency.Config
}

func (r syncer) reconcile(now time.Time, shard int) (result controller.Result) {
	t := r.tables
	t.Board.Do(func(tx *blackboard.Tx) { result.After = r.step(tx, now, shard) },
		t.Members.Read(), t.KeyShards.Write(), t.KeyEntries.Write(), t.KeySends.Write(), t.KeyReplies.Write())
	return result
}

// step takes the backup's answer, if one came, and writes again when it is due.
func (r syncer) step(tx *blackboard.Tx, now time.Time, shard int) time.Duration {
	t := r.tables
	id := prefix + strconv.Itoa(shard)
	reply, came := t.KeyReplies.Get(tx, id)
	if came {
		t.KeyReplies.Delete(tx, id)
	}
	s, held := t.KeyShards.Get(tx, shard)
	if !held || s.Role != idempotency.Primary || !s.Complete {
		return 0
	}
	if came {
		s = s.SyncDone(now, r.config, reply.Sent.Replicate, reply.Ack)
		t.KeyShards.Put(tx, shard, s)
	}
	if _, underWay := t.KeySends.Get(tx, id); underWay {
		return 0
	}
	if wait := s.SyncDue(now); wait > 0 {
		return wait
	}
	peer, known := t.Members.Get(tx, s.Peer.Host)
	if !known {
		return r.config.HeartbeatInterval
	}
	store := tables.KeyStore{Table: t.KeyEntries, Tx: tx}
	s, message := s.Sync(now, store, func() []idempotency.ID { return r.keysOf(tx, shard) })
	t.KeyShards.Put(tx, shard, s)
	t.KeySends.Put(tx, id, tables.KeySend{Address: peer.PeerAddress, Replicate: message})
	return 0
}

func (r syncer) keysOf(tx *blackboard.Tx, shard int) (keys []idempotency.ID) {
	r.tables.KeyEntries.Each(tx, func(id idempotency.ID, _ idempotency.Entry) bool {
		if r.config.ShardOf(id) == shard {
			keys = append(keys, id)
		}
		return true
	})
	return keys
}
