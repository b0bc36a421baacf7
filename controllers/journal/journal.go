// Package journal has the controllers that log changes of the node's state: the
// version in force, members, drains, and whether the platform's log answers.
// Each change is logged once: a line equal to the last one on the same subject
// is left out. They write the tables LastMessages and LogLines.
package journal

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// The subjects of lines: the first three are subjects themselves; a member's
// host follows memberPrefix.
const (
	subjectRoutes   = "config"
	subjectDrain    = "drain"
	subjectPlatform = "platform"
	memberPrefix    = "member "
)

// Register adds the controllers to the pool: one whose key is the subject, and
// one for members, whose key is the member's host.
func Register(p *controller.Pool, t *tables.Tables) {
	r := reconciler{tables: t}
	subjects := controller.Register(p, "journal", r.reconcileSubject)
	members := controller.Register(p, "journal of members", r.reconcileMember)
	t.Routes.Watch(func() { subjects.Add(subjectRoutes) })
	t.Drain.Watch(func() { subjects.Add(subjectDrain) })
	t.LogBatches.Watch(func(eventlog.Stream) { subjects.Add(subjectPlatform) })
	t.Members.Watch(members.Add)
}

type reconciler struct {
	tables *tables.Tables
}

func (r reconciler) reconcileSubject(_ time.Time, subject string) controller.Result {
	t := r.tables
	t.Board.Do(func(tx *blackboard.Tx) {
		if line, any := r.lineFor(tx, subject); any {
			r.logOnce(tx, subject, line)
		}
	}, t.Routes.Read(), t.Drain.Read(), t.LogBatches.Read(), t.LastMessages.Write(), t.LogLines.Write())
	return controller.Result{}
}

// lineFor returns the line for the present state of a subject, and whether
// there is one.
func (r reconciler) lineFor(tx *blackboard.Tx, subject string) (tables.LogLine, bool) {
	switch subject {
	case subjectRoutes:
		return r.routesLine(tx)
	case subjectDrain:
		return r.drainLine(tx)
	default:
		return r.platformLine(tx)
	}
}

func (r reconciler) routesLine(tx *blackboard.Tx) (tables.LogLine, bool) {
	routes := r.tables.Routes.Get(tx)
	if routes == nil {
		return tables.LogLine{}, false
	}
	return tables.LogLine{Part: "config", Message: fmt.Sprintf("version %d is in force", routes.Version)}, true
}

func (r reconciler) drainLine(tx *blackboard.Tx) (tables.LogLine, bool) {
	if r.tables.Drain.Get(tx).Draining {
		return tables.LogLine{Part: "admission", Message: "draining: new requests are refused"}, true
	}
	return tables.LogLine{Part: "admission", Message: "new requests are accepted"}, true
}

// platformLine returns a warning if the last read of any stream got no answer.
// It skips streams whose batch has been consumed, and returns false if that
// leaves none.
func (r reconciler) platformLine(tx *blackboard.Tx) (line tables.LogLine, any bool) {
	r.tables.LogBatches.Each(tx, func(_ eventlog.Stream, b tables.LogBatch) bool {
		any = true
		line = tables.LogLine{Part: "platform", Message: "the log answers"}
		if b.Err != nil && !eris.Is(b.Err, eventlog.ErrExpired) {
			line = tables.LogLine{Part: "platform", Warning: true, Message: "the log does not answer"}
			return false
		}
		return true
	})
	return line, any
}

func (r reconciler) reconcileMember(_ time.Time, host mesh.HostID) controller.Result {
	t := r.tables
	t.Board.Do(func(tx *blackboard.Tx) {
		m, found := t.Members.Get(tx, host)
		state := m.State.String()
		if !found {
			state = "forgotten"
		}
		r.logOnce(tx, memberPrefix+string(host), tables.LogLine{
			Part:    "members",
			Warning: found && m.State == mesh.Dead,
			Message: string(host) + " is " + state,
		})
	}, t.Members.Read(), t.LastMessages.Write(), t.LogLines.Write())
	return controller.Result{}
}

// logOnce puts a line into the outbox unless the last line on its subject had
// the same message.
func (r reconciler) logOnce(tx *blackboard.Tx, subject string, line tables.LogLine) {
	if last, _ := r.tables.LastMessages.Get(tx, subject); last == line.Message {
		return
	}
	r.tables.LastMessages.Put(tx, subject, line.Message)
	r.tables.LogLines.Put(tx, subject, line)
}
