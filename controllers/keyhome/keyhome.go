// Package keyhome has the controllers of a node that holds shards of the
// idempotency keys. As primary the node decides claims and end reports and
// replicates their entries to the backup; as backup it accepts replicated
// entries. A second controller deletes expired entries.
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

// OperationPrefix is the prefix of the keys of the table KeyOperations. The
// message to the backup that an operation causes has the same key in
// KeyMessages and KeyReplies.
const OperationPrefix = "home:"

// Register adds the controllers to the pool. The first one's key is that of the
// operation, the second one's is that of the entry.
func Register(p *controller.Pool, t *tables.Tables, c idempotency.Config) {
	r := reconciler{tables: t, config: c}
	handle := controller.Register(p, "keyhome", r.reconcile)
	t.KeyOperations.Watch(handle.Add)
	t.KeyReplies.Watch(func(id string) {
		if strings.HasPrefix(id, OperationPrefix) {
			handle.Add(id)
		}
	})
	expiry := controller.Register(p, "keyexpiry", r.expireEntry)
	t.KeyEntries.Watch(expiry.Add)
}

type reconciler struct {
	tables *tables.Tables
	config idempotency.Config
}

func (r reconciler) reconcile(now time.Time, id string) controller.Result {
	t := r.tables
	t.Board.Do(func(tx *blackboard.Tx) { r.reconcileTx(tx, now, id) },
		t.Members.Read(), t.KeyMap.Read(), t.KeyShards.Write(), t.KeyEntries.Write(),
		t.KeyOperations.Write(), t.KeyMessages.Write(), t.KeyReplies.Write())
	return controller.Result{}
}

func (r reconciler) reconcileTx(tx *blackboard.Tx, now time.Time, id string) {
	t := r.tables
	reply, replied := t.KeyReplies.Get(tx, id)
	if replied {
		t.KeyReplies.Delete(tx, id)
	}
	op, found := t.KeyOperations.Get(tx, id)
	if !found || op.Done {
		return
	}
	switch {
	case op.Replicate != nil:
		op = r.acceptReplicate(tx, now, op)
	case op.End != nil:
		op = r.applyEnd(tx, now, id, op)
	case replied:
		op = r.grantClaim(tx, now, op, reply)
	case op.Epoch == 0:
		op = r.decideClaim(tx, now, id, op)
	default:
		return // the backup has not answered yet
	}
	t.KeyOperations.Put(tx, id, op)
}

func (r reconciler) entryStore(tx *blackboard.Tx) tables.KeyStore {
	return tables.KeyStore{Table: r.tables.KeyEntries, Tx: tx}
}

func (r reconciler) acceptReplicate(tx *blackboard.Tx, now time.Time, op tables.KeyOperation) tables.KeyOperation {
	op.Done = true
	s, held := r.tables.KeyShards.Get(tx, op.Replicate.Shard)
	if !held {
		return op
	}
	s, op.Ack = s.ApplyReplicate(now, r.config, r.entryStore(tx), op.Replicate)
	r.tables.KeyShards.Put(tx, s.Number, s)
	return op
}

// applyEnd applies the report of an attempt's end. It does not wait for the
// backup to acknowledge the changed entry.
func (r reconciler) applyEnd(tx *blackboard.Tx, now time.Time, id string, op tables.KeyOperation) tables.KeyOperation {
	op.Done = true
	s, held := r.tables.KeyShards.Get(tx, r.config.ShardOf(op.End.Key))
	if !held {
		return op
	}
	s, accepted, message := s.End(now, r.config, r.entryStore(tx), *op.End)
	op.EndAccepted = accepted
	if accepted {
		r.tables.KeyShards.Put(tx, s.Number, s)
	}
	if message != nil {
		r.sendToBackup(tx, id, message)
	}
	return op
}

// decideClaim replies to a claim, or sends its entry to the backup, whose
// acknowledgement grantClaim needs.
func (r reconciler) decideClaim(tx *blackboard.Tx, now time.Time, id string, op tables.KeyOperation) tables.KeyOperation {
	op.Done = true
	s, held := r.tables.KeyShards.Get(tx, r.config.ShardOf(op.Claim.Key))
	if !held {
		return op
	}
	confirmed := r.tables.KeyMap.Get(tx).LogConfirmedAt
	s, reply, message := s.Claim(now, r.config, confirmed, r.entryStore(tx), *op.Claim)
	r.tables.KeyShards.Put(tx, s.Number, s)
	if message == nil {
		op.Reply = reply
		return op
	}
	op.Done = !r.sendToBackup(tx, id, message)
	op.Epoch = message.Epoch
	return op
}

// grantClaim replies to a claim after the backup has answered.
func (r reconciler) grantClaim(tx *blackboard.Tx, now time.Time, op tables.KeyOperation, reply tables.KeyReply) tables.KeyOperation {
	op.Done = true
	s, held := r.tables.KeyShards.Get(tx, r.config.ShardOf(op.Claim.Key))
	if !held || reply.Err != nil || reply.Ack != idempotency.Acked {
		return op
	}
	confirmed := r.tables.KeyMap.Get(tx).LogConfirmedAt
	op.Reply = s.Grant(now, r.config, confirmed, r.entryStore(tx), *op.Claim, op.Epoch)
	return op
}

// sendToBackup puts a message for the backup into the outbox. It returns false
// if the backup's address is unknown.
func (r reconciler) sendToBackup(tx *blackboard.Tx, id string, m *idempotency.ReplicateRequest) bool {
	backup, found := r.tables.Members.Get(tx, mesh.HostID(m.To.Host))
	if found {
		r.tables.KeyMessages.Put(tx, id, tables.KeyMessage{Address: backup.PeerAddress, Replicate: m})
	}
	return found
}

// expireEntry deletes an expired entry, or schedules the next call for when it
// expires.
func (r reconciler) expireEntry(now time.Time, id idempotency.KeyID) (result controller.Result) {
	t := r.tables
	t.Board.Do(func(tx *blackboard.Tx) {
		e, found := t.KeyEntries.Get(tx, id)
		if !found {
			return
		}
		if remaining := e.ExpiresAt.Sub(now); remaining > 0 {
			result.RequeueAfter = remaining
			return
		}
		if s, held := t.KeyShards.Get(tx, r.config.ShardOf(id)); held {
			t.KeyShards.Put(tx, s.Number, s.RemoveEntry(e))
		}
		t.KeyEntries.Delete(tx, id)
	}, t.KeyShards.Write(), t.KeyEntries.Write())
	return result
}
