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

// Guards against repeated and missing log lines: each read of the log and each
// member update writes a row, but only a changed state must be logged.
func TestStateChangesAreLoggedOnce(t *testing.T) {
	board := tables.New(blackboard.New(blackboard.PanicOnNested()))
	pool := controller.NewPool(clock.NewVirtual(time.Unix(0, 0)), 1)
	journal.Register(pool, board)
	var logged []string
	outbox.ServeOneWay(pool, board.Board, "write", board.LogLines, func(_ string, l tables.LogLine) {
		logged = append(logged, l.Part+": "+l.Message)
	})
	putBatch := func(err error) {
		board.Board.Do(func(tx *blackboard.Tx) {
			board.LogBatches.Put(tx, eventlog.ConfigStream, tables.LogBatch{Err: err})
		}, board.LogBatches.Write())
		pool.StepUntilIdle(100)
	}
	putMember := func(s mesh.MemberState) {
		board.Board.Do(func(tx *blackboard.Tx) {
			board.Members.Put(tx, "fes-1", mesh.Member{Host: "fes-1", State: s})
		}, board.Members.Write())
		pool.StepUntilIdle(100)
	}
	putBatch(nil)
	putBatch(nil)
	putBatch(eventlog.ErrUnavailable)
	putBatch(eventlog.ErrUnavailable)
	putBatch(nil)
	putMember(mesh.Alive)
	putMember(mesh.Alive)
	putMember(mesh.Dead)
	must.Eq(t, []string{
		"platform: the log answers",
		"platform: the log does not answer",
		"platform: the log answers",
		"members: fes-1 is alive",
		"members: fes-1 is dead",
	}, logged)
}
