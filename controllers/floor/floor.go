// Package floor is the controller that learns the lowest version which a
// started node may serve: from the log's end, or, while the log is out of
// reach, from what the other nodes remember.
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
	theKey = 0
	// recallRetry is the pause before a witness that knew nothing is asked
	// again.
	recallRetry = 2 * time.Second
)

// Config sets the controller up.
type Config struct {
	// Host is the own host, Started the instant at which the node started.
	Host    mesh.HostID
	Started time.Time
	// Count is told how the floor was learned.
	Count func(event string)
}

// The events that are counted.
const (
	floorByLog   = "floor_by_log"
	floorByPeers = "floor_by_peers"
	floorAsked   = "floor_asked"
)

// Register adds the controller.
func Register(p *controller.Pool, t *tables.Tables, c Config) {
	handle := controller.Register(p, "floor", func(now time.Time, _ int) (result controller.Result) {
		t.Board.Do(func(tx *blackboard.Tx) { result = step(tx, t, c, now) },
			t.Role.Read(), t.Feed.Read(), t.Floor.Write(), t.RecallAsks.Write(), t.Recalls.Read())
		return result
	})
	wake := func() { handle.Add(theKey) }
	t.Feed.Watch(wake)
	t.Role.Watch(wake)
	t.Recalls.Watch(func(mesh.HostID) { wake() })
	wake()
}

func step(tx *blackboard.Tx, t *tables.Tables, c Config, now time.Time) controller.Result {
	known := t.Floor.Get(tx)
	if known.Known {
		return controller.Result{}
	}
	answers := make(map[mesh.HostID]spread.Recalled)
	t.Recalls.Each(tx, func(host mesh.HostID, r spread.Recalled) bool {
		answers[host] = r
		return true
	})
	witnesses := t.Role.Get(tx).Witnesses
	learned := spread.LearnFloor(known, c.Started, t.Feed.Get(tx), witnesses, answers)
	if learned.Known {
		t.Floor.Set(tx, learned)
		c.Count(eventOf(learned))
		return controller.Result{}
	}
	if wait := spread.RecallAt(c.Started).Sub(now); wait > 0 {
		return controller.Result{After: wait}
	}
	for _, w := range witnesses {
		askAgain(tx, t, c, now, w, answers)
	}
	return controller.Result{After: recallRetry}
}

func eventOf(f spread.Floor) string {
	if f.ByPeers {
		return floorByPeers
	}
	return floorByLog
}

// askAgain asks a witness that has told nothing useful yet.
func askAgain(tx *blackboard.Tx, t *tables.Tables, c Config, now time.Time, w spread.Source, answers map[mesh.HostID]spread.Recalled) {
	if _, underWay := t.RecallAsks.Get(tx, w.Host); underWay {
		return
	}
	last, came := answers[w.Host]
	useful := came && !last.Failed && last.Recall.Settled
	if useful || came && now.Sub(last.At) < recallRetry {
		return
	}
	c.Count(floorAsked)
	t.RecallAsks.Put(tx, w.Host, tables.RecallAsk{To: w, Host: c.Host})
}
