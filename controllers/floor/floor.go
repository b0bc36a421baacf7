// Package floor is the controller that determines the version floor: the lowest
// version that a started node may serve. It takes the floor from the end of the
// log or, while the log is unreachable, from the versions that other nodes have
// seen. It reads the tables Role, Feed and VersionReportResults and writes
// Floor and VersionReportRequests.
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
	// peerRetryInterval is the delay before another request to a peer that
	// did not answer or does not know the floor yet.
	peerRetryInterval = 2 * time.Second
)

// Config holds the controller's settings.
type Config struct {
	// Host is this node's host, StartedAt the time at which the node started.
	Host      mesh.HostID
	StartedAt time.Time
	// Count is called for each request to a peer, and once when the floor is
	// known, with the event that names its source.
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
	results := make(map[mesh.HostID]distribution.VersionReportResult)
	t.VersionReportResults.Each(tx, func(host mesh.HostID, r distribution.VersionReportResult) bool {
		results[host] = r
		return true
	})
	peers := t.Role.Get(tx).FloorPeers
	learned := distribution.DecideFloor(current, c.StartedAt, t.Feed.Get(tx), peers, results)
	if learned.Known {
		t.Floor.Set(tx, learned)
		c.Count(sourceEvent(learned))
		return controller.Result{}
	}
	if wait := distribution.FloorQueryAt(c.StartedAt).Sub(now); wait > 0 {
		return controller.Result{RequeueAfter: wait}
	}
	for _, peer := range peers {
		requestVersionReport(tx, t, c, now, peer, results)
	}
	return controller.Result{RequeueAfter: peerRetryInterval}
}

// sourceEvent returns the event for the source of a floor.
func sourceEvent(f distribution.Floor) string {
	if f.FromPeers {
		return floorByPeers
	}
	return floorByLog
}

// requestVersionReport puts a request to the peer into the outbox, unless one
// is pending, the peer has reported a known floor, or its last result is newer
// than peerRetryInterval.
func requestVersionReport(tx *blackboard.Tx, t *tables.Tables, c Config, now time.Time, peer distribution.Peer, results map[mesh.HostID]distribution.VersionReportResult) {
	if _, pending := t.VersionReportRequests.Get(tx, peer.Host); pending {
		return
	}
	last, answered := results[peer.Host]
	known := answered && !last.Failed && last.Report.FloorKnown
	if known || answered && now.Sub(last.At) < peerRetryInterval {
		return
	}
	c.Count(floorAsked)
	t.VersionReportRequests.Put(tx, peer.Host, tables.VersionReportRequest{To: peer, Host: c.Host})
}
