package logread_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/controllers/logread"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/eventlog/standin"
	"github.com/marigoldshelf/marigoldshelf/outbox"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// positionConsumer stores the offset of the last record in the table Positions.
type positionConsumer struct{ tables *tables.Tables }

func (c positionConsumer) Access() []blackboard.Access {
	return []blackboard.Access{c.tables.Positions.Write()}
}

func (c positionConsumer) NextOffset(tx *blackboard.Tx) uint64 {
	last, _ := c.tables.Positions.Get(tx, eventlog.MembersStream)
	return last + 1
}

func (c positionConsumer) Apply(tx *blackboard.Tx, _ time.Time, records []eventlog.Record) {
	for _, r := range records {
		c.tables.Positions.Put(tx, eventlog.MembersStream, r.Offset)
	}
}

func (c positionConsumer) Skip(tx *blackboard.Tx, offset uint64) {
	c.tables.Positions.Put(tx, eventlog.MembersStream, offset)
}

// Guards against a reader that retries an expired offset or skips retained
// records: the log retains only the last 3 of 100 records, and the reader starts
// at the first. It must continue with the oldest retained one and read all 3.
func TestReaderBehindRetentionSkipsToOldest(t *testing.T) {
	virtual := clock.NewVirtual(time.Unix(0, 0))
	log := standin.New(virtual, standin.Options{MaxRecords: 3})
	for i := range 100 {
		_, err := log.Append(t.Context(), eventlog.MembersStream, []byte(strconv.Itoa(i)))
		must.NoError(t, err)
	}
	tab := tables.New(blackboard.New(blackboard.PanicOnNested()))
	pool, io := controller.NewPool(virtual, 1), controller.NewPool(virtual, 1)
	logread.Register(pool, tab, eventlog.MembersStream, positionConsumer{tab})
	var read []uint64
	outbox.Serve(t.Context(), io, tab.Board, "read log", tab.LogReads, tab.LogBatches,
		func(ctx context.Context, s eventlog.Stream, r tables.LogRead) tables.LogBatch {
			records, err := log.Read(ctx, s, r.From, 0)
			for _, r := range records {
				read = append(read, r.Offset)
			}
			return tables.LogBatch{From: r.From, Records: records, Err: err}
		})
	for range 3 {
		pool.StepUntilIdle(10)
		io.Step()
		pool.StepUntilIdle(10)
		virtual.Advance(time.Second)
	}
	must.Eq(t, []uint64{98, 99, 100}, read)
}
