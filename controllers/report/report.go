// Package report is the controller that copies values from the tables to the
// metrics gauges once a second: the configuration version and log offset, the
// members by state, and the load of calls and of the backend server.
package report

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// interval is the time between two updates of the gauges.
const interval = time.Second

// singletonKey is the only key of this controller.
const singletonKey = 0

// Gauges receives the values; metrics.Metrics implements it.
type Gauges interface {
	// Set sets the gauge called name.
	Set(name string, value float64)
}

// Register adds the controller to the pool.
func Register(p *controller.Pool, t *tables.Tables, g Gauges) {
	handle := controller.Register(p, "report", func(time.Time, int) controller.Result {
		setConfigGauges(t, g)
		setMemberGauges(t, g)
		setTrafficGauges(t, g)
		setQuotaGauges(t, g)
		return controller.Result{RequeueAfter: interval}
	})
	handle.Add(singletonKey)
}

func setConfigGauges(t *tables.Tables, g Gauges) {
	t.Board.Do(func(tx *blackboard.Tx) {
		if routes := t.Routes.Get(tx); routes != nil {
			g.Set("version", float64(routes.Version))
		}
		g.Set("log_offset", float64(t.Changes.Get(tx).Offset))
	}, t.Changes.Read(), t.Routes.Read())
}

func setMemberGauges(t *tables.Tables, g Gauges) {
	counts := make(map[mesh.MemberState]int)
	t.Board.Do(func(tx *blackboard.Tx) {
		t.Members.Each(tx, func(_ mesh.HostID, m mesh.Member) bool {
			counts[m.State]++
			return true
		})
	}, t.Members.Read())
	for _, s := range []mesh.MemberState{mesh.Alive, mesh.Suspect, mesh.Leaving, mesh.Dead} {
		g.Set("members_"+s.String(), float64(counts[s]))
	}
}

func setTrafficGauges(t *tables.Tables, g Gauges) {
	t.Board.Do(func(tx *blackboard.Tx) {
		g.Set("calls", float64(t.Calls.Len(tx)))
		g.Set("slots", float64(t.Limits.Get(tx).Slots))
		load := t.Occupancy.Get(tx)
		g.Set("slots_busy", float64(load.Busy))
		g.Set("requests_queued", float64(load.Queued))
		learned := t.LearnedLimit.Get(tx)
		if !learned.IsActive() {
			return
		}
		g.Set("learned_limit", float64(learned.Slots(t.Limits.Get(tx).Slots)))
		lowered, raised, tried := learned.Changes()
		g.Set("learned_limit_lowered", float64(lowered))
		g.Set("learned_limit_raised", float64(raised))
		g.Set("learned_limit_trials", float64(tried))
		for _, c := range mesh.Classes() {
			if speed := load.Speeds[c.Index()]; speed > 0 {
				g.Set("learned_speed_"+string(c), float64(speed)/1000)
			}
		}
	}, t.Calls.Read(), t.Limits.Read(), t.LearnedLimit.Read(), t.Occupancy.Read())
}

func setQuotaGauges(t *tables.Tables, g Gauges) {
	t.Board.Do(func(tx *blackboard.Tx) {
		g.Set("quota_buckets", float64(t.Buckets.Len(tx)))
		g.Set("quota_leases", float64(t.Leases.Len(tx)))
	}, t.Buckets.Read(), t.Leases.Read())
}
