// Package keyplan is the controller that monitors the holders of the shards of
// the idempotency keys, and appends a record to the keys stream when a shard
// needs other holders or its assignment has to be renewed. It writes the table
// KeyPlan and appends through Appends.
package keyplan

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/idempotency"
	"github.com/marigoldshelf/marigoldshelf/encoding/record"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

const (
	// singletonKey is the only key of this controller: one record has the
	// changes of all shards.
	singletonKey = 0
	// appendID is the key of the record in Appends and AppendResults.
	appendID = "keys"
	// planInterval is the delay between two plans.
	planInterval = time.Second
	// readBackTimeout is how long the controller waits for its record to be
	// read back before it writes another.
	readBackTimeout = 3 * time.Second
)

// Config holds the controller's settings.
type Config struct {
	KeyConfig idempotency.Config
	// Self is this node as a holder.
	Self idempotency.Holder
	// StartedAt is when the node started.
	StartedAt time.Time
	// Count is called for each change that this node writes.
	Count func(kind idempotency.ChangeKind)
}

// Register adds the controller to the pool.
func Register(p *controller.Pool, t *tables.Tables, c Config) {
	r := reconciler{tables: t, config: c}
	handle := controller.Register(p, "keyplan", r.reconcile)
	t.AppendResults.Watch(func(id string) {
		if id == appendID {
			handle.Add(singletonKey)
		}
	})
	handle.Add(singletonKey)
}

type reconciler struct {
	tables *tables.Tables
	config Config
}

func (r reconciler) reconcile(now time.Time, _ int) controller.Result {
	t := r.tables
	t.Board.Do(func(tx *blackboard.Tx) { r.reconcileTx(tx, now) },
		t.Members.Read(), t.KeyMap.Read(), t.KeyPlan.Write(), t.KeyShards.Read(),
		t.Appends.Write(), t.AppendResults.Write())
	return controller.Result{RequeueAfter: planInterval}
}

// reconcileTx updates since when each shard has no usable holder, and appends
// the planned changes if no append is pending and the last record had time to
// be read back.
func (r reconciler) reconcileTx(tx *blackboard.Tx, now time.Time) {
	t := r.tables
	view := r.buildView(tx)
	plan := t.KeyPlan.Get(tx)
	for shard := range r.config.KeyConfig.Shards {
		lost := view.Lost(shard)
		switch {
		case !lost:
			plan.LostSince[shard] = time.Time{}
		case plan.LostSince[shard].IsZero():
			plan.LostSince[shard] = now
		}
	}
	view.LostSince = plan.LostSince
	if _, found := t.AppendResults.Get(tx, appendID); found {
		t.AppendResults.Delete(tx, appendID)
	}
	_, pending := t.Appends.Get(tx, appendID)
	if !pending && !now.Before(plan.NotBefore) && r.appendChanges(tx, idempotency.Plan(now, r.config.KeyConfig, view)) {
		plan.NotBefore = now.Add(readBackTimeout)
	}
	t.KeyPlan.Set(tx, plan)
}

// appendChanges puts a record with the changes into the outbox and reports
// whether it did. The outcome of the append is ignored: a change takes effect
// if it is read back before any other change with the same base.
func (r reconciler) appendChanges(tx *blackboard.Tx, changes []idempotency.Change) bool {
	if len(changes) == 0 {
		return false
	}
	data, err := record.EncodeKeys(idempotency.Record{Changes: changes})
	if err != nil {
		return false
	}
	for _, change := range changes {
		r.config.Count(change.Kind)
	}
	r.tables.Appends.Put(tx, appendID, tables.Append{Stream: eventlog.KeysStream, Data: string(data)})
	return true
}

// buildView returns the inputs of a plan, without LostSince.
func (r reconciler) buildView(tx *blackboard.Tx) idempotency.View {
	t := r.tables
	row := t.KeyMap.Get(tx)
	view := idempotency.View{
		Self: r.config.Self, Map: row.Map, LastRecordAt: row.LastRecordAt,
		LogConfirmedAt: row.LogConfirmedAt, StartedAt: r.config.StartedAt,
		HeldShard: func(shard int) (idempotency.Shard, bool) { return t.KeyShards.Get(tx, shard) },
	}
	t.Members.Each(tx, func(_ mesh.HostID, m mesh.Member) bool {
		view.Members = append(view.Members, m)
		return true
	})
	return view
}
