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
	"github.com/marigoldshelf/marigoldshelf/decide/distribution"
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
	Host      mesh.HostID
	StartedAt time.Time
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
			t.Role.Read(), t.Feed.Read(), t.Floor.Write(), t.VersionReportRequests.Write(), t.VersionReportResults.Read())
		return result
	})
	enqueue := func() { handle.Add(singletonKey) }
	t.Feed.Watch(enqueue)
	t.Role.Watch(enqueue)
	t.VersionReportResults.Watch(func(mesh.HostID) { enqueue() })
	enqueue()
}

func reconcile(tx *blackboard.Tx, t *tables.Tables, c Config, now time.Time) controller.Result {
	current := t.Floor.Get(tx)
	if current.Known {
		return controller.Result{}
	}
	answers := make(map[mesh.HostID]distribution.VersionReportResult)
	t.VersionReportResults.Each(tx, func(host mesh.HostID, r distribution.VersionReportResult) bool {
		answers[host] = r
		return true
	})
	witnesses := t.Role.Get(tx).FloorPeers
	learned := distribution.DecideFloor(current, c.StartedAt, t.Feed.Get(tx), witnesses, answers)
	if learned.Known {
		t.Floor.Set(tx, learned)
		c.Count(sourceEvent(learned))
		return controller.Result{}
	}
	if wait := distribution.FloorQueryAt(c.StartedAt).Sub(now); wait > 0 {
		return controller.Result{RequeueAfter: wait}
	}
	for _, w := range witnesses {
		askWitness(tx, t, c, now, w, answers)
	}
	return controller.Result{RequeueAfter: recallRetryInterval}
}

// sourceEvent returns the event for the source of a floor.
func sourceEvent(f distribution.Floor) string {
	if f.FromPeers {
		return floorByPeers
	}
	return floorByLog
}

// askWitness puts a request to witness w into the outbox, unless one is pending,
// w has given a settled answer, or its last answer is newer than
// recallRetryInterval.
func askWitness(tx *blackboard.Tx, t *tables.Tables, c Config, now time.Time, w distribution.Peer, answers map[mesh.HostID]distribution.VersionReportResult) {
	if _, pending := t.VersionReportRequests.Get(tx, w.Host); pending {
		return
	}
	last, answered := answers[w.Host]
	settled := answered && !last.Failed && last.Report.FloorKnown
	if settled || answered && now.Sub(last.At) < recallRetryInterval {
		return
	}
	c.Count(floorAsked)
	t.VersionReportRequests.Put(tx, w.Host, tables.VersionReportRequest{To: w, Host: c.Host})
}
