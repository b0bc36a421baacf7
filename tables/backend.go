package tables

import (
	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/registration"
)

// RegistrationRow is one report of the own backend server, until it was
// answered.
type RegistrationRow struct {
	Report registration.Report
	// Decided is true once Verdict is set.
	Decided bool
	Verdict registration.Verdict
}

// Backend has what is known of the node's own backend server.
type Backend struct {
	// Backend is what the node believes of it. Written by the controller
	// registration.
	Backend *blackboard.Cell[registration.Backend]
	// Registrations has the reports that came in, by number. Added and deleted
	// by the front end, decided by the controller registration.
	Registrations *blackboard.Table[uint64, RegistrationRow]
	// Sendings has what requests found out about it, by number, until the
	// controller registration takes it.
	Sendings *blackboard.Table[uint64, Sending]
}

// Sending is what a request found out about the own backend server.
type Sending struct {
	// Instance is the backend server that was meant.
	Instance string
	Finding  Finding
}

// Finding is what a request found out.
type Finding uint8

// The findings.
const (
	// TookNone: it took no connection.
	TookNone Finding = iota + 1
	// Replaced: another backend server has its address.
	Replaced
)

func newBackend(b *blackboard.Board) Backend {
	return Backend{
		Backend:       blackboard.NewCell[registration.Backend](b, "backend", rankBackend),
		Registrations: blackboard.NewTable[uint64, RegistrationRow](b, "registrations", rankRegistrations),
		Sendings:      blackboard.NewTable[uint64, Sending](b, "sendings", rankSendings),
	}
}
