// Package registration takes the reports of the node's own backend server to
// the controller that decides them. What the reports look like on the wire is
// for the adapter that calls it.
package registration

import (
	"context"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/registration"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// Desk takes reports. It is safe for concurrent use.
type Desk struct {
	Tables *tables.Tables
	count  atomic.Uint64
}

// Take puts a report on the blackboard and waits for the decision on it. An
// error says that ctx ended first; the report may still count.
func (d *Desk) Take(ctx context.Context, r registration.Report) (registration.Verdict, error) {
	t := d.Tables
	number := d.count.Add(1)
	t.Board.Do(func(tx *blackboard.Tx) {
		t.Registrations.Put(tx, number, tables.RegistrationRow{Report: r})
	}, t.Registrations.Write())
	row, err := t.Registrations.Await(ctx, number, func(row tables.RegistrationRow, found bool) bool {
		return found && row.Decided
	})
	t.Board.Do(func(tx *blackboard.Tx) { t.Registrations.Delete(tx, number) }, t.Registrations.Write())
	return row.Verdict, eris.Wrap(err, "registration")
}

// Find notes what a request found out about the backend server.
func (d *Desk) Find(instance string, f tables.Finding) {
	t := d.Tables
	number := d.count.Add(1)
	t.Board.Do(func(tx *blackboard.Tx) {
		t.Sendings.Put(tx, number, tables.Sending{Instance: instance, Finding: f})
	}, t.Sendings.Write())
}
