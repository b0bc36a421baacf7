// Package floor is the controller that determines the version floor: the lowest
// version that a started node may serve. It takes the floor from the end of the
// log or, while the log is unreachable, from the versions that other nodes have
// seen. It reads the tables Role, Feed and Recalls and writes Floor and
// RecallAsks.
package floor

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/spread"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

const (
	// singletonKey is the only key of this controller.
	singletonKey = 0
	// recallRetryInterval is the pause before a witness is asked again whose
	// answer was missing or not settled.
	recallRetryInterval = 2 * time.Second
)

// Config holds the controller's settings.
type Config struct {
	// Host is this node's host, Started the time at which the node started.
	Host    mesh.HostID
	Started time.Time
	// Count is called for each witness asked, and once when the floor is known,
	// with the event that names its source.
	Count func(event string)
}

// The counted events.
const (
	floorByLog   = "floor_by_log"
	floorByPeers = "floor_by_peers"
	floorAsked   = "floor_asked"
)

// Register adds the controller to the pool.
func Register(p *controller.Pool, t *tables.Tables, c Config) {
	handle := controller.Register(p, "floor", func(now time.Time, _ int) (result controller.Result) {
		t.Board.Do(func(tx *blackboard.Tx) { result = reconcile(tx, t, c, now) },
			t.Role.Read(), t.Feed.Read(), t.Floor.Write(), t.RecallAsks.Write(), t.Recalls.Read())
		return result
	})
	enqueue := func() { handle.Add(singletonKey) }
	t.Feed.Watch(enqueue)
	t.Role.Watch(enqueue)
	t.Recalls.Watch(func(mesh.HostID) { enqueue() })
	enqueue()
}

func reconcile(tx *blackboard.Tx, t *tables.Tables, c Config, now time.Time) controller.Result {
	current := t.Floor.Get(tx)
	if current.Known {
		return controller.Result{}
	}
	answers := make(map[mesh.HostID]spread.Recalled)
	t.Recalls.Each(tx, func(host mesh.HostID, r spread.Recalled) bool {
		answers[host] = r
		return true
	})
	witnesses := t.Role.Get(tx).Witnesses
	learned := spread.LearnFloor(current, c.Started, t.Feed.Get(tx), witnesses, answers)
	if learned.Known {
		t.Floor.Set(tx, learned)
		c.Count(sourceEvent(learned))
		return controller.Result{}
	}
	if wait := spread.RecallAt(c.Started).Sub(now); wait > 0 {
		return controller.Result{After: wait}
	}
	for _, w := range witnesses {
		askWitness(tx, t, c, now, w, answers)
	}
	return controller.Result{After: recallRetryInterval}
}

// sourceEvent returns the event for the source of a floor.
func sourceEvent(f spread.Floor) string {
	if f.ByPeers {
		return floorByPeers
	}
	return floorByLog
}

// askWitness puts a request to witness w into the outbox, unless one is pending,
// w has given a settled answer, or its last answer is newer than
// recallRetryInterval.
func askWitness(tx *blackboard.Tx, t *tables.Tables, c Config, now time.Time, w spread.Source, answers map[mesh.HostID]spread.Recalled) {
	if _, pending := t.RecallAsks.Get(tx, w.Host); pending {
		return
	}
	last, answered := answers[w.Host]
	settled := answered && !last.Failed && last.Recall.Settled
	if settled || answered && now.Sub(last.At) < recallRetryInterval {
		return
	}
	c.Count(floorAsked)
	t.RecallAsks.Put(tx, w.Host, tables.RecallAsk{To: w, Host: c.Host})
}
