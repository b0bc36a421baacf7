// Package tables is the blackboard of a node: every table that its controllers
// share, each with its place in the one lock order.
//
// The groups, in lock order: what the node is (settings, floor), the
// configuration (log position, state, routes), membership, load and endpoints,
// calls at this node, the admission point, idempotency keys, and last the
// outboxes and inboxes of the I/O workers.
package tables

import "github.com/marigoldshelf/marigoldshelf/blackboard"

// The lock order. A transaction locks lower ranks first; Board.Do sees to it.
// Gaps leave room for new tables in a group.
const (
	// Configuration: 100 to 149 changes, 150 to 199 distribution.
	rankChanges     blackboard.Rank = 100
	rankRoutes      blackboard.Rank = 110
	rankSubmissions blackboard.Rank = 120

	// Fleet: 200 to 299 membership, 300 to 399 where requests can go.
	rankMembers   blackboard.Rank = 200
	rankEndpoints blackboard.Rank = 300
	rankReports   blackboard.Rank = 310
	rankInFlight  blackboard.Rank = 320
	rankServices  blackboard.Rank = 330

	// Traffic: 400 to 499 callers' requests, 500 to 599 the admission point.
	rankCalls      blackboard.Rank = 400
	rankDrain      blackboard.Rank = 500
	rankLimits     blackboard.Rank = 510
	rankCapacity   blackboard.Rank = 515
	rankAdmissions blackboard.Rank = 520
	rankTimes      blackboard.Rank = 530
	rankOccupancy  blackboard.Rank = 540

	// Idempotency keys: 600 to 699.

	// Outboxes and inboxes: 900 to 999.
	rankPositions   blackboard.Rank = 900
	rankLogReads    blackboard.Rank = 910
	rankLogBatches  blackboard.Rank = 920
	rankAppends     blackboard.Rank = 930
	rankAppendsDone blackboard.Rank = 940
	rankHedges      blackboard.Rank = 960
)

// Tables is the blackboard of one node.
type Tables struct {
	Board *blackboard.Board
	Config
	Fleet
	Traffic
	Platform
}

// New returns the empty tables of a node on board b.
func New(b *blackboard.Board) *Tables {
	return &Tables{
		Board:    b,
		Config:   newConfig(b),
		Fleet:    newFleet(b),
		Traffic:  newTraffic(b),
		Platform: newPlatform(b),
	}
}
