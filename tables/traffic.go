package tables

import (
	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/admit"
	"github.com/marigoldshelf/marigoldshelf/decide/call"
	"github.com/marigoldshelf/marigoldshelf/decide/drain"
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
	// Admissions has the requests at the admission point, by admission ID. The
	// peers' front end adds and finishes rows; the controller admission
	// decides.
	Admissions *blackboard.Table[string, admit.Request]
}

func newTraffic(b *blackboard.Board) Traffic {
	return Traffic{
		Calls:      blackboard.NewTable[string, call.Call](b, "calls", rankCalls),
		Drain:      blackboard.NewCell[drain.State](b, "drain", rankDrain),
		Limits:     blackboard.NewCell[admit.Limits](b, "limits", rankLimits),
		Admissions: blackboard.NewTable[string, admit.Request](b, "admissions", rankAdmissions),
	}
}
