// Package keysync is the controller by which the primary of a shard of the
// idempotency keys copies the shard's whole state to its backup, and then sends
// it a heartbeat at each HeartbeatInterval.
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

// sendPrefix is the prefix of this controller's keys in KeyMessages and
// KeyReplies; the shard follows.
const sendPrefix = "sync:"

// Register adds the controller to the pool; its key is the shard.
func Register(p *controller.Pool, t *tables.Tables, c idempotency.Config) {
	r := reconciler{tables: t, config: c}
	handle := controller.Register(p, "keysync", r.reconcile)
	t.KeyShards.Watch(handle.Add)
	t.KeyReplies.Watch(func(id string) {
		if shard, found := strings.CutPrefix(id, sendPrefix); found {
			number, _ := strconv.Atoi(shard)
			handle.Add(number)
		}
	})
}

type reconciler struct {
	tables *tables.Tables
	config idempotency.Config
}

func (r reconciler) reconcile(now time.Time, shard int) (result controller.Result) {
	t := r.tables
	t.Board.Do(func(tx *blackboard.Tx) { result.RequeueAfter = r.reconcileTx(tx, now, shard) },
		t.Members.Read(), t.KeyShards.Write(), t.KeyEntries.Write(), t.KeyMessages.Write(), t.KeyReplies.Write())
	return result
}

// reconcileTx applies the backup's answer, if one arrived, and sends the next
// message when it is due. It returns the delay until the next call; zero for
// none.
func (r reconciler) reconcileTx(tx *blackboard.Tx, now time.Time, shard int) time.Duration {
	t := r.tables
	id := sendPrefix + strconv.Itoa(shard)
	reply, replied := t.KeyReplies.Get(tx, id)
	if replied {
		t.KeyReplies.Delete(tx, id)
	}
	s, held := t.KeyShards.Get(tx, shard)
	if !held || s.Role != idempotency.Primary || !s.Complete {
		return 0
	}
	if replied {
		s = s.WithSyncReply(now, r.config, reply.Message.Replicate, reply.Ack)
		t.KeyShards.Put(tx, shard, s)
	}
	if _, pending := t.KeyMessages.Get(tx, id); pending {
		return 0
	}
	if wait := s.SyncDelay(now); wait > 0 {
		return wait
	}
	backup, found := t.Members.Get(tx, s.Peer.Host)
	if !found {
		return r.config.HeartbeatInterval
	}
	store := tables.KeyStore{Table: t.KeyEntries, Tx: tx}
	s, message := s.Sync(now, store, func() []idempotency.KeyID { return r.shardKeys(tx, shard) })
	t.KeyShards.Put(tx, shard, s)
	t.KeyMessages.Put(tx, id, tables.KeyMessage{Address: backup.PeerAddress, Replicate: message})
	return 0
}

func (r reconciler) shardKeys(tx *blackboard.Tx, shard int) (keys []idempotency.KeyID) {
	r.tables.KeyEntries.Each(tx, func(id idempotency.KeyID, _ idempotency.Entry) bool {
		if r.config.ShardOf(id) == shard {
			keys = append(keys, id)
		}
		return true
	})
	return keys
}
