package spread

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/decide/snapshot"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Request is the content of a pull. It is comparable.
type Request struct {
	// Host is the pulling node's host and Served the version in force there.
	Host   mesh.HostID
	Served mesh.Version
	// Offset and Digest are the pulling node's position in the stream.
	Offset uint64
	Digest Digest
	// Snapshot is true if the node needs a snapshot instead of records.
	Snapshot bool
	// Part is the ID of the snapshot that the node has received in part, Chunk the
	// index of the next chunk of it.
	Part  string
	Chunk int
	// MaxAge requests an answer from a node that was at the log's end at most this
	// long before the pull arrived; zero requests none.
	MaxAge time.Duration
}

// Pull is a pull at the node that answers it.
type Pull struct {
	Request Request
	Arrived time.Time
	// Deadline is when the pull is answered even without records.
	Deadline time.Time
	// Answer is nil until it is decided.
	Answer *Answer
}

// Kind is the kind of an answer. The values are part of the peers' protocol.
type Kind uint8

// The kinds of answer.
const (
	// Records: the answer has the records that follow; none if the pull's deadline
	// passed or the answer confirms the log's end.
	Records Kind = iota + 1
	// Chunk: the answer has a chunk of a snapshot.
	Chunk
	// Behind: the pulling node has more records than the answering node.
	Behind
	// Diverged: the nodes have different digests at the pulling node's offset.
	Diverged
	// Busy: the pulling node has to retry after RetryAfter.
	Busy
	// Encode: no answer yet, because a snapshot has to be encoded first. It is not
	// sent.
	Encode
	// Hold: no answer yet. It is not sent.
	Hold
)

// String returns the kind's name in the metrics, and "none" for an unknown kind.
func (k Kind) String() string {
	names := [...]string{"none", "records", "chunk", "behind", "diverged", "busy", "encode", "hold"}
	if int(k) >= len(names) {
		return names[0]
	}
	return names[k]
}

// Answer is the answer to a pull.
type Answer struct {
	Kind    Kind
	Records []Record
	Chunk   snapshot.Chunk
	// Offset is the answering node's offset. Digest is the stream's digest after
	// the last of Records.
	Offset uint64
	Digest Digest
	// Age is how long before the pull's arrival the answering node was last at the
	// log's end, zero if it was there since. It is valid if AgeKnown.
	Age      time.Duration
	AgeKnown bool
	// ContactAge is how long before the answer the log last answered the answering
	// node or the nodes that it pulls through. It is valid if ContactKnown.
	ContactAge   time.Duration
	ContactKnown bool
	// RetryAfter is the pause that Busy requests.
	RetryAfter time.Duration
}

// Served is the state of the answering node from which Reply decides.
type Served struct {
	Feed Feed
	// Snapshot is the last one encoded; its ID is empty if there is none.
	Snapshot snapshot.Snapshot
	Budget   Budget
	// Draw is a random number from 0 to 1 that spreads the retries of refused
	// nodes.
	Draw float64
}

// Reply returns the answer to a pull and the budget left after it. Encode and Hold
// mean that the pull has to wait.
func Reply(now time.Time, p Pull, s Served) (Answer, Budget) {
	a, costBytes := selectAnswer(now, p, s)
	a.Offset = s.Feed.Offset
	a.Age, a.AgeKnown = s.Feed.Age(p.Arrived)
	if a.ContactKnown = !s.Feed.Contact.IsZero(); a.ContactKnown {
		a.ContactAge = max(now.Sub(s.Feed.Contact), 0)
	}
	budget, wait := s.Budget.spend(now, costBytes)
	if wait > 0 {
		a = Answer{Kind: Busy, Offset: a.Offset, RetryAfter: wait + time.Duration(s.Draw*float64(busyRetrySpread))}
	}
	return a, budget
}

// selectAnswer returns the answer's kind and content, and its cost in bytes of the
// budget.
func selectAnswer(now time.Time, p Pull, s Served) (a Answer, costBytes int) {
	r, feed := p.Request, s.Feed
	ownDigest, found := feed.digestAt(r.Offset)
	switch {
	case r.Offset > feed.Offset:
		return Answer{Kind: Behind}, 0
	case r.Snapshot || !found:
		return chunkAnswer(r, s)
	case ownDigest != r.Digest:
		return Answer{Kind: Diverged}, 0
	}
	records, digest := feed.recordsAfter(r.Offset)
	if len(records) > 0 {
		return Answer{Kind: Records, Records: records, Digest: digest}, dataBytes(records)
	}
	if isFresh(p, feed) || !now.Before(p.Deadline) {
		return Answer{Kind: Records, Digest: digest}, 0
	}
	return Answer{Kind: Hold}, 0
}

// isFresh reports whether the pull sets MaxAge and the feed's age satisfies it.
func isFresh(p Pull, f Feed) bool {
	age, known := f.Age(p.Arrived)
	return p.Request.MaxAge > 0 && known && age <= p.Request.MaxAge
}

// WantsTip reports whether an unanswered pull needs a new request for the log's
// newest offset: it sets MaxAge, the feed's age does not satisfy it, and the last
// request is too old for it.
func WantsTip(p Pull, f Feed) bool {
	earliest := p.Arrived.Add(-p.Request.MaxAge)
	return p.Answer == nil && p.Request.MaxAge > 0 && !isFresh(p, f) && f.Tip.At.Before(earliest)
}

// chunkAnswer returns a chunk of the encoded snapshot. It returns Encode if there
// is none, if it is older than the tail, so that no records can follow it, or if it
// is older than the pulling node's position.
func chunkAnswer(r Request, s Served) (Answer, int) {
	encoded := s.Snapshot
	if encoded.ID == "" || encoded.Offset < s.Feed.Base || encoded.Offset < r.Offset {
		return Answer{Kind: Encode}, 0
	}
	index := 0
	if r.Part == encoded.ID && r.Chunk < encoded.Count() {
		index = max(r.Chunk, 0)
	}
	chunk := encoded.Chunk(index)
	return Answer{Kind: Chunk, Chunk: chunk}, len(chunk.Data)
}

func dataBytes(records []Record) (size int) {
	for _, r := range records {
		size += len(r.Data)
	}
	return size
}
