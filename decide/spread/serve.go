package spread

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/decide/snapshot"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Request is what a node asks another for. It can be compared.
type Request struct {
	// Host is the asking node's host and Served the version it serves.
	Host   mesh.HostID
	Served mesh.Version
	// Offset and Digest are its place in the stream.
	Offset uint64
	Digest Digest
	// Snapshot is true when records do not help it.
	Snapshot bool
	// Part is the snapshot that it has a part of, Chunk the next one wanted.
	Part  string
	Chunk int
	// MaxAge asks for an answer by a node that was at the log's end no longer
	// than this before the request arrived; zero does not ask.
	MaxAge time.Duration
}

// Pull is a request at the node that was asked.
type Pull struct {
	Request  Request
	Arrived  time.Time
	Deadline time.Time
	// Answer is nil until it is decided.
	Answer *Answer
}

// Kind is the kind of an answer.
type Kind uint8

// The kinds of answer.
const (
	// Records: the records that follow; none when the wait was over.
	Records Kind = iota + 1
	// Chunk: a chunk of a snapshot.
	Chunk
	// Behind: the asking node has more than the one asked.
	Behind
	// Diverged: the digests at the asking node's offset differ.
	Diverged
	// Busy: ask again after RetryAfter.
	Busy
	// Encode: no answer yet; a snapshot has to be encoded first.
	Encode
	// Hold: no answer yet.
	Hold
)

// String returns the name that counters use.
func (k Kind) String() string {
	names := [...]string{"none", "records", "chunk", "behind", "diverged", "busy", "encode", "hold"}
	if int(k) >= len(names) {
		return names[0]
	}
	return names[k]
}

// Answer is what the asked node tells.
type Answer struct {
	Kind    Kind
	Records []Record
	Chunk   snapshot.Chunk
	// Offset is the answering node's own place; Digest is the stream's digest
	// at the last of Records.
	Offset uint64
	Digest Digest
	// Age is how long before the request's arrival the answering node was at
	// the log's end, zero if it was since; it counts when AgeKnown.
	Age      time.Duration
	AgeKnown bool
	// ContactAge is how long before the answer the log last answered the nodes
	// that lead to it; it counts when ContactKnown.
	ContactAge   time.Duration
	ContactKnown bool
	// RetryAfter is the pause asked for by Busy.
	RetryAfter time.Duration
}

// Served is what a node has to answer from.
type Served struct {
	Feed Feed
	// Snapshot is the newest one encoded; zero for none.
	Snapshot snapshot.Snapshot
	Budget   Budget
	// Draw is a random number, 0 to 1, that spreads the retries of a herd.
	Draw float64
}

// Reply decides what to answer at instant now, Hold and Encode included, and
// returns what the answer leaves of the budget.
func Reply(now time.Time, p Pull, s Served) (Answer, Budget) {
	a, cost := decide(now, p, s)
	a.Offset = s.Feed.Offset
	a.Age, a.AgeKnown = s.Feed.Age(p.Arrived)
	if a.ContactKnown = !s.Feed.Contact.IsZero(); a.ContactKnown {
		a.ContactAge = max(now.Sub(s.Feed.Contact), 0)
	}
	budget, wait := s.Budget.take(now, cost)
	if wait > 0 {
		a = Answer{Kind: Busy, Offset: a.Offset, RetryAfter: wait + time.Duration(s.Draw*float64(busySpread))}
	}
	return a, budget
}

func decide(now time.Time, p Pull, s Served) (a Answer, cost int) {
	r, feed := p.Request, s.Feed
	known, found := feed.at(r.Offset)
	switch {
	case r.Offset > feed.Offset:
		return Answer{Kind: Behind}, 0
	case r.Snapshot || !found:
		return chunkFor(r, s)
	case known != r.Digest:
		return Answer{Kind: Diverged}, 0
	}
	records, digest := feed.after(r.Offset)
	if len(records) > 0 {
		return Answer{Kind: Records, Records: records, Digest: digest}, sizeOf(records)
	}
	if fresh(p, feed) || !now.Before(p.Deadline) {
		return Answer{Kind: Records, Digest: digest}, 0
	}
	return Answer{Kind: Hold}, 0
}

// fresh reports whether the pull asks for the feed's age and it is low enough.
func fresh(p Pull, f Feed) bool {
	age, known := f.Age(p.Arrived)
	return p.Request.MaxAge > 0 && known && age <= p.Request.MaxAge
}

// WantsTip reports whether an unanswered pull waits for the log's end to be
// asked for anew.
func WantsTip(p Pull, f Feed) bool {
	wanted := p.Arrived.Add(-p.Request.MaxAge)
	return p.Answer == nil && p.Request.MaxAge > 0 && !fresh(p, f) && f.Tip.At.Before(wanted)
}

// chunkFor answers from the encoded snapshot, if deltas can follow it.
func chunkFor(r Request, s Served) (Answer, int) {
	snap := s.Snapshot
	if snap.ID == "" || snap.Offset < s.Feed.Base || snap.Offset < r.Offset {
		return Answer{Kind: Encode}, 0
	}
	index := 0
	if r.Part == snap.ID && r.Chunk < snap.Count() {
		index = max(r.Chunk, 0)
	}
	chunk := snap.Chunk(index)
	return Answer{Kind: Chunk, Chunk: chunk}, len(chunk.Data)
}

func sizeOf(records []Record) (size int) {
	for _, r := range records {
		size += len(r.Data)
	}
	return size
}
