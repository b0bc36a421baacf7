// Package eventlog is the interface to the platform's append-only log service.
// The log has several streams, each with its own increasing offsets. Nodes use
// it to agree on changes and to store state durably. The service drops records
// after a retention period, has outages, and can lose the response to an
// append that took effect.
package eventlog

import (
	"context"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// Stream names a stream of the log.
type Stream string

// The streams that the system uses.
const (
	// ConfigStream holds the records of configuration changes: proposals,
	// approvals, releases.
	ConfigStream Stream = "config"
	// MembersStream holds the announcements through which a starting node finds
	// the members of its zone.
	MembersStream Stream = "members"
	// SnapshotsStream holds the chunks of snapshots of the configuration state.
	SnapshotsStream Stream = "snapshots"
	// KeysStream holds the assignment of the shards of idempotency keys to nodes.
	KeysStream Stream = "keys"
)

// Record is one entry of a stream.
type Record struct {
	// Offset is the record's position; the first record of a stream has offset 1.
	Offset uint64
	// Time is when the platform appended the record, by the platform's clock.
	Time time.Time
	Data []byte
}

// Bounds is the range of offsets that a stream retains. An empty stream has
// Oldest = Newest + 1.
type Bounds struct {
	Oldest uint64
	Newest uint64
}

// Log is the platform's log service. It is safe for concurrent use.
type Log interface {
	// Append adds a record and returns its offset. If it fails with an error
	// other than ErrRefused, the record may still have been appended.
	Append(ctx context.Context, s Stream, data []byte) (uint64, error)
	// Read returns the records from offset from on, in order, at most one batch.
	// It waits up to wait for the first record and returns none if none was
	// appended in that time. It returns ErrExpired if from is below the oldest
	// retained offset; OldestRetained extracts that offset from the error.
	Read(ctx context.Context, s Stream, from uint64, wait time.Duration) ([]Record, error)
	// Bounds returns the range of retained offsets.
	Bounds(ctx context.Context, s Stream) (Bounds, error)
}

// EraLog is a Log of a platform that can be restored from an older copy. It
// numbers its eras: the era is raised by one each time, records appended after
// the copy was made are lost, and their offsets are assigned again. An offset is
// therefore meaningful only within its era. Era zero is unknown; an era can be
// returned with an error.
type EraLog interface {
	Log
	// AppendInEra is Append, and returns the era of the response.
	AppendInEra(ctx context.Context, s Stream, data []byte) (offset, era uint64, err error)
	// ReadInEra is Read, and returns the era of the response. ErrExpired is also
	// returned if from lies beyond the end of a log that was restored.
	ReadInEra(ctx context.Context, s Stream, from uint64, wait time.Duration) (records []Record, era uint64, err error)
}

// Read reads from a log and returns the era of the response; zero if the log has
// no eras.
func Read(ctx context.Context, l Log, s Stream, from uint64, wait time.Duration) (records []Record, era uint64, err error) {
	if e, ok := l.(EraLog); ok {
		return e.ReadInEra(ctx, s, from, wait)
	}
	records, err = l.Read(ctx, s, from, wait)
	return records, 0, err
}

// Append appends to a log and returns the era of the response; zero if the log
// has no eras.
func Append(ctx context.Context, l Log, s Stream, data []byte) (offset, era uint64, err error) {
	if e, ok := l.(EraLog); ok {
		return e.AppendInEra(ctx, s, data)
	}
	offset, err = l.Append(ctx, s, data)
	return offset, 0, err
}

var (
	// ErrRefused: the platform refused the append; the record is not in the log.
	ErrRefused = eris.New("eventlog: append refused")
	// ErrUnavailable: the platform sent no response; an append may have taken
	// effect.
	ErrUnavailable = eris.New("eventlog: no response from the log service")
	// ErrExpired: the offset is older than the oldest retained record.
	ErrExpired = eris.New("eventlog: offset no longer retained")
)

// MayHaveAppended reports whether the outcome of an append that failed with err
// is unknown: the record may have been appended.
func MayHaveAppended(err error) bool { return err != nil && !eris.Is(err, ErrRefused) }

// ExpiredError is an ErrExpired that carries the oldest retained offset.
type ExpiredError struct {
	// Oldest is the oldest retained offset.
	Oldest uint64
}

// Error returns a message with the oldest retained offset.
func (e *ExpiredError) Error() string {
	return ErrExpired.Error() + ", oldest is " + strconv.FormatUint(e.Oldest, 10)
}

// Is makes eris.Is(err, ErrExpired) true for every ExpiredError.
func (e *ExpiredError) Is(target error) bool { return target == ErrExpired }

// OldestRetained returns the oldest retained offset that the error of a failed
// read carries. It returns false if err is not an ExpiredError.
func OldestRetained(err error) (uint64, bool) {
	var expired *ExpiredError
	if !eris.As(err, &expired) {
		return 0, false
	}
	return expired.Oldest, true
}
