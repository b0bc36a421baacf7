package idempotency

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// Answer is the answer of a first run, kept for repeats.
type Answer struct {
	Status int
	// Headers are the header lines, name and value in turn.
	Headers []string
	Body    []byte
}

// Size returns the bytes that an answer takes.
func (a *Answer) Size() int {
	if a == nil {
		return 0
	}
	size := len(a.Body)
	for _, line := range a.Headers {
		size += len(line)
	}
	return size
}

// State is what is known of the run under a key.
type State uint8

// The states of a key.
const (
	// Claimed: an attempt was granted, or may have been, and has not ended.
	Claimed State = iota + 1
	// Ran: the attempt ran; its answer may be kept.
	Ran
	// Released: the attempt did not run, nor ever will.
	Released
	// MayHaveRun: the attempt ended, and nobody knows how.
	MayHaveRun
)

// Stamp orders the states of a key: those of a later epoch come after, and
// within an epoch those with a higher number.
type Stamp struct {
	Epoch  uint64
	Number uint64
}

// After reports whether s is later than o.
func (s Stamp) After(o Stamp) bool {
	return s.Epoch > o.Epoch || s.Epoch == o.Epoch && s.Number > o.Number
}

// Entry is what a holder remembers of a key.
type Entry struct {
	Attempt string
	Digest  Digest
	State   State
	Stamp   Stamp
	// RunEnds is when a claimed attempt has run out of time.
	RunEnds time.Time
	// Expires is when the entry leaves the window.
	Expires time.Time
	// Answer is the first run's; nil when it is not kept.
	Answer *Answer
}

// Status is a home's answer to a claim.
type Status uint8

// The answers to a claim.
const (
	// NotHome: the node cannot speak for the key now; another may.
	NotHome Status = iota
	// Granted: the attempt may run.
	Granted
	// Answered: the first run's answer is Reply.Answer.
	Answered
	// AnswerNotKept: the first run ran; its answer is not kept.
	AnswerNotKept
	// InFlight: the first attempt has not ended.
	InFlight
	// Unknown: an earlier run cannot be excluded.
	Unknown
	// Reused: the key belongs to another request.
	Reused
	// Full: the home cannot remember another key.
	Full
)

// Reply is a home's answer to a claim.
type Reply struct {
	Status Status
	Answer *Answer
}

// ClaimRequest asks a shard's primary for a key.
type ClaimRequest struct {
	Key     ID
	Digest  Digest
	Attempt string
	// To is the life of the node asked.
	To Holder
	// Run is the time that the attempt may take.
	Run time.Duration
}

// EndReport tells a shard's primary how an attempt ended.
type EndReport struct {
	Key     ID
	Digest  Digest
	Attempt string
	To      Holder
	// Verdict is NotRun only if the attempt never runs.
	Verdict verdict.Verdict
	Answer  *Answer
}

// repeat returns the reply to a claim for a key that is known, and whether the
// attempt may take it.
func (e Entry) repeat(now time.Time, r ClaimRequest) (Reply, bool) {
	switch {
	case e.State == Released:
		// The attempt that ended must not come back by a late message.
		return Reply{Status: NotHome}, e.Attempt != r.Attempt
	case e.Digest != r.Digest:
		return Reply{Status: Reused}, false
	case e.State == Ran && e.Answer != nil:
		return Reply{Status: Answered, Answer: e.Answer}, false
	case e.State == Ran:
		return Reply{Status: AnswerNotKept}, false
	case e.State == MayHaveRun || !now.Before(e.RunEnds):
		return Reply{Status: Unknown}, false
	}
	return Reply{Status: InFlight}, false
}

// ended returns the entry after its attempt ended. A report of another attempt
// changes nothing, and what is known for certain is not replaced.
func (e Entry) ended(r EndReport) (Entry, bool) {
	if e.Attempt != r.Attempt || e.State == Ran || e.State == Released {
		return e, false
	}
	switch r.Verdict {
	case verdict.Ran:
		e.State = Ran
		e.Answer = r.Answer
	case verdict.NotRun:
		e.State = Released
	default:
		e.State = MayHaveRun
	}
	return e, true
}
