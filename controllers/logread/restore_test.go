package logread_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/controllers/logread"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// restartableConsumer is a positionConsumer that can start again.
type restartableConsumer struct{ positionConsumer }

func (c restartableConsumer) Restart(tx *blackboard.Tx) {
	c.tables.Positions.Delete(tx, eventlog.MembersStream)
}

// Guards against a reader that applies records of another era at its old position,
// that waits for good at an offset beyond the end of a restored log, or that takes
// a late batch of the former era.
func TestReaderStartsAgainInTheNextEra(t *testing.T) {
	virtual := clock.NewVirtual(time.Unix(0, 0))
	tab := tables.New(blackboard.New(blackboard.PanicOnNested()))
	pool := controller.NewPool(virtual, 1)
	logread.Register(pool, tab, eventlog.MembersStream, restartableConsumer{positionConsumer{tab}})
	pool.StepUntilIdle(10)
	answer := func(era uint64, err error, offsets ...uint64) (next tables.LogRead) {
		tab.Board.Do(func(tx *blackboard.Tx) {
			read, _ := tab.LogReads.Get(tx, eventlog.MembersStream)
			batch := tables.LogBatch{From: read.From, RequestEra: read.Era, Era: era, Err: err}
			for _, offset := range offsets {
				batch.Records = append(batch.Records, eventlog.Record{Offset: offset})
			}
			tab.LogReads.Delete(tx, eventlog.MembersStream)
			tab.LogBatches.Put(tx, eventlog.MembersStream, batch)
		}, tab.LogReads.Write(), tab.LogBatches.Write())
		pool.StepUntilIdle(10)
		tab.Board.Do(func(tx *blackboard.Tx) { next, _ = tab.LogReads.Get(tx, eventlog.MembersStream) }, tab.LogReads.Read())
		return next
	}
	must.Eq(t, 4, answer(1, nil, 1, 2, 3).From)
	must.Eq(t, 1, answer(2, nil, 4, 5).From, must.Sprint("records of the next era at the old position"))
	must.Eq(t, 3, answer(2, nil, 1, 2).From)
	must.Eq(t, 1, answer(3, &eventlog.ExpiredError{Oldest: 1}).From, must.Sprint("position beyond the end"))
	must.Eq(t, 2, answer(3, nil, 1).From)
	tab.Board.Do(func(tx *blackboard.Tx) { tab.StoreEra.Set(tx, 4) }, tab.StoreEra.Write())
	pool.StepUntilIdle(10)
	must.Eq(t, 1, answer(3, nil, 2, 3).From, must.Sprint("late batch"))
	must.Eq(t, 2, answer(4, nil, 1).From)
}
