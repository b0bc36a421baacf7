package spread

import (
	"slices"
	"time"
)

// Bounds of the records that a node keeps for others, and of one answer.
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

// Feed is what a node has of the configuration stream. It is a value.
type Feed struct {
	// Offset is the last record folded; zero for none.
	Offset uint64
	// Digest is the stream's digest at Offset.
	Digest Digest
	// Tail has the last records, without a gap up to Offset.
	Tail []Entry
	// Base and BaseDigest are the place right before the tail.
	Base       uint64
	BaseDigest Digest
	// Confirmed is the latest instant, by the own clock, at which the log is
	// known to have had no record above Offset; zero for none.
	Confirmed time.Time
	// Contact is when the log last answered, this node or those through which
	// the feed came; zero for never. It tells a working source from one that
	// is cut off, also while records come so often that Confirmed stands still.
	Contact time.Time
	// Tip is the newest bounds of the log that were read.
	Tip Tip
	// LogFailing is true while the last read of the log had no answer.
	LogFailing bool
	// Lost is true when the log no longer has the record after Offset.
	Lost bool
	// Diverged is true when the digest at Offset differs from that of a node
	// that was asked: only a snapshot from another one mends it.
	Diverged bool
}

// Tip is the newest offset of the log, as asked for at instant At.
type Tip struct {
	Newest uint64
	At     time.Time
}

// Accept returns those of the records that continue the feed: older ones are
// left out, and none is returned when there is a gap.
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
	f.Lost = false
	return f.trim().settleTip()
}

// Restart puts the feed at a snapshot's place.
func (f Feed) Restart(offset uint64, d Digest) Feed {
	f.Offset, f.Digest = offset, d
	f.Base, f.BaseDigest = offset, d
	f.Tail = nil
	f.Lost, f.Diverged = false, false
	return f.settleTip()
}

// trim drops the oldest records of the tail past its bounds.
func (f Feed) trim() Feed {
	size := 0
	for _, e := range f.Tail {
		size += len(e.Data)
	}
	for len(f.Tail) > maxTailRecords || size > maxTailBytes && len(f.Tail) > 1 {
		size -= len(f.Tail[0].Data)
		f.Base, f.BaseDigest = f.Tail[0].Offset, f.Tail[0].Digest
		f.Tail = f.Tail[1:]
	}
	return f
}

// WithTip notes the log's newest offset, asked for at instant at.
func (f Feed) WithTip(newest uint64, at time.Time) Feed {
	if at.After(f.Tip.At) {
		f.Tip = Tip{Newest: newest, At: at}
	}
	return f.settleTip()
}

func (f Feed) settleTip() Feed {
	if f.Offset >= f.Tip.Newest {
		f = f.ConfirmedAt(f.Tip.At)
	}
	return f
}

// ConfirmedAt notes that at instant at the log had nothing above f.Offset.
func (f Feed) ConfirmedAt(at time.Time) Feed {
	if at.After(f.Confirmed) {
		f.Confirmed = at
	}
	return f
}

// ContactAt notes that the log answered at instant at.
func (f Feed) ContactAt(at time.Time) Feed {
	if at.After(f.Contact) {
		f.Contact = at
	}
	return f
}

// Age is how long ago the feed was known to be at the log's end, and whether
// it ever was.
func (f Feed) Age(now time.Time) (time.Duration, bool) {
	if f.Confirmed.IsZero() {
		return 0, false
	}
	return max(now.Sub(f.Confirmed), 0), true
}

// at returns the digest at an offset that the feed still knows.
func (f Feed) at(offset uint64) (Digest, bool) {
	if offset < f.Base || offset > f.Offset {
		return Digest{}, false
	}
	if offset == f.Base {
		return f.BaseDigest, true
	}
	return f.Tail[offset-f.Base-1].Digest, true
}

// after returns the records that follow an offset, at most one answer's worth,
// and the digest at the last of them.
func (f Feed) after(offset uint64) ([]Record, Digest) {
	d, _ := f.at(offset)
	var records []Record
	size := 0
	for _, e := range f.Tail[offset-f.Base:] {
		size += len(e.Data)
		if len(records) > 0 && (size > maxAnswerBytes || len(records) == maxAnswerRecords) {
			break
		}
		records = append(records, e.Record)
		d = e.Digest
	}
	return records, d
}
