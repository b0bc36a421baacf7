// Package registration is the front end for what is reported about the node's own
// backend server: it writes the backend server's reports and the findings of
// requests into tables and waits for the controller's decisions. The adapter that
// calls it defines the reports' format on the wire.
package registration

import (
	"context"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/registration"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// Registrar accepts reports and findings. It is safe for concurrent use.
type Registrar struct {
	Tables    *tables.Tables
	lastRowID atomic.Uint64 // of both tables
}

// Submit adds a report to the table Registrations and waits for the decision on it.
// It returns an error if ctx ends first; the report can still take effect then.
func (d *Registrar) Submit(ctx context.Context, r registration.Report) (registration.ReportOutcome, error) {
	t := d.Tables
	rowID := d.lastRowID.Add(1)
	t.Board.Do(func(tx *blackboard.Tx) {
		t.Registrations.Put(tx, rowID, tables.RegistrationRow{Report: r})
	}, t.Registrations.Write())
	row, err := t.Registrations.Await(ctx, rowID, func(row tables.RegistrationRow, found bool) bool {
		return found && row.Decided
	})
	t.Board.Do(func(tx *blackboard.Tx) { t.Registrations.Delete(tx, rowID) }, t.Registrations.Write())
	return row.Verdict, eris.Wrap(err, "wait for decision on backend server's report")
}

// AddObservation adds what a request to an instance of the backend server revealed about it
// to the table Sendings. It does not wait for the controller.
func (d *Registrar) AddObservation(instance string, f tables.ObservationKind) {
	t := d.Tables
	rowID := d.lastRowID.Add(1)
	t.Board.Do(func(tx *blackboard.Tx) {
		t.BackendObservations.Put(tx, rowID, tables.BackendObservation{Instance: instance, Finding: f})
	}, t.BackendObservations.Write())
}
