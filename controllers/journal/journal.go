// Package journal is the controller that says in the log what changed: the
// version in force, members, drains, and whether the platform answers. A
// sentence is said once, when it becomes true.
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

// The subjects that are not a member's host.
const (
	subjectRoutes   = "config"
	subjectDrain    = "drain"
	subjectPlatform = "platform"
	memberPrefix    = "member "
)

// Register adds the controllers.
func Register(p *controller.Pool, t *tables.Tables) {
	j := journal{tables: t}
	subjects := controller.Register(p, "journal", j.subject)
	members := controller.Register(p, "journal of members", j.member)
	t.Routes.Watch(func() { subjects.Add(subjectRoutes) })
	t.Drain.Watch(func() { subjects.Add(subjectDrain) })
	t.LogBatches.Watch(func(eventlog.Stream) { subjects.Add(subjectPlatform) })
	t.Members.Watch(members.Add)
}

type journal struct {
	tables *tables.Tables
}

// subject says what is new about one subject.
func (j journal) subject(_ time.Time, subject string) controller.Result {
	t := j.tables
	t.Board.Do(func(tx *blackboard.Tx) {
		if line, any := j.lineOn(tx, subject); any {
			j.tell(tx, subject, line)
		}
	}, t.Routes.Read(), t.Drain.Read(), t.LogBatches.Read(), t.Told.Write(), t.Lines.Write())
	return controller.Result{}
}

func (j journal) lineOn(tx *blackboard.Tx, subject string) (tables.Line, bool) {
	switch subject {
	case subjectRoutes:
		return j.routes(tx)
	case subjectDrain:
		return j.drain(tx)
	default:
		return j.platform(tx)
	}
}

func (j journal) routes(tx *blackboard.Tx) (tables.Line, bool) {
	routes := j.tables.Routes.Get(tx)
	if routes == nil {
		return tables.Line{}, false
	}
	return tables.Line{Part: "config", Sentence: fmt.Sprintf("version %d is in force", routes.Version)}, true
}

func (j journal) drain(tx *blackboard.Tx) (tables.Line, bool) {
	if j.tables.Drain.Get(tx).Draining {
		return tables.Line{Part: "admission", Sentence: "draining: no new work is taken"}, true
	}
	return tables.Line{Part: "admission", Sentence: "work is taken"}, true
}

// platform reads the outcome of the last read of any stream. A stream whose
// batch was taken already says nothing.
func (j journal) platform(tx *blackboard.Tx) (line tables.Line, any bool) {
	j.tables.LogBatches.Each(tx, func(_ eventlog.Stream, b tables.LogBatch) bool {
		any = true
		line = tables.Line{Part: "platform", Sentence: "the log answers"}
		if b.Err != nil && !eris.Is(b.Err, eventlog.ErrExpired) {
			line = tables.Line{Part: "platform", Warning: true, Sentence: "the log does not answer"}
			return false
		}
		return true
	})
	return line, any
}

func (j journal) member(_ time.Time, host mesh.HostID) controller.Result {
	t := j.tables
	t.Board.Do(func(tx *blackboard.Tx) {
		m, found := t.Members.Get(tx, host)
		state := m.State.String()
		if !found {
			state = "forgotten"
		}
		j.tell(tx, memberPrefix+string(host), tables.Line{
			Part:     "members",
			Warning:  found && m.State == mesh.Dead,
			Sentence: string(host) + " is " + state,
		})
	}, t.Members.Read(), t.Told.Write(), t.Lines.Write())
	return controller.Result{}
}

// tell puts a line into the outbox unless it was the last one on its subject.
func (j journal) tell(tx *blackboard.Tx, subject string, line tables.Line) {
	if last, _ := j.tables.Told.Get(tx, subject); last == line.Sentence {
		return
	}
	j.tables.Told.Put(tx, subject, line.Sentence)
	j.tables.Lines.Put(tx, subject, line)
}
