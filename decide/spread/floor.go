package spread

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// recallAfter is how long a started node waits for the log's word before it
// asks its peers what they remember.
const recallAfter = 3 * time.Second

// Floor is the lowest version that a started node may serve. Once known it
// stays.
type Floor struct {
	Known   bool
	Version mesh.Version
	// ByPeers is true when the log could not be asked.
	ByPeers bool
}

// Allows reports whether a version may be put in force.
func (f Floor) Allows(v mesh.Version) bool { return f.Known && v >= f.Version }

// Recall is what a peer tells of a host that has started.
type Recall struct {
	// Version is the highest version that the peer knows to have been released
	// or that the host told it to serve.
	Version mesh.Version
	// Settled is false for a peer that has not learned its own floor.
	Settled bool
}

// Recalled is the outcome of asking one peer.
type Recalled struct {
	Recall Recall
	// Failed is true when it did not answer.
	Failed bool
	// At is when the outcome came.
	At time.Time
}

// LearnFloor decides whether a node knows its floor. It does when its feed was
// at the log's end at an instant after its start: whatever its host served
// before was in the log by then. With the log out of reach, it does when every
// live witness has answered and one of them knew its own.
func LearnFloor(f Floor, started time.Time, feed Feed, witnesses []Source, answers map[mesh.HostID]Recalled) Floor {
	if f.Known {
		return f
	}
	if !feed.Confirmed.IsZero() && !feed.Confirmed.Before(started) {
		return Floor{Known: true}
	}
	settled := false
	var version mesh.Version
	for _, w := range witnesses {
		answer, came := answers[w.Host]
		if !came || answer.Failed {
			return f
		}
		settled = settled || answer.Recall.Settled
		version = max(version, answer.Recall.Version)
	}
	if !settled {
		return f
	}
	return Floor{Known: true, Version: version, ByPeers: true}
}

// RecallAt returns when a node that has no floor asks its witnesses.
func RecallAt(started time.Time) time.Time { return started.Add(recallAfter) }
