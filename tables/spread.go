package tables

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/snapshot"
	"github.com/marigoldshelf/marigoldshelf/decide/spread"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// FollowLane is the only row key of Asks and AskResults.
const FollowLane = "follow"

// AskResult is the result of a request to another node for records or a
// snapshot.
type AskResult struct {
	Ask    spread.Ask
	Answer spread.Answer
	// Err is nil when there is an answer.
	Err error
}

// RecallAsk is a request to another node for the highest version that a host
// can have served.
type RecallAsk struct {
	To   spread.Source
	Host mesh.HostID
}

// BoundsAsk is a request to an I/O worker for the oldest and newest offset of a
// stream.
type BoundsAsk struct {
	// At is when a controller requested it.
	At time.Time
}

// BoundsResult is the result of a BoundsAsk.
type BoundsResult struct {
	Ask    BoundsAsk
	Bounds eventlog.Bounds
	Err    error
	// RetryAt is when a failed request is made again; zero until it is set.
	RetryAt time.Time
}

// SnapshotDuty is the state of writing snapshots into the log.
type SnapshotDuty struct {
	// CountedAt is when the number of records after the newest snapshot reached
	// the policy's limit; zero while it has not.
	CountedAt time.Time
	// Writing is the snapshot that is being written, Next the index of its next
	// chunk.
	Writing snapshot.Snapshot
	Next    int
	// RetryAt is the earliest time of the next append or snapshot, set after a
	// failed append or encoding and after a finished snapshot.
	RetryAt time.Time
}

// Spread groups the tables of the distribution and recovery of the
// configuration.
type Spread struct {
	// Role is the node's role in the distribution tree. Written by the controller
	// roles.
	Role *blackboard.Cell[spread.Role]
	// Feed is the node's position in the configuration stream and the records
	// that it keeps for other nodes. A record is folded into Feed and Changes in
	// one transaction. Written by the controllers logread, follow, tip and
	// restore.
	Feed *blackboard.Cell[spread.Feed]
	// Floor is the lowest version that the node is allowed to serve. Written by
	// the controller floor.
	Floor *blackboard.Cell[spread.Floor]
	// ServedVersions holds the highest version that each host has reported to this
	// node as served. Written by the controller relay.
	ServedVersions *blackboard.Table[mesh.HostID, mesh.Version]
	// Hint names a node with a higher offset than this one. Written by the
	// controller relay.
	Hint *blackboard.Cell[spread.Hint]
	// Lane is the state of this node's requests to other nodes. Written by the
	// controller follow.
	Lane *blackboard.Cell[spread.Lane]
	// Pulls holds requests of other nodes that wait for an answer here. Added and
	// deleted by the peers' control service, answered by the controller relay.
	Pulls *blackboard.Table[string, spread.Pull]
	// Budget limits the bytes that are sent to other nodes. Written by the
	// controller relay.
	Budget *blackboard.Cell[spread.Budget]
	// Encoded is the encoded snapshot that is sent to other nodes. Written by the
	// controller encode.
	Encoded *blackboard.Cell[snapshot.Snapshot]
	// Shelf holds the snapshots found in the log. Written by the controller
	// logread.
	Shelf *blackboard.Cell[snapshot.Shelf]
	// SnapshotDuty is written by the controller snapwrite.
	SnapshotDuty *blackboard.Cell[SnapshotDuty]
	// Asks is the outbox of requests to other nodes for records and snapshots,
	// AskResults the inbox of their results.
	Asks       *blackboard.Table[string, spread.Ask]
	AskResults *blackboard.Table[string, AskResult]
	// RecallAsks is the outbox of requests for the version that this node's host
	// served before, Recalls the inbox of their results, by the peer's host.
	RecallAsks *blackboard.Table[mesh.HostID, RecallAsk]
	Recalls    *blackboard.Table[mesh.HostID, spread.Recalled]
	// BoundsAsks is the outbox of requests for the bounds of a stream,
	// BoundsResults the inbox of their results.
	BoundsAsks    *blackboard.Table[eventlog.Stream, BoundsAsk]
	BoundsResults *blackboard.Table[eventlog.Stream, BoundsResult]
}

func newSpread(b *blackboard.Board) Spread {
	return Spread{
		Role:           blackboard.NewCell[spread.Role](b, "role", rankRole),
		Feed:           blackboard.NewCell[spread.Feed](b, "feed", rankFeed),
		Floor:          blackboard.NewCell[spread.Floor](b, "floor", rankFloor),
		ServedVersions: blackboard.NewTable[mesh.HostID, mesh.Version](b, "served_versions", rankServedVersions),
		Hint:           blackboard.NewCell[spread.Hint](b, "hint", rankHint),
		Lane:           blackboard.NewCell[spread.Lane](b, "lane", rankLane),
		Pulls:          blackboard.NewTable[string, spread.Pull](b, "pulls", rankPulls),
		Budget:         blackboard.NewCell[spread.Budget](b, "budget", rankBudget),
		Encoded:        blackboard.NewCell[snapshot.Snapshot](b, "encoded", rankEncoded),
		Shelf:          blackboard.NewCell[snapshot.Shelf](b, "shelf", rankShelf),
		SnapshotDuty:   blackboard.NewCell[SnapshotDuty](b, "snapshot_duty", rankSnapshotDuty),
		Asks:           blackboard.NewTable[string, spread.Ask](b, "asks", rankAsks),
		AskResults:     blackboard.NewTable[string, AskResult](b, "ask_results", rankAskResults),
		RecallAsks:     blackboard.NewTable[mesh.HostID, RecallAsk](b, "recall_asks", rankRecallAsks),
		Recalls:        blackboard.NewTable[mesh.HostID, spread.Recalled](b, "recalls", rankRecalls),
		BoundsAsks:     blackboard.NewTable[eventlog.Stream, BoundsAsk](b, "bounds_asks", rankBoundsAsks),
		BoundsResults:  blackboard.NewTable[eventlog.Stream, BoundsResult](b, "bounds_results", rankBoundsResults),
	}
}
