package distribution

import (
	"slices"
	"time"
)

// Bounds of the records that a node keeps to answer pulls, and of one answer.
const (
	maxTailRecords   = 1024
	maxTailBytes     = 4 << 20
	maxAnswerRecords = 256
	maxAnswerBytes   = 512 << 10
)

// Entry is a record and the digest of the stream after it.
type Entry struct {
	Record
	Digest Digest
}

// Feed is a node's position in the configuration stream, with the latest records.
// It is immutable: its methods return a new Feed.
type Feed struct {
	// Offset is the offset of the last record applied; zero if there is none.
	Offset uint64
	// Digest is the stream's digest at Offset.
	Digest Digest
	// Tail has the latest records up to Offset, without a gap.
	Tail []Entry
	// TailBase and BaseDigest are the offset and the digest right before the tail.
	TailBase   uint64
	BaseDigest Digest
	// CaughtUpAt is the latest time, by this node's clock, at which the log is
	// known to have had no record above Offset; zero if that is not known.
	CaughtUpAt time.Time
	// LogContactAt is when the log last answered this node or the nodes through
	// which the records came; zero if it never did. It separates a working
	// source from one that is partitioned from the log, even while records come
	// so often that CaughtUpAt does not advance.
	LogContactAt time.Time
	// Tip is the result of the latest request for the log's newest offset.
	Tip Tip
	// LogFailing is true while the last read of the log failed.
	LogFailing bool
	// Expired is true if the log no longer has the record after Offset.
	Expired bool
	// Diverged is true if another node has a different digest at Offset. Only a
	// snapshot of another node repairs it.
	Diverged bool
}

// Tip is the result of a request for the log's newest offset.
type Tip struct {
	// Newest is the newest offset; zero if the log is empty.
	Newest uint64
	// At is when the request was made.
	At time.Time
}

// Accept returns the records that continue the feed. Records at or below Offset
// are skipped; if there is a gap, no record is returned.
func (f Feed) Accept(records []Record) (fresh []Record, gap bool) {
	for _, r := range records {
		next := f.Offset + uint64(len(fresh)) + 1
		switch {
		case r.Offset < next:
		case r.Offset > next:
			return nil, true
		default:
			fresh = append(fresh, r)
		}
	}
	return fresh, false
}

// Append adds records that Accept returned.
func (f Feed) Append(records []Record) Feed {
	if len(records) == 0 {
		return f
	}
	f.Tail = slices.Clone(f.Tail)
	for _, r := range records {
		f.Digest = f.Digest.Next(r)
		f.Offset = r.Offset
		f.Tail = append(f.Tail, Entry{Record: r, Digest: f.Digest})
	}
	f.Expired = false
	return f.trimTail().confirmTip()
}

// ResetTo moves the feed to the position of a restored snapshot.
func (f Feed) ResetTo(offset uint64, d Digest) Feed {
	f.Offset, f.Digest = offset, d
	f.TailBase, f.BaseDigest = offset, d
	f.Tail = nil
	f.Expired, f.Diverged = false, false
	return f.confirmTip()
}

// trimTail drops the oldest records above the bounds of the tail.
func (f Feed) trimTail() Feed {
	size := 0
	for _, e := range f.Tail {
		size += len(e.Data)
	}
	for len(f.Tail) > maxTailRecords || size > maxTailBytes && len(f.Tail) > 1 {
		size -= len(f.Tail[0].Data)
		f.TailBase, f.BaseDigest = f.Tail[0].Offset, f.Tail[0].Digest
		f.Tail = f.Tail[1:]
	}
	return f
}

// WithTip sets the log's newest offset, requested at the time at, unless a later
// request was answered already.
func (f Feed) WithTip(newest uint64, at time.Time) Feed {
	if at.After(f.Tip.At) {
		f.Tip = Tip{Newest: newest, At: at}
	}
	return f.confirmTip()
}

// confirmTip advances CaughtUpAt once the feed has reached the tip.
func (f Feed) confirmTip() Feed {
	if f.Offset >= f.Tip.Newest {
		f = f.WithCaughtUp(f.Tip.At)
	}
	return f
}

// WithCaughtUp advances CaughtUpAt: at the time at, the log had no record above
// f.Offset.
func (f Feed) WithCaughtUp(at time.Time) Feed {
	if at.After(f.CaughtUpAt) {
		f.CaughtUpAt = at
	}
	return f
}

// WithLogContact advances LogContactAt: the log answered at the time at.
func (f Feed) WithLogContact(at time.Time) Feed {
	if at.After(f.LogContactAt) {
		f.LogContactAt = at
	}
	return f
}

// Age returns the time since CaughtUpAt, at least zero, and whether CaughtUpAt is
// set.
func (f Feed) Age(now time.Time) (time.Duration, bool) {
	if f.CaughtUpAt.IsZero() {
		return 0, false
	}
	return max(now.Sub(f.CaughtUpAt), 0), true
}

// digestAt returns the digest at an offset from TailBase to Offset. It reports
// false for other offsets.
func (f Feed) digestAt(offset uint64) (Digest, bool) {
	if offset < f.TailBase || offset > f.Offset {
		return Digest{}, false
	}
	if offset == f.TailBase {
		return f.BaseDigest, true
	}
	return f.Tail[offset-f.TailBase-1].Digest, true
}

// recordsAfter returns the records that follow an offset, up to the bounds of one
// pull answer, and the digest after the last of them. offset must be from
// TailBase to Offset.
func (f Feed) recordsAfter(offset uint64) ([]Record, Digest) {
	digest, _ := f.digestAt(offset)
	var records []Record
	size := 0
	for _, e := range f.Tail[offset-f.TailBase:] {
		size += len(e.Data)
		if len(records) > 0 && (size > maxAnswerBytes || len(records) == maxAnswerRecords) {
			break
		}
		records = append(records, e.Record)
		digest = e.Digest
	}
	return records, digest
}
