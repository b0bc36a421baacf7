package journal_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/controllers/journal"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/outbox"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

func TestSaysWhatChangedOnce(t *testing.T) {
	b := tables.New(blackboard.New(blackboard.CheckOrder()))
	pool := controller.New(clock.NewVirtual(time.Unix(0, 0)), 1)
	journal.Register(pool, b)
	var said []string
	outbox.Drain(pool, b.Board, "write", b.Lines, func(_ string, l tables.Line) {
		said = append(said, l.Part+": "+l.Sentence)
	})
	batch := func(err error) {
		b.Board.Do(func(tx *blackboard.Tx) {
			b.LogBatches.Put(tx, eventlog.Config, tables.LogBatch{Err: err})
		}, b.LogBatches.Write())
		pool.Settle(100)
	}
	member := func(s mesh.MemberState) {
		b.Board.Do(func(tx *blackboard.Tx) {
			b.Members.Put(tx, "fes-1", mesh.Member{Host: "fes-1", State: s})
		}, b.Members.Write())
		pool.Settle(100)
	}
	batch(nil)
	batch(nil)
	batch(eventlog.ErrUnavailable)
	batch(eventlog.ErrUnavailable)
	batch(nil)
	member(mesh.Alive)
	member(mesh.Alive)
	member(mesh.Dead)
	must.Eq(t, []string{
		"platform: the log answers",
		"platform: the log does not answer",
		"platform: the log answers",
		"members: fes-1 is alive",
		"members: fes-1 is dead",
	}, said)
}
