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

// follower counts on in the table Positions.
type follower struct{ tables *tables.Tables }

func (f follower) Access() []blackboard.Access {
	return []blackboard.Access{f.tables.Positions.Write()}
}

func (f follower) Next(tx *blackboard.Tx) uint64 {
	last, _ := f.tables.Positions.Get(tx, eventlog.Members)
	return last + 1
}

func (f follower) Fold(tx *blackboard.Tx, _ time.Time, records []eventlog.Record) {
	for _, r := range records {
		f.tables.Positions.Put(tx, eventlog.Members, r.Offset)
	}
}

func (f follower) Skip(tx *blackboard.Tx, offset uint64) {
	f.tables.Positions.Put(tx, eventlog.Members, offset)
}

// A reader that starts behind the oldest retained record goes on with that
// record at once, and misses none of those that are left.
func TestReaderBehindRetentionSkipsToOldest(t *testing.T) {
	virtual := clock.NewVirtual(time.Unix(0, 0))
	log := standin.New(virtual, standin.Options{Records: 3})
	for i := range 100 {
		_, err := log.Append(t.Context(), eventlog.Members, []byte(strconv.Itoa(i)))
		must.NoError(t, err)
	}
	tab := tables.New(blackboard.New(blackboard.CheckOrder()))
	pool, io := controller.New(virtual, 1), controller.New(virtual, 1)
	logread.Register(pool, tab, eventlog.Members, follower{tab})
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
		pool.Settle(10)
		io.Step()
		pool.Settle(10)
		virtual.Advance(time.Second)
	}
	must.Eq(t, []uint64{98, 99, 100}, read)
}
