package tables

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
)

// LogRead is a request to an I/O worker to read a stream of the log.
type LogRead struct {
	// From is the first offset wanted.
	From uint64
	// Wait is how long the platform can hold the request until there are new
	// records.
	Wait time.Duration
	// RequestedAt is when a controller requested the read.
	RequestedAt time.Time
	// Failures counts the consecutive failed reads before this one.
	Failures int
	// Era is the era of the store that the node knew when it requested the read.
	Era uint64
}

// LogBatch is the result of a LogRead.
type LogBatch struct {
	// From, RequestedAt, Failures and RequestEra are those of the LogRead.
	From        uint64
	RequestedAt time.Time
	Failures    int
	RequestEra  uint64
	// Era is the era of the store in which it answered; zero if it is unknown.
	Era     uint64
	Records []eventlog.Record
	// Err is nil when the read succeeded.
	Err error
	// RetryAt is when a failed read is tried again; zero until it is set.
	RetryAt time.Time
}

// Append is a request to an I/O worker to append a record to a stream.
type Append struct {
	Stream eventlog.Stream
	// Data is the encoded record, as a string so that rows are comparable.
	Data string
	// Era is the era of the store that the node knew when it requested the append.
	Era uint64
}

// AppendResult is the result of an Append.
type AppendResult struct {
	Offset uint64
	// RequestEra is the Era of the Append. Era is the era of the store in which
	// it answered; zero if it is unknown.
	RequestEra, Era uint64
	// Err is nil when the record is certainly in the log. With another error
	// the record might be in the log all the same; see
	// eventlog.MayHaveAppended.
	Err error
}

// EventLog groups the outboxes and inboxes of the I/O workers that access the
// platform's log.
type EventLog struct {
	// StoreEra is the newest era of the store that an answer stated; zero until
	// one does. Written through controllers/storeera by the controllers that
	// receive answers of the store.
	StoreEra *blackboard.Cell[uint64]
	// StreamEras holds the era of the store that the position of the reader of a
	// stream belongs to. Written by the readers.
	StreamEras *blackboard.Table[eventlog.Stream, uint64]
	// Positions holds, for streams whose consumer keeps no offset in a table of
	// its own, the offset of the last record consumed.
	Positions *blackboard.Table[eventlog.Stream, uint64]
	// LogReads is the outbox of reads, one for each stream.
	LogReads *blackboard.Table[eventlog.Stream, LogRead]
	// LogBatches is the inbox of read records, deleted by the controller that
	// consumes them.
	LogBatches *blackboard.Table[eventlog.Stream, LogBatch]
	// Appends is the outbox of records to append, by record ID.
	Appends *blackboard.Table[string, Append]
	// AppendResults is the inbox of append results, by record ID, deleted by
	// the controller that requested the append.
	AppendResults *blackboard.Table[string, AppendResult]
}

func newEventLog(b *blackboard.Board) EventLog {
	return EventLog{
		StoreEra:      blackboard.NewCell[uint64](b, "store_era", rankStoreEra),
		StreamEras:    blackboard.NewTable[eventlog.Stream, uint64](b, "stream_eras", rankStreamEras),
		Positions:     blackboard.NewTable[eventlog.Stream, uint64](b, "positions", rankPositions),
		LogReads:      blackboard.NewTable[eventlog.Stream, LogRead](b, "log_reads", rankLogReads),
		LogBatches:    blackboard.NewTable[eventlog.Stream, LogBatch](b, "log_batches", rankLogBatches),
		Appends:       blackboard.NewTable[string, Append](b, "appends", rankAppends),
		AppendResults: blackboard.NewTable[string, AppendResult](b, "appends_done", rankAppendResults),
	}
}
