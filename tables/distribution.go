package tables

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/distribution"
	"github.com/marigoldshelf/marigoldshelf/decide/snapshot"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// PullKey is the only row key of OutgoingPulls and PullResults.
const PullKey = "follow"

// PullResult is the result of an OutgoingPull.
type PullResult struct {
	Pull   distribution.OutgoingPull
	Answer distribution.PullAnswer
	// Err is nil when there is an answer.
	Err error
}

// VersionReportRequest is a request to another node for the highest version
// that a host can have served.
type VersionReportRequest struct {
	To   distribution.Peer
	Host mesh.HostID
}

// BoundsRequest is a request to an I/O worker for the oldest and newest offset
// of a stream.
type BoundsRequest struct {
	// RequestedAt is when a controller requested it.
	RequestedAt time.Time
}

// BoundsResult is the result of a BoundsRequest.
type BoundsResult struct {
	Request BoundsRequest
	Bounds  eventlog.Bounds
	Err     error
	// RetryAt is when a failed request is made again; zero until it is set.
	RetryAt time.Time
}

// SnapshotWrite is the state of writing snapshots into the log.
type SnapshotWrite struct {
	// ThresholdReachedAt is when the number of records after the newest
	// snapshot reached the policy's limit; zero while it has not.
	ThresholdReachedAt time.Time
	// Writing is the snapshot that is being written, NextChunk the index of its
	// next chunk.
	Writing   snapshot.Snapshot
	NextChunk int
	// RetryAt is the earliest time of the next append or snapshot, set after a
	// failed append or encoding and after a finished snapshot.
	RetryAt time.Time
}

// Distribution groups the tables of the distribution and recovery of the
// configuration.
type Distribution struct {
	// Role is the node's role in the distribution tree. Written by the
	// controller roles.
	Role *blackboard.Cell[distribution.Role]
	// Feed is the node's position in the configuration stream and the records
	// that it keeps for other nodes. A record is folded into Feed and Changes
	// in one transaction. Written by the controllers logread, follow, tip and
	// restore.
	Feed *blackboard.Cell[distribution.Feed]
	// Floor is the lowest version that the node is allowed to serve. Written by
	// the controller floor.
	Floor *blackboard.Cell[distribution.Floor]
	// ServedVersions holds the highest version that each host has reported to
	// this node as served. Written by the controller relay.
	ServedVersions *blackboard.Table[mesh.HostID, mesh.Version]
	// PeerAhead names a node with a higher offset than this one. Written by the
	// controller relay.
	PeerAhead *blackboard.Cell[distribution.PeerAhead]
	// PullState is the state of this node's requests to other nodes. Written by
	// the controller follow.
	PullState *blackboard.Cell[distribution.PullState]
	// IncomingPulls holds requests of other nodes that wait for an answer here.
	// Added and deleted by the peers' control service, answered by the
	// controller relay.
	IncomingPulls *blackboard.Table[string, distribution.IncomingPull]
	// SendBudget limits the bytes that are sent to other nodes. Written by the
	// controller relay.
	SendBudget *blackboard.Cell[distribution.Budget]
	// EncodedSnapshot is the encoded snapshot that is sent to other nodes.
	// Written by the controller encode.
	EncodedSnapshot *blackboard.Cell[snapshot.Snapshot]
	// SnapshotCatalog holds the snapshots found in the log. Written by the
	// controller logread.
	SnapshotCatalog *blackboard.Cell[snapshot.Catalog]
	// SnapshotWrite is written by the controller snapwrite.
	SnapshotWrite *blackboard.Cell[SnapshotWrite]
	// OutgoingPulls is the outbox of requests to other nodes for records and
	// snapshots, PullResults the inbox of their results.
	OutgoingPulls *blackboard.Table[string, distribution.OutgoingPull]
	PullResults   *blackboard.Table[string, PullResult]
	// VersionReportRequests is the outbox of requests for the version that this
	// node's host served before, VersionReportResults the inbox of their
	// results, by the peer's host.
	VersionReportRequests *blackboard.Table[mesh.HostID, VersionReportRequest]
	VersionReportResults  *blackboard.Table[mesh.HostID, distribution.VersionReportResult]
	// BoundsRequests is the outbox of requests for the bounds of a stream,
	// BoundsResults the inbox of their results.
	BoundsRequests *blackboard.Table[eventlog.Stream, BoundsRequest]
	BoundsResults  *blackboard.Table[eventlog.Stream, BoundsResult]
}

func newDistribution(b *blackboard.Board) Distribution {
	return Distribution{
		Role:                  blackboard.NewCell[distribution.Role](b, "role", rankRole),
		Feed:                  blackboard.NewCell[distribution.Feed](b, "feed", rankFeed),
		Floor:                 blackboard.NewCell[distribution.Floor](b, "floor", rankFloor),
		ServedVersions:        blackboard.NewTable[mesh.HostID, mesh.Version](b, "served_versions", rankServedVersions),
		PeerAhead:             blackboard.NewCell[distribution.PeerAhead](b, "hint", rankPeerAhead),
		PullState:             blackboard.NewCell[distribution.PullState](b, "lane", rankPullState),
		IncomingPulls:         blackboard.NewTable[string, distribution.IncomingPull](b, "pulls", rankIncomingPulls),
		SendBudget:            blackboard.NewCell[distribution.Budget](b, "budget", rankSendBudget),
		EncodedSnapshot:       blackboard.NewCell[snapshot.Snapshot](b, "encoded", rankEncodedSnapshot),
		SnapshotCatalog:       blackboard.NewCell[snapshot.Catalog](b, "shelf", rankSnapshotCatalog),
		SnapshotWrite:         blackboard.NewCell[SnapshotWrite](b, "snapshot_duty", rankSnapshotWrite),
		OutgoingPulls:         blackboard.NewTable[string, distribution.OutgoingPull](b, "asks", rankOutgoingPulls),
		PullResults:           blackboard.NewTable[string, PullResult](b, "ask_results", rankPullResults),
		VersionReportRequests: blackboard.NewTable[mesh.HostID, VersionReportRequest](b, "recall_asks", rankVersionReportRequests),
		VersionReportResults:  blackboard.NewTable[mesh.HostID, distribution.VersionReportResult](b, "recalls", rankVersionReportResults),
		BoundsRequests:        blackboard.NewTable[eventlog.Stream, BoundsRequest](b, "bounds_asks", rankBoundsRequests),
		BoundsResults:         blackboard.NewTable[eventlog.Stream, BoundsResult](b, "bounds_results", rankBoundsResults),
	}
}
