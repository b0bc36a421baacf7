package distribution

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// recallDelay is how long a started node waits for an answer of the log before it
// asks its peers for the floor.
const recallDelay = 3 * time.Second

// Floor is the lowest version that a started node is allowed to serve, so that a
// restart does not take a host back to an older version. Once known it does not
// change.
type Floor struct {
	// Known is true once the floor is decided.
	Known bool
	// Version is the floor; zero allows every version.
	Version mesh.Version
	// FromPeers is true if the peers' answers decided the floor, because the log did
	// not answer.
	FromPeers bool
}

// Allows reports whether a version is allowed to be put in force.
func (f Floor) Allows(v mesh.Version) bool { return f.Known && v >= f.Version }

// VersionReport is a peer's answer to a started host that asks for its floor.
type VersionReport struct {
	// Version is the newest version that the peer has seen released, or the
	// highest version that the host reported to the peer as served, whichever is
	// higher.
	Version mesh.Version
	// FloorKnown is true if the peer's own floor is known.
	FloorKnown bool
}

// VersionReportResult is the result of asking one peer.
type VersionReportResult struct {
	Report VersionReport
	// Failed is true if the peer did not answer.
	Failed bool
	// At is when the result arrived.
	At time.Time
}

// DecideFloor returns the floor if it can be decided, and otherwise f. It can be
// decided in two cases:
//
//   - The feed was at the log's end after the node started. Every version that the
//     host served before was in the log by then, so any version is allowed from
//     there on.
//   - Every witness has answered, and the floor of at least one of them is known.
//     This covers a log that is out of reach. The floor is the highest version
//     among the answers.
func DecideFloor(f Floor, started time.Time, feed Feed, witnesses []Peer, answers map[mesh.HostID]VersionReportResult) Floor {
	if f.Known {
		return f
	}
	if !feed.CaughtUpAt.IsZero() && !feed.CaughtUpAt.Before(started) {
		return Floor{Known: true}
	}
	settled := false
	var version mesh.Version
	for _, w := range witnesses {
		answer, answered := answers[w.Host]
		if !answered || answer.Failed {
			return f
		}
		settled = settled || answer.Report.FloorKnown
		version = max(version, answer.Report.Version)
	}
	if !settled {
		return f
	}
	return Floor{Known: true, Version: version, FromPeers: true}
}

// FloorQueryAt returns when a node without a floor asks its witnesses for it.
func FloorQueryAt(started time.Time) time.Time { return started.Add(recallDelay) }
