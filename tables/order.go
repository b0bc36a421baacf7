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
	rankChanges     blackboard.Rank = 100
	rankRoutes      blackboard.Rank = 110
	rankSubmissions blackboard.Rank = 120
	rankMembers     blackboard.Rank = 200
	rankEndpoints   blackboard.Rank = 300
	rankLoads       blackboard.Rank = 310
	rankInFlight    blackboard.Rank = 320
	rankCalls       blackboard.Rank = 400
	rankLimits      blackboard.Rank = 500
	rankAdmissions  blackboard.Rank = 510
	rankPositions   blackboard.Rank = 890
	rankLogReads    blackboard.Rank = 900
	rankLogBatches  blackboard.Rank = 910
	rankAppends     blackboard.Rank = 920
	rankAppendsDone blackboard.Rank = 930
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
