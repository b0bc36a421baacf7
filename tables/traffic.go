package tables

import (
	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/admit"
	"github.com/marigoldshelf/marigoldshelf/decide/call"
	"github.com/marigoldshelf/marigoldshelf/decide/drain"
	"github.com/marigoldshelf/marigoldshelf/decide/limit"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Traffic groups the tables of requests: those that this node received from
// callers, and those at the admission point of its backend server.
type Traffic struct {
	// Calls holds the callers' requests in flight at this node, by request ID.
	// The callers' front end adds rows, sets the outcomes of attempts and marks
	// the end; the controller calls decides the steps and deletes ended rows.
	Calls *blackboard.Table[string, call.Call]
	// Drain is the drain state of the node's own backend server and the stop
	// state of the node. Written by the operators' front end, by the
	// controllers registration and stop, and by the node when it starts or
	// stops.
	Drain *blackboard.Cell[drain.State]
	// Limits holds the capacity of the node's own backend server. Written at
	// the start and by the controller registration.
	Limits *blackboard.Cell[admit.Limits]
	// SlotLimit is the adaptive limit of the slots in use. Written at the start
	// and by the controllers admission and registration.
	SlotLimit *blackboard.Cell[limit.State]
	// Admissions holds the requests at the admission point, by admission ID.
	// The peers' front end adds rows and marks them finished; the controller
	// admission grants, refuses and deletes.
	Admissions *blackboard.Table[string, admit.Request]
	// AccountUsage holds what each client account was granted and refused lately.
	// Written by the controller admission, which deletes the rows of accounts
	// without requests within seconds and bounds their number.
	AccountUsage *blackboard.Table[mesh.AccountName, admit.Usage]
	// ServiceTimes holds the service times and the failure ratio of admitted
	// requests. Written by the controller admission.
	ServiceTimes *blackboard.Cell[admit.ServiceTimes]
	// LearnedLimit is the learned number of concurrent requests that the backend
	// server sustains, and its speed. Written by the controller admission.
	LearnedLimit *blackboard.Cell[limit.Learned]
	// Occupancy is the load that responses report. Written at the start and by
	// the controller admission.
	Occupancy *blackboard.Cell[mesh.Load]
	// PendingHedges is the outbox of hedged attempts: the index of the attempt,
	// by request ID. Added by the controller calls, deleted by the senders, or
	// by the controller calls when the request ends.
	PendingHedges *blackboard.Table[string, int]
}

func newTraffic(b *blackboard.Board) Traffic {
	return Traffic{
		Calls:         blackboard.NewTable[string, call.Call](b, "calls", rankCalls),
		Drain:         blackboard.NewCell[drain.State](b, "drain", rankDrain),
		Limits:        blackboard.NewCell[admit.Limits](b, "limits", rankLimits),
		SlotLimit:     blackboard.NewCell[limit.State](b, "capacity", rankSlotLimit),
		ServiceTimes:  blackboard.NewCell[admit.ServiceTimes](b, "service_times", rankServiceTimes),
		LearnedLimit:  blackboard.NewCell[limit.Learned](b, "learned_limit", rankLearnedLimit),
		Occupancy:     blackboard.NewCell[mesh.Load](b, "occupancy", rankOccupancy),
		PendingHedges: blackboard.NewTable[string, int](b, "hedges", rankPendingHedges),
		AccountUsage:  blackboard.NewTable[mesh.AccountName, admit.Usage](b, "account_usage", rankAccountUsage),
		Admissions:    blackboard.NewTable[string, admit.Request](b, "admissions", rankAdmissions),
	}
}
