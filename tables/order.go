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
	rankDocument    blackboard.Rank = 130
	rankSources     blackboard.Rank = 132
	rankAnnounced   blackboard.Rank = 134

	// Distribution: 150 to 199.
	rankRole           blackboard.Rank = 150
	rankFeed           blackboard.Rank = 152
	rankFloor          blackboard.Rank = 154
	rankServedVersions blackboard.Rank = 156
	rankHint           blackboard.Rank = 158
	rankLane           blackboard.Rank = 160
	rankPulls          blackboard.Rank = 162
	rankBudget         blackboard.Rank = 164
	rankEncoded        blackboard.Rank = 166
	rankShelf          blackboard.Rank = 168
	rankSnapshotDuty   blackboard.Rank = 170

	// Fleet: 200 to 299 membership, 300 to 399 where requests can go.
	rankMembers   blackboard.Rank = 200
	rankPeers     blackboard.Rank = 210
	rankZones     blackboard.Rank = 220
	rankSelf      blackboard.Rank = 230
	rankProber    blackboard.Rank = 240
	rankProbes    blackboard.Rank = 245
	rankNews      blackboard.Rank = 250
	rankZoneNews  blackboard.Rank = 260
	rankContacts  blackboard.Rank = 270
	rankMeeting   blackboard.Rank = 280
	rankEndpoints blackboard.Rank = 300
	rankReports   blackboard.Rank = 310
	rankInFlight  blackboard.Rank = 320
	rankServices  blackboard.Rank = 330

	// Traffic: 400 to 499 callers' requests, 500 to 599 the admission point.
	rankCalls      blackboard.Rank = 400
	rankBackend    blackboard.Rank = 490
	rankDrain      blackboard.Rank = 500
	rankLimits     blackboard.Rank = 510
	rankCapacity   blackboard.Rank = 515
	rankAdmissions blackboard.Rank = 520
	rankTimes      blackboard.Rank = 530
	rankOccupancy  blackboard.Rank = 540

	// Idempotency keys: 600 to 699.
	rankClaims        blackboard.Rank = 600
	rankKeyMap        blackboard.Rank = 610
	rankKeyPlan       blackboard.Rank = 620
	rankKeyShards     blackboard.Rank = 630
	rankKeyEntries    blackboard.Rank = 640
	rankKeyOperations blackboard.Rank = 650

	// Outboxes and inboxes: 900 to 979.
	rankPositions    blackboard.Rank = 900
	rankLogReads     blackboard.Rank = 910
	rankLogBatches   blackboard.Rank = 920
	rankAppends      blackboard.Rank = 930
	rankAppendsDone  blackboard.Rank = 940
	rankMessageCount blackboard.Rank = 942
	rankMessagesOut  blackboard.Rank = 944
	rankMessagesIn   blackboard.Rank = 946
	rankKeySends     blackboard.Rank = 960
	rankKeyReplies   blackboard.Rank = 970
	rankHedges       blackboard.Rank = 975
	// The same, of the own backend server and of approved configuration.
	rankRegistrations   blackboard.Rank = 976
	rankSendings        blackboard.Rank = 977
	rankDocumentAsks    blackboard.Rank = 978
	rankDocumentResults blackboard.Rank = 979

	// The same, of distribution: 950 to 969.
	rankAsks          blackboard.Rank = 950
	rankAskResults    blackboard.Rank = 951
	rankRecallAsks    blackboard.Rank = 952
	rankRecalls       blackboard.Rank = 953
	rankBoundsAsks    blackboard.Rank = 954
	rankBoundsResults blackboard.Rank = 955
	// What the node says of itself: 980 to 999.
	rankTold  blackboard.Rank = 980
	rankLines blackboard.Rank = 990
)

// Tables is the blackboard of one node.
type Tables struct {
	Board *blackboard.Board
	Config
	Spread
	Fleet
	Traffic
	Keys
	EventLog
	Messages
	Journal
	Backend
	Approved
}

// New returns the empty tables of a node on board b.
func New(b *blackboard.Board) *Tables {
	return &Tables{
		Board:    b,
		Config:   newConfig(b),
		Spread:   newSpread(b),
		Fleet:    newFleet(b),
		Traffic:  newTraffic(b),
		Keys:     newKeys(b),
		EventLog: newEventLog(b),
		Messages: newMessages(b),
		Journal:  newJournal(b),
		Backend:  newBackend(b),
		Approved: newApproved(b),
	}
}
