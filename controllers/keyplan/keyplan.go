// Package keyplan is the controller that watches over the holders of the
// shards and writes records to the keys stream when a pair must change.
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
	// theKey is the controller's only key: one record has the changes of all
	// shards.
	theKey = 0
	// appendID is the outbox key of the record.
	appendID = "keys"
	// planInterval is the pause between two plans.
	planInterval = time.Second
	// readBack is how long a record is given to be read back.
	readBack = 3 * time.Second
)

// Config sets the controller up.
type Config struct {
	Keys idempotency.Config
	Self idempotency.Holder
	// StartedAt is when the node started.
	StartedAt time.Time
	// Count is told of each change that this node wrote.
	Count func(kind idempotency.Kind)
}

// Register adds the controller.
func Register(p *controller.Pool, t *tables.Tables, c Config) {
	r := planner{tables: t, config: c}
	handle := controller.Register(p, "keyplan", r.reconcile)
	t.AppendsDone.Watch(func(id string) {
		if id == appendID {
			handle.Add(theKey)
		}
	})
	handle.Add(theKey)
}

type planner struct {
	tables *tables.Tables
	config Config
}

func (r planner) reconcile(now time.Time, _ int) controller.Result {
	t := r.tables
	t.Board.Do(func(tx *blackboard.Tx) { r.step(tx, now) },
		t.Members.Read(), t.KeyMap.Read(), t.KeyPlan.Write(), t.KeyShards.Read(),
		t.Appends.Write(), t.AppendsDone.Write())
	return controller.Result{After: planInterval}
}

func (r planner) step(tx *blackboard.Tx, now time.Time) {
	t := r.tables
	view := r.view(tx)
	plan := t.KeyPlan.Get(tx)
	for shard := range r.config.Keys.Shards {
		lost := view.Lost(shard)
		switch {
		case !lost:
			plan.LostSince[shard] = time.Time{}
		case plan.LostSince[shard].IsZero():
			plan.LostSince[shard] = now
		}
	}
	view.LostSince = plan.LostSince
	if _, came := t.AppendsDone.Get(tx, appendID); came {
		t.AppendsDone.Delete(tx, appendID)
	}
	_, underWay := t.Appends.Get(tx, appendID)
	if !underWay && !now.Before(plan.Wait) && r.write(tx, idempotency.Plan(now, r.config.Keys, view)) {
		plan.Wait = now.Add(readBack)
	}
	t.KeyPlan.Set(tx, plan)
}

// write puts the record into the outbox. Its answer says nothing that counts:
// the record takes effect if it is read back before any other with its base.
func (r planner) write(tx *blackboard.Tx, changes []idempotency.Change) bool {
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
	r.tables.Appends.Put(tx, appendID, tables.Append{Stream: eventlog.Keys, Data: string(data)})
	return true
}

func (r planner) view(tx *blackboard.Tx) idempotency.View {
	t := r.tables
	row := t.KeyMap.Get(tx)
	view := idempotency.View{
		Self: r.config.Self, Map: row.Map, LinkedAt: row.LinkedAt,
		Confirmed: row.Confirmed, StartedAt: r.config.StartedAt,
		Held: func(shard int) (idempotency.Shard, bool) { return t.KeyShards.Get(tx, shard) },
	}
	t.Members.Each(tx, func(_ mesh.HostID, m mesh.Member) bool {
		view.Members = append(view.Members, m)
		return true
	})
	return view
}
