// Package verdict says, for every failed request, whether it may have run on
// a backend server. The verdict decides whether a retry is allowed and what
// the caller is told, so it goes with every error on the request path.
package verdict

// Verdict is what is known about the execution of one request.
type Verdict uint8

// The verdicts, from the safest to retry to the least safe.
const (
	// NotRun: no backend server has started the request, nor ever will.
	NotRun Verdict = iota + 1
	// MayHaveRun: it is unknown whether a backend server ran the request.
	MayHaveRun
	// Ran: a backend server answered the request.
	Ran
)

// String returns the form used in headers and logs.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case MayHaveRun:
		return "may-have-run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// Parse reads the form that String writes. Anything else, an absent header
// included, is MayHaveRun: the cautious reading.
func Parse(text string) Verdict {
	switch text {
	case "not-run":
		return NotRun
	case "ran":
		return Ran
	default:
		return MayHaveRun
	}
}

// Reason names why a request was refused or retried. Each has a counter.
type Reason string

// The reasons that a request is refused, failed or retried.
const (
	NoConfiguration   Reason = "no_configuration"   // the node has no version yet
	NoRoute           Reason = "no_route"           // no rule matches host name and path
	NoBackend         Reason = "no_backend"         // no live backend server for the service
	Draining          Reason = "draining"           // the backend server is leaving
	QueueFull         Reason = "queue_full"         // the admission queue is at its bound
	DeadlineTooShort  Reason = "deadline_too_short" // it could not finish in time
	DeadlineExceeded  Reason = "deadline_exceeded"  // time ran out
	Shed              Reason = "shed"               // overload: the class gives way
	ConnectFailed     Reason = "connect_failed"     // no connection to the next hop
	TransportFailed   Reason = "transport_failed"   // the connection broke under way
	BackendShed       Reason = "backend_shed"       // the backend server itself refused
	BadRequest        Reason = "bad_request"        // malformed or oversized
	CallerGone        Reason = "caller_gone"        // the caller cancelled
	KeyReused         Reason = "key_reused"         // same key, another request
	KeyUnknown        Reason = "key_unknown"        // an earlier run under the key cannot be excluded
	KeyInFlight       Reason = "key_in_flight"      // the first run under the key has not ended
	KeyHomeUnreached  Reason = "key_home_unreached" // the keeper of the key cannot be reached
	RetryBudget       Reason = "retry_budget"       // the service's retry budget is used up
	WrongHost         Reason = "wrong_host"         // the receiver does not hold that backend server
	FloorUnknown      Reason = "floor_unknown"      // the lowest version allowed is not known yet
	SlowSender        Reason = "slow_sender"        // the caller's bytes stopped coming
	ResponseTruncated Reason = "response_truncated" // the answer was cut short
)

// More reasons that a request with an idempotency key is refused.
const (
	KeyAnswerNotKept Reason = "key_answer_not_kept" // it ran before; its answer is not kept
	KeysFull         Reason = "keys_full"           // no room to remember another key
)

// Error is a failure of a request: what is known of its execution, and why.
type Error struct {
	Verdict Verdict
	Reason  Reason
	cause   error
}

// New returns an Error; cause may be nil.
func New(v Verdict, r Reason, cause error) *Error {
	return &Error{Verdict: v, Reason: r, cause: cause}
}

// Error returns verdict, reason and cause on one line.
func (e *Error) Error() string {
	text := e.Verdict.String() + ": " + string(e.Reason)
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the cause, which may be nil.
func (e *Error) Unwrap() error { return e.cause }
