package tables

import (
	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/registration"
)

// RegistrationRow is a registration report of the node's own backend server that
// has not been answered yet.
type RegistrationRow struct {
	Report registration.Report
	// Decided is true once Verdict is set.
	Decided bool
	Verdict registration.Verdict
}

// Backend groups the tables about the node's own backend server.
type Backend struct {
	// Backend is the state of the backend server as far as the node can tell.
	// Written by the controller registration.
	Backend *blackboard.Cell[registration.Backend]
	// Registrations holds the received reports, by sequence number. Added and
	// deleted by the front end, decided by the controller registration.
	Registrations *blackboard.Table[uint64, RegistrationRow]
	// Sendings holds observations that requests made about the backend server,
	// by sequence number. Added by the front end, deleted by the controller
	// registration once they are applied.
	Sendings *blackboard.Table[uint64, Sending]
}

// Sending is an observation about the node's own backend server, made by
// sending a request to it.
type Sending struct {
	// Instance is the ID of the instance that the request was meant for.
	Instance string
	Finding  Finding
}

// Finding is the kind of an observation.
type Finding uint8

// The kinds of observation.
const (
	// TookNone is a backend server that accepted no connection.
	TookNone Finding = iota + 1
	// Replaced is an address at which another instance answered.
	Replaced
)

func newBackend(b *blackboard.Board) Backend {
	return Backend{
		Backend:       blackboard.NewCell[registration.Backend](b, "backend", rankBackend),
		Registrations: blackboard.NewTable[uint64, RegistrationRow](b, "registrations", rankRegistrations),
		Sendings:      blackboard.NewTable[uint64, Sending](b, "sendings", rankSendings),
	}
}
