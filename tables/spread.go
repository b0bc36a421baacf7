package tables

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/snapshot"
	"github.com/marigoldshelf/marigoldshelf/decide/spread"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// FollowLane is the only key of Asks and AskResults.
const FollowLane = "follow"

// AskResult is what came of a request to another node.
type AskResult struct {
	Ask    spread.Ask
	Answer spread.Answer
	// Err is nil when there is an answer.
	Err error
}

// RecallAsk asks a node what it remembers of a host.
type RecallAsk struct {
	To   spread.Source
	Host mesh.HostID
}

// BoundsAsk asks an I/O worker for the bounds of a stream.
type BoundsAsk struct {
	// At is when it was decided on.
	At time.Time
}

// BoundsResult is what came of a BoundsAsk.
type BoundsResult struct {
	Ask    BoundsAsk
	Bounds eventlog.Bounds
	Err    error
	// RetryAt is when a failed question is put again; zero until it is set.
	RetryAt time.Time
}

// SnapshotDuty is the state of writing snapshots into the log.
type SnapshotDuty struct {
	// CountedAt is when enough records followed the newest snapshot; zero
	// while they do not.
	CountedAt time.Time
	// Writing is the snapshot under way, Next its next chunk.
	Writing snapshot.Snapshot
	Next    int
	// RetryAt is the pause after a failed append.
	RetryAt time.Time
}

// Spread has the tables of the configuration's distribution and recovery.
type Spread struct {
	// Role is the node's part. Written by the controller roles.
	Role *blackboard.Cell[spread.Role]
	// Feed is what the node has of the configuration stream, in step with
	// Changes. Written by the controllers logread, follow and recover.
	Feed *blackboard.Cell[spread.Feed]
	// Floor is the lowest version that may be served. Written by the
	// controller floor.
	Floor *blackboard.Cell[spread.Floor]
	// ServedVersions has the version that each host told this node to serve;
	// it only rises. Written by the controllers' front end for peers.
	ServedVersions *blackboard.Table[mesh.HostID, mesh.Version]
	// Hint names a node that is ahead of this one. Written by the controller
	// relay.
	Hint *blackboard.Cell[spread.Hint]
	// Lane is the state of asking others. Written by the controller follow.
	Lane *blackboard.Cell[spread.Lane]
	// Pulls has the requests of other nodes that wait here. Added and deleted
	// by the peers' control service, answered by the controller relay.
	Pulls *blackboard.Table[string, spread.Pull]
	// Budget bounds what is sent to others. Written by the controller relay.
	Budget *blackboard.Cell[spread.Budget]
	// Encoded is the snapshot that others are given. Written by the controller
	// encode.
	Encoded *blackboard.Cell[snapshot.Snapshot]
	// Shelf has the snapshots of the log. Written by the controller logread.
	Shelf *blackboard.Cell[snapshot.Shelf]
	// SnapshotDuty is written by the controller snapwrite.
	SnapshotDuty *blackboard.Cell[SnapshotDuty]
	// Asks and AskResults are the outbox and inbox of requests to other nodes.
	Asks       *blackboard.Table[string, spread.Ask]
	AskResults *blackboard.Table[string, AskResult]
	// RecallAsks and Recalls are the outbox and inbox of the question what
	// peers remember, by the peer's host.
	RecallAsks *blackboard.Table[mesh.HostID, RecallAsk]
	Recalls    *blackboard.Table[mesh.HostID, spread.Recalled]
	// BoundsAsks and BoundsResults are the outbox and inbox of the question
	// where a stream ends.
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
