package tables

import (
	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/admit"
	"github.com/marigoldshelf/marigoldshelf/decide/call"
	"github.com/marigoldshelf/marigoldshelf/decide/drain"
	"github.com/marigoldshelf/marigoldshelf/decide/limit"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Traffic has the tables of requests: those that callers brought to this node,
// and those at the admission point of its backend server.
type Traffic struct {
	// Calls has the callers' requests under way at this node, by request ID. A
	// front end adds and deletes a row and reports outcomes; the controller
	// calls decides the steps.
	Calls *blackboard.Table[string, call.Call]
	// Drain says whether the own backend server is leaving. Written by the
	// operators' front end and by a stopping node.
	Drain *blackboard.Cell[drain.State]
	// Limits bounds what the own backend server takes.
	Limits *blackboard.Cell[admit.Limits]
	// Capacity is how many of the slots are in use at present. Written by the
	// controller admission.
	Capacity *blackboard.Cell[limit.State]
	// Admissions has the requests at the admission point, by admission ID. The
	// peers' front end adds and finishes rows; the controller admission
	// decides.
	Admissions *blackboard.Table[string, admit.Request]
	// Times is how long requests hold a slot. Written by the controller
	// admission.
	Times *blackboard.Cell[admit.ServiceTimes]
	// Occupancy is the load that answers report. Written by the controller
	// admission.
	Occupancy *blackboard.Cell[mesh.Load]
	// Hedges has the second attempts to send, by request ID: the index of the
	// attempt. Put by the controller calls, taken by the senders.
	Hedges *blackboard.Table[string, int]
}

func newTraffic(b *blackboard.Board) Traffic {
	return Traffic{
		Calls:      blackboard.NewTable[string, call.Call](b, "calls", rankCalls),
		Drain:      blackboard.NewCell[drain.State](b, "drain", rankDrain),
		Limits:     blackboard.NewCell[admit.Limits](b, "limits", rankLimits),
		Capacity:   blackboard.NewCell[limit.State](b, "capacity", rankCapacity),
		Times:      blackboard.NewCell[admit.ServiceTimes](b, "service_times", rankTimes),
		Occupancy:  blackboard.NewCell[mesh.Load](b, "occupancy", rankOccupancy),
		Hedges:     blackboard.NewTable[string, int](b, "hedges", rankHedges),
		Admissions: blackboard.NewTable[string, admit.Request](b, "admissions", rankAdmissions),
	}
}
