package distribution

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// floorQueryDelay is how long a started node waits for the log to answer before it
// queries its peers for the version floor.
const floorQueryDelay = 3 * time.Second

// Floor is the version floor: the lowest version that a started node is allowed
// to serve, so that a restart does not take a host back to an older version.
// Once known it does not change.
type Floor struct {
	// Known is true once the floor is decided.
	Known bool
	// Version is the floor; zero allows every version.
	Version mesh.Version
	// FromPeers is true if the floor was decided from the peers' reports,
	// because the log did not answer.
	FromPeers bool
}

// Allows reports whether a version is allowed to be put in force.
func (f Floor) Allows(v mesh.Version) bool { return f.Known && v >= f.Version }

// VersionReport is a peer's reply to a started host that queries its version floor.
type VersionReport struct {
	// Version is the newest version that the peer has seen released, or the
	// highest version that the host reported to the peer as served, whichever is
	// higher.
	Version mesh.Version
	// FloorKnown is true if the peer's own floor is known.
	FloorKnown bool
}

// VersionReportResult is the result of querying one peer.
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
//   - Every floor peer has reported, and the floor of at least one of them is known.
//     This covers an unreachable log. The floor is the highest version among the
//     reports.
func DecideFloor(f Floor, started time.Time, feed Feed, floorPeers []Peer, results map[mesh.HostID]VersionReportResult) Floor {
	if f.Known {
		return f
	}
	if !feed.CaughtUpAt.IsZero() && !feed.CaughtUpAt.Before(started) {
		return Floor{Known: true}
	}
	floorKnown := false
	var version mesh.Version
	for _, peer := range floorPeers {
		result, found := results[peer.Host]
		if !found || result.Failed {
			return f
		}
		floorKnown = floorKnown || result.Report.FloorKnown
		version = max(version, result.Report.Version)
	}
	if !floorKnown {
		return f
	}
	return Floor{Known: true, Version: version, FromPeers: true}
}

// FloorQueryAt returns when a node without a version floor queries its floor
// peers for it.
func FloorQueryAt(started time.Time) time.Time { return started.Add(floorQueryDelay) }
