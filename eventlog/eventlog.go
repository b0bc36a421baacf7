// Package eventlog is the interface to the platform's append-only log service:
// several streams, each with its own rising offsets. What must be agreed or
// kept goes through it. Records are kept for a limited time only, the service
// has outages, and an answer can be lost after the write took effect.
package eventlog

import (
	"context"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// Stream names a stream of the log.
type Stream string

// The streams that the system keeps.
const (
	// Config has the records of changes: proposals, approvals, releases.
	Config Stream = "config"
	// Members has the announcements by which newcomers find their zone.
	Members Stream = "members"
	// Snapshots has the chunks of snapshots of the configuration's state.
	Snapshots Stream = "snapshots"
	// Keys has who holds which shard of the idempotency keys.
	Keys Stream = "keys"
)

// Record is one entry of a stream.
type Record struct {
	// Offset is its place; the first record of a stream has offset 1.
	Offset uint64
	// Time is when the platform took it, by the platform's clock.
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
	// Append adds a record and returns its offset. On an error the record may
	// be in the log all the same, unless the error is ErrRefused.
	Append(ctx context.Context, s Stream, data []byte) (uint64, error)
	// Read returns records from offset from on, in order, at most a batch. It
	// waits up to wait for the first one and returns none when none came.
	// An error that is ErrExpired says that from lies before the oldest retained
	// record; Oldest tells which that is.
	Read(ctx context.Context, s Stream, from uint64, wait time.Duration) ([]Record, error)
	// Bounds returns the range of retained offsets.
	Bounds(ctx context.Context, s Stream) (Bounds, error)
}

var (
	// ErrRefused: the platform refused the append; the record is not in the log.
	ErrRefused = eris.New("eventlog: append refused")
	// ErrUnavailable: no answer; an append may have taken effect.
	ErrUnavailable = eris.New("eventlog: no answer")
	// ErrExpired: the offset is older than the oldest retained record.
	ErrExpired = eris.New("eventlog: offset no longer retained")
)

// IsUnknown reports whether an append that failed with err may be in the log
// all the same.
func IsUnknown(err error) bool { return err != nil && !eris.Is(err, ErrRefused) }

// ExpiredError is the ErrExpired of a read, with what the stream still has.
type ExpiredError struct {
	// Oldest is the oldest retained offset.
	Oldest uint64
}

// Error names the oldest retained offset.
func (e *ExpiredError) Error() string {
	return ErrExpired.Error() + ", oldest is " + strconv.FormatUint(e.Oldest, 10)
}

// Is makes every ExpiredError an ErrExpired.
func (e *ExpiredError) Is(target error) bool { return target == ErrExpired }

// Oldest returns the oldest retained offset that a failed read told, and
// whether it told one.
func Oldest(err error) (uint64, bool) {
	var expired *ExpiredError
	if !eris.As(err, &expired) {
		return 0, false
	}
	return expired.Oldest, true
}
