// Package registration is the front end for what is reported about the node's own
// backend server: it writes the backend server's reports and the observations made
// by requests into tables and waits for the controller's decisions. The adapter
// that calls it defines the reports' format on the wire.
package registration

import (
	"context"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/registration"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// Registrar accepts reports and observations. It is safe for concurrent use.
type Registrar struct {
	Tables    *tables.Tables
	lastRowID atomic.Uint64 // of both tables
}

// Submit adds a report to the table Registrations and waits for the decision on it.
// It returns an error if ctx ends first; the report can still take effect then.
func (r *Registrar) Submit(ctx context.Context, report registration.Report) (registration.ReportOutcome, error) {
	t := r.Tables
	rowID := r.lastRowID.Add(1)
	t.Board.Do(func(tx *blackboard.Tx) {
		t.Registrations.Put(tx, rowID, tables.RegistrationRow{Report: report})
	}, t.Registrations.Write())
	row, err := t.Registrations.Await(ctx, rowID, func(row tables.RegistrationRow, found bool) bool {
		return found && row.Decided
	})
	t.Board.Do(func(tx *blackboard.Tx) { t.Registrations.Delete(tx, rowID) }, t.Registrations.Write())
	return row.Outcome, eris.Wrap(err, "wait for decision on backend server's report")
}

// AddObservation adds what a request to an instance of the backend server showed
// about it to the table BackendObservations. It does not wait for the controller.
func (r *Registrar) AddObservation(instance string, kind tables.ObservationKind) {
	t := r.Tables
	rowID := r.lastRowID.Add(1)
	t.Board.Do(func(tx *blackboard.Tx) {
		t.BackendObservations.Put(tx, rowID, tables.BackendObservation{Instance: instance, Kind: kind})
	}, t.BackendObservations.Write())
}
