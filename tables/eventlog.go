package tables

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
)

// LogRead asks an I/O worker to read a stream.
type LogRead struct {
	// From is the first offset wanted.
	From uint64
	// Wait is how long the platform may hold the answer for new records.
	Wait time.Duration
	// At is when it was decided on.
	At time.Time
	// Failures counts the failed reads in a row before it.
	Failures int
}

// LogBatch is what came of a LogRead.
type LogBatch struct {
	// From, At and Failures are those of the LogRead.
	From     uint64
	At       time.Time
	Failures int
	Records  []eventlog.Record
	// Err is nil when the read succeeded.
	Err error
	// RetryAt is when a failed read is tried again; zero until it is set.
	RetryAt time.Time
}

// Append asks an I/O worker to append a record.
type Append struct {
	Stream eventlog.Stream
	// Data is the encoded record, as a string so that rows can be compared.
	Data string
}

// AppendDone is what came of an Append.
type AppendDone struct {
	Offset uint64
	// Err is nil when the record is in the log for certain; see
	// eventlog.IsUnknown.
	Err error
}

// EventLog has the outboxes and inboxes of the I/O workers that talk to the
// platform's log.
type EventLog struct {
	// Positions has the offset of the last record of each stream that was
	// folded into a table which keeps no offset of its own.
	Positions *blackboard.Table[eventlog.Stream, uint64]
	// LogReads has the read wanted on each stream.
	LogReads *blackboard.Table[eventlog.Stream, LogRead]
	// LogBatches has the records read, until a controller takes them.
	LogBatches *blackboard.Table[eventlog.Stream, LogBatch]
	// Appends has the records to append, by record ID.
	Appends *blackboard.Table[string, Append]
	// AppendsDone has the outcomes of appends, by record ID, until the asker
	// takes them.
	AppendsDone *blackboard.Table[string, AppendDone]
}

func newEventLog(b *blackboard.Board) EventLog {
	return EventLog{
		Positions:   blackboard.NewTable[eventlog.Stream, uint64](b, "positions", rankPositions),
		LogReads:    blackboard.NewTable[eventlog.Stream, LogRead](b, "log_reads", rankLogReads),
		LogBatches:  blackboard.NewTable[eventlog.Stream, LogBatch](b, "log_batches", rankLogBatches),
		Appends:     blackboard.NewTable[string, Append](b, "appends", rankAppends),
		AppendsDone: blackboard.NewTable[string, AppendDone](b, "appends_done", rankAppendsDone),
	}
}
