package tables

import (
	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/registration"
)

// RegistrationRow is a registration report of the node's own backend server
// that has not been answered yet.
type RegistrationRow struct {
	Report registration.Report
	// Decided is true once Outcome, the outcome of the report, is set.
	Decided bool
	Outcome registration.ReportOutcome
}

// Backend groups the tables about the node's own backend server.
type Backend struct {
	// Backend is the state of the backend server as far as the node can tell.
	// Written by the controller registration.
	Backend *blackboard.Cell[registration.Backend]
	// Registrations holds the received reports, by sequence number. Added and
	// deleted by the front end, decided by the controller registration.
	Registrations *blackboard.Table[uint64, RegistrationRow]
	// BackendChecks is the outbox of health checks of the backend server,
	// BackendCheckResults the inbox of their results, by instance. Added by the
	// controller registration, deleted by it with the result.
	BackendChecks       *blackboard.Table[string, BackendCheck]
	BackendCheckResults *blackboard.Table[string, BackendCheckResult]
	// BackendObservations holds observations about the backend server from
	// requests sent to it, by sequence number. Added by the front end, deleted
	// by the controller registration once they are applied.
	BackendObservations *blackboard.Table[uint64, BackendObservation]
}

// BackendCheck is a request to an I/O worker to check the health of the node's
// own backend server.
type BackendCheck struct {
	// Sequence is the sequence number of the report that is checked.
	Sequence uint64
}

// BackendCheckResult is the result of a BackendCheck.
type BackendCheckResult struct {
	// Healthy is true if the instance that was checked answered that it accepts
	// requests.
	Healthy bool
	// Err is why there is no answer.
	Err error
}

// BackendObservation is an observation about the node's own backend server,
// from a request sent to it.
type BackendObservation struct {
	// Instance is the ID of the instance that the request was meant for.
	Instance string
	Kind     ObservationKind
}

// ObservationKind is the kind of an observation.
type ObservationKind uint8

// The kinds of observation.
const (
	// ConnectFailed means that the backend server accepted no connection.
	ConnectFailed ObservationKind = iota + 1
	// InstanceReplaced means that another instance answered at the address.
	InstanceReplaced
)

func newBackend(b *blackboard.Board) Backend {
	return Backend{
		Backend:             blackboard.NewCell[registration.Backend](b, "backend", rankBackend),
		Registrations:       blackboard.NewTable[uint64, RegistrationRow](b, "registrations", rankRegistrations),
		BackendChecks:       blackboard.NewTable[string, BackendCheck](b, "backend_checks", rankBackendChecks),
		BackendCheckResults: blackboard.NewTable[string, BackendCheckResult](b, "backend_check_results", rankBackendCheckResults),
		BackendObservations: blackboard.NewTable[uint64, BackendObservation](b, "sendings", rankBackendObservations),
	}
}
