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
}

// LogBatch is the result of a LogRead.
type LogBatch struct {
	// From, RequestedAt and Failures are those of the LogRead.
	From        uint64
	RequestedAt time.Time
	Failures    int
	Records     []eventlog.Record
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
}

// AppendResult is the result of an Append.
type AppendResult struct {
	Offset uint64
	// Err is nil when the record is certainly in the log. With another error
	// the record might be in the log all the same; see
	// eventlog.MayHaveAppended.
	Err error
}

// EventLog groups the outboxes and inboxes of the I/O workers that access the
// platform's log.
type EventLog struct {
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
		Positions:     blackboard.NewTable[eventlog.Stream, uint64](b, "positions", rankPositions),
		LogReads:      blackboard.NewTable[eventlog.Stream, LogRead](b, "log_reads", rankLogReads),
		LogBatches:    blackboard.NewTable[eventlog.Stream, LogBatch](b, "log_batches", rankLogBatches),
		Appends:       blackboard.NewTable[string, Append](b, "appends", rankAppends),
		AppendResults: blackboard.NewTable[string, AppendResult](b, "appends_done", rankAppendResults),
	}
}
