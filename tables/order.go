// Package tables declares the tables of a node's blackboard: every table that
// its controllers share, each with its rank in the lock order.
//
// The groups, in lock order: configuration (changes, routes, submissions),
// distribution of the configuration, membership, endpoints and load, quotas of
// client accounts, requests at this node, the admission point, idempotency keys, the outboxes and inboxes
// of the I/O workers, and last the log lines.
//
// The doc comment of a table names the code that writes it. Any code can read
// it in a transaction.
package tables

import "github.com/marigoldshelf/marigoldshelf/blackboard"

// The lock order. A transaction locks lower ranks first, which Board.Do
// enforces. Gaps leave room for new tables in a group.
const (
	// Configuration: 100 to 149.
	rankChanges     blackboard.Rank = 100
	rankRoutes      blackboard.Rank = 110
	rankSubmissions blackboard.Rank = 120
	rankDocument    blackboard.Rank = 130
	rankRejected    blackboard.Rank = 131
	rankSources     blackboard.Rank = 132
	rankHeld        blackboard.Rank = 133
	rankAnnounced   blackboard.Rank = 134

	// Distribution: 150 to 199.
	rankRole            blackboard.Rank = 150
	rankFeed            blackboard.Rank = 152
	rankFloor           blackboard.Rank = 154
	rankServedVersions  blackboard.Rank = 156
	rankPeerAhead       blackboard.Rank = 158
	rankPullState       blackboard.Rank = 160
	rankIncomingPulls   blackboard.Rank = 162
	rankSendBudget      blackboard.Rank = 164
	rankEncodedSnapshot blackboard.Rank = 166
	rankSnapshotCatalog blackboard.Rank = 168
	rankSnapshotWrite   blackboard.Rank = 170

	// Fleet: 200 to 299 membership, 300 to 349 endpoints and their load.
	rankMembers          blackboard.Rank = 200
	rankPeers            blackboard.Rank = 210
	rankZones            blackboard.Rank = 220
	rankSelf             blackboard.Rank = 230
	rankProber           blackboard.Rank = 240
	rankProbes           blackboard.Rank = 245
	rankMemberBroadcasts blackboard.Rank = 250
	rankZoneBroadcasts   blackboard.Rank = 260
	rankJoinAddresses    blackboard.Rank = 270
	rankAnnounceSchedule blackboard.Rank = 280
	rankEndpoints        blackboard.Rank = 300
	rankHostStats        blackboard.Rank = 310
	rankInFlight         blackboard.Rank = 320
	rankServices         blackboard.Rank = 330
	rankRouteStates      blackboard.Rank = 340

	// Quotas of client accounts: 350 to 399.
	rankQuotaDuty     blackboard.Rank = 350
	rankLeases        blackboard.Rank = 360
	rankLeaseRequests blackboard.Rank = 370
	rankBuckets       blackboard.Rank = 380

	// Traffic: 400 to 499 callers' requests, 500 to 599 the admission point.
	rankCalls          blackboard.Rank = 400
	rankClientHoldings blackboard.Rank = 410
	rankClientLoad     blackboard.Rank = 412
	rankClientRelief   blackboard.Rank = 413
	rankClientCloses   blackboard.Rank = 414
	rankBackend        blackboard.Rank = 490
	rankDrain          blackboard.Rank = 500
	rankLimits         blackboard.Rank = 510
	rankSlotLimit      blackboard.Rank = 515
	rankAdmissions     blackboard.Rank = 520
	rankAccountUsage   blackboard.Rank = 525
	rankServiceTimes   blackboard.Rank = 530
	rankLearnedLimit   blackboard.Rank = 535
	rankOccupancy      blackboard.Rank = 540

	// Idempotency keys: 600 to 699.
	rankClaims        blackboard.Rank = 600
	rankKeyMap        blackboard.Rank = 610
	rankKeyPlan       blackboard.Rank = 620
	rankKeyShards     blackboard.Rank = 630
	rankKeyEntries    blackboard.Rank = 640
	rankKeyOperations blackboard.Rank = 650

	// Outboxes and inboxes: 900 to 979. The ranks 950 to 959 are those of
	// distribution, below.
	rankStoreEra      blackboard.Rank = 899
	rankPositions     blackboard.Rank = 900
	rankStreamEras    blackboard.Rank = 901
	rankLogReads      blackboard.Rank = 910
	rankLogBatches    blackboard.Rank = 920
	rankAppends       blackboard.Rank = 930
	rankAppendResults blackboard.Rank = 940
	rankMessageCount  blackboard.Rank = 942
	rankMessagesOut   blackboard.Rank = 944
	rankMessagesIn    blackboard.Rank = 946
	// Messages to and from granting nodes: 947 to 949.
	rankQuotaMessagesOut  blackboard.Rank = 947
	rankQuotaMessagesIn   blackboard.Rank = 948
	rankQuotaMessageCount blackboard.Rank = 949
	rankKeyMessages       blackboard.Rank = 960
	rankKeyReplies        blackboard.Rank = 970
	rankPendingHedges     blackboard.Rank = 975
	// Outboxes and inboxes of the node's own backend server and of approved
	// configuration: 976 to 979.
	rankRegistrations       blackboard.Rank = 976
	rankBackendObservations blackboard.Rank = 977
	rankBackendChecks       blackboard.Rank = 971
	rankBackendCheckResults blackboard.Rank = 972
	rankDocumentRequests    blackboard.Rank = 978
	rankDocumentResults     blackboard.Rank = 979

	// Outboxes and inboxes of distribution: 950 to 959.
	rankOutgoingPulls         blackboard.Rank = 950
	rankPullResults           blackboard.Rank = 951
	rankVersionReportRequests blackboard.Rank = 952
	rankVersionReportResults  blackboard.Rank = 953
	rankBoundsRequests        blackboard.Rank = 954
	rankBoundsResults         blackboard.Rank = 955
	// Log lines about the node: 980 to 999.
	rankLastMessages blackboard.Rank = 980
	rankLogLines     blackboard.Rank = 990
)

// Tables holds the blackboard of one node and its tables, grouped by subject.
type Tables struct {
	Board *blackboard.Board
	Config
	Distribution
	Fleet
	Traffic
	Clients
	Keys
	EventLog
	Messages
	NodeLog
	Backend
	Approved
	Quota
}

// New adds the tables of a node to board b, all empty, and returns them.
func New(b *blackboard.Board) *Tables {
	return &Tables{
		Board:        b,
		Config:       newConfig(b),
		Distribution: newDistribution(b),
		Fleet:        newFleet(b),
		Traffic:      newTraffic(b),
		Clients:      newClients(b),
		Keys:         newKeys(b),
		EventLog:     newEventLog(b),
		Messages:     newMessages(b),
		NodeLog:      newNodeLog(b),
		Backend:      newBackend(b),
		Approved:     newApproved(b),
		Quota:        newQuota(b),
	}
}
