package distribution

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/decide/snapshot"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// PullRequest is the content of a pull. It is comparable.
type PullRequest struct {
	// Host is the pulling node's host and Served the version in force there.
	Host   mesh.HostID
	Served mesh.Version
	// Offset and Digest are the pulling node's position in the stream.
	Offset uint64
	Digest Digest
	// Snapshot is true if the node needs a snapshot instead of records.
	Snapshot bool
	// PartialID is the ID of the snapshot that the node has received in part,
	// NextChunk the index of the next chunk of it.
	PartialID string
	NextChunk int
	// MaxAge requests an answer from a node that was at the log's end at most this
	// long before the pull arrived; zero requests none.
	MaxAge time.Duration
}

// IncomingPull is a pull at the node that answers it.
type IncomingPull struct {
	Request PullRequest
	Arrived time.Time
	// Deadline is when the pull is answered even without records.
	Deadline time.Time
	// Answer is nil until it is decided.
	Answer *PullAnswer
}

// AnswerKind is the kind of an answer. The values are part of the peers' protocol.
type AnswerKind uint8

// The kinds of answer.
const (
	// KindRecords: the answer has the records that follow; none if the pull's
	// deadline passed or the answer confirms the log's end.
	KindRecords AnswerKind = iota + 1
	// KindChunk: the answer has a chunk of a snapshot.
	KindChunk
	// KindBehind: the pulling node has more records than the answering node.
	KindBehind
	// KindDiverged: the nodes have different digests at the pulling node's offset.
	KindDiverged
	// KindBusy: the pulling node has to retry after RetryAfter.
	KindBusy
	// KindEncode: no answer yet, because a snapshot has to be encoded first. It
	// is not sent.
	KindEncode
	// KindHold: no answer yet. It is not sent.
	KindHold
)

// String returns the kind's name in the metrics, and "none" for an unknown kind.
func (k AnswerKind) String() string {
	names := [...]string{"none", "records", "chunk", "behind", "diverged", "busy", "encode", "hold"}
	if int(k) >= len(names) {
		return names[0]
	}
	return names[k]
}

// PullAnswer is the answer to a pull.
type PullAnswer struct {
	Kind    AnswerKind
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
	// RetryAfter is the delay that KindBusy requests.
	RetryAfter time.Duration
}

// ReplyInput is the state of the answering node from which Reply decides.
type ReplyInput struct {
	Feed Feed
	// Snapshot is the last one encoded; its ID is empty if there is none.
	Snapshot snapshot.Snapshot
	Budget   Budget
	// Draw is a random number from 0 to 1 that spreads the retries of refused
	// nodes.
	Draw float64
}

// Reply returns the answer to a pull and the budget left after it. KindEncode and
// KindHold mean that the pull has to wait.
func Reply(now time.Time, p IncomingPull, in ReplyInput) (PullAnswer, Budget) {
	a, costBytes := selectAnswer(now, p, in)
	a.Offset = in.Feed.Offset
	a.Age, a.AgeKnown = in.Feed.Age(p.Arrived)
	if a.ContactKnown = !in.Feed.LogContactAt.IsZero(); a.ContactKnown {
		a.ContactAge = max(now.Sub(in.Feed.LogContactAt), 0)
	}
	budget, wait := in.Budget.spend(now, costBytes)
	if wait > 0 {
		a = PullAnswer{Kind: KindBusy, Offset: a.Offset, RetryAfter: wait + time.Duration(in.Draw*float64(busyRetrySpread))}
	}
	return a, budget
}

// selectAnswer returns the answer's kind and content, and its cost in bytes of the
// budget.
func selectAnswer(now time.Time, p IncomingPull, in ReplyInput) (a PullAnswer, costBytes int) {
	r, feed := p.Request, in.Feed
	ownDigest, found := feed.digestAt(r.Offset)
	switch {
	case r.Offset > feed.Offset:
		return PullAnswer{Kind: KindBehind}, 0
	case r.Snapshot || !found:
		return chunkAnswer(r, in)
	case ownDigest != r.Digest:
		return PullAnswer{Kind: KindDiverged}, 0
	}
	records, digest := feed.recordsAfter(r.Offset)
	if len(records) > 0 {
		return PullAnswer{Kind: KindRecords, Records: records, Digest: digest}, dataBytes(records)
	}
	if isFresh(p, feed) || !now.Before(p.Deadline) {
		return PullAnswer{Kind: KindRecords, Digest: digest}, 0
	}
	return PullAnswer{Kind: KindHold}, 0
}

// isFresh reports whether the pull sets MaxAge and the feed's age satisfies it.
func isFresh(p IncomingPull, f Feed) bool {
	age, known := f.Age(p.Arrived)
	return p.Request.MaxAge > 0 && known && age <= p.Request.MaxAge
}

// NeedsTip reports whether an unanswered pull needs a new request for the log's
// newest offset: it sets MaxAge, the feed's age does not satisfy it, and the last
// request is too old for it.
func NeedsTip(p IncomingPull, f Feed) bool {
	earliest := p.Arrived.Add(-p.Request.MaxAge)
	return p.Answer == nil && p.Request.MaxAge > 0 && !isFresh(p, f) && f.Tip.At.Before(earliest)
}

// chunkAnswer returns a chunk of the encoded snapshot. It returns KindEncode if
// there is none, if it is older than the tail, so that no records can follow it,
// or if it is older than the pulling node's position.
func chunkAnswer(r PullRequest, in ReplyInput) (PullAnswer, int) {
	encoded := in.Snapshot
	if encoded.ID == "" || encoded.Offset < in.Feed.TailBase || encoded.Offset < r.Offset {
		return PullAnswer{Kind: KindEncode}, 0
	}
	index := 0
	if r.PartialID == encoded.ID && r.NextChunk < encoded.Count() {
		index = max(r.NextChunk, 0)
	}
	chunk := encoded.Chunk(index)
	return PullAnswer{Kind: KindChunk, Chunk: chunk}, len(chunk.Data)
}

func dataBytes(records []Record) (size int) {
	for _, r := range records {
		size += len(r.Data)
	}
	return size
}
