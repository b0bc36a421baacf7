package idempotency

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// StoredResponse is the HTTP response of a completed run, stored for repeated
// requests.
type StoredResponse struct {
	Status int
	// Headers has the header fields as alternating names and values.
	Headers []string
	Body    []byte
}

// Size returns the size of the headers and the body in bytes; zero for nil.
func (r *StoredResponse) Size() int {
	if r == nil {
		return 0
	}
	size := len(r.Body)
	for _, text := range r.Headers {
		size += len(text)
	}
	return size
}

// State is what is known about the run of a key's attempt.
type State uint8

// The states of a key.
const (
	// Claimed: a grant was, or can have been, given to an attempt that has not
	// ended.
	Claimed State = iota + 1
	// Ran: the attempt ran; Entry.Response is its response, if stored.
	Ran
	// Released: the attempt did not run and never will.
	Released
	// MayHaveRun: the attempt ended, and it is unknown whether it ran.
	MayHaveRun
)

// Revision orders the states of a key: by epoch, and within an epoch by number.
type Revision struct {
	Epoch  uint64
	Number uint64
}

// After reports whether r is later than o.
func (r Revision) After(o Revision) bool {
	return r.Epoch > o.Epoch || r.Epoch == o.Epoch && r.Number > o.Number
}

// Entry is a holder's row for a key.
type Entry struct {
	Attempt  string
	Digest   Digest
	State    State
	Revision Revision
	// RunDeadline is the end of a claimed attempt's RunTimeout. From then on the
	// outcome of an attempt that has not been reported is unknown.
	RunDeadline time.Time
	// ExpiresAt is when the entry can be deleted.
	ExpiresAt time.Time
	// Response is the response of the run; nil if it is not stored.
	Response *StoredResponse
}

// Status is the result of a claim at the primary.
type Status uint8

// The results of a claim.
const (
	// NotPrimary: the node cannot decide for the key now; another node possibly
	// can.
	NotPrimary Status = iota
	// Granted: the attempt is allowed to run.
	Granted
	// Replay: an earlier run completed; Reply.Response is its response.
	Replay
	// ResponseNotStored: an earlier run completed; its response is not stored.
	ResponseNotStored
	// InFlight: the first attempt has not ended.
	InFlight
	// OutcomeUnknown: an earlier run cannot be ruled out.
	OutcomeUnknown
	// KeyReused: the key belongs to a different request.
	KeyReused
	// KeyTableFull: the primary's node stores Config.MaxKeys keys already.
	KeyTableFull
)

// Reply is the primary's reply to a claim.
type Reply struct {
	Status Status
	// Response is set if Status is Replay.
	Response *StoredResponse
}

// ClaimRequest claims a key at the primary of its shard.
type ClaimRequest struct {
	Key     KeyID
	Digest  Digest
	Attempt string
	// To is the holder that the message is meant for.
	To Holder
	// RunTimeout is the maximum duration of the attempt.
	RunTimeout time.Duration
}

// EndReport reports the end of an attempt to the primary of the key's shard.
type EndReport struct {
	Key     KeyID
	Digest  Digest
	Attempt string
	// To is the holder that the message is meant for.
	To Holder
	// Verdict is NotRun only if the attempt never runs.
	Verdict verdict.Verdict
	// Response is the attempt's response; nil if it is not stored.
	Response *StoredResponse
}

// replyToClaim returns the reply to a claim of a key that has an entry. If the
// result is true, the key is free and the attempt can claim it instead.
func (e Entry) replyToClaim(now time.Time, r ClaimRequest) (Reply, bool) {
	switch {
	case e.State == Released:
		// A delayed message must not claim the key again for the attempt that
		// has ended.
		return Reply{Status: NotPrimary}, e.Attempt != r.Attempt
	case e.Digest != r.Digest:
		return Reply{Status: KeyReused}, false
	case e.State == Ran && e.Response != nil:
		return Reply{Status: Replay, Response: e.Response}, false
	case e.State == Ran:
		return Reply{Status: ResponseNotStored}, false
	case e.State == MayHaveRun || !now.Before(e.RunDeadline):
		return Reply{Status: OutcomeUnknown}, false
	}
	return Reply{Status: InFlight}, false
}

// withEnd returns the entry after the end of an attempt was reported, and
// whether that changed it. A report of another attempt has no effect, and the
// final states Ran and Released are not replaced.
func (e Entry) withEnd(r EndReport) (Entry, bool) {
	if e.Attempt != r.Attempt || e.State == Ran || e.State == Released {
		return e, false
	}
	switch r.Verdict {
	case verdict.Ran:
		e.State = Ran
		e.Response = r.Response
	case verdict.NotRun:
		e.State = Released
	default:
		e.State = MayHaveRun
	}
	return e, true
}
