// Package verdict classifies failed requests by whether a backend server has
// possibly run them. The verdict determines whether a retry is allowed and what
// the response tells the caller, so every error on the request path carries one.
package verdict

// Verdict is what is known about the execution of one request.
type Verdict uint8

// The verdicts, from the safest to retry to the least safe.
const (
	// NotRun: no backend server has started the request, and none will.
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

// Parse reads the form that String writes. Any other text, including an absent
// header, yields MayHaveRun, the safe assumption.
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

// Reason names why a request was refused, failed or retried. Metrics count
// requests by reason.
type Reason string

// The reasons that a request is refused, failed or retried.
const (
	NoConfiguration       Reason = "no_configuration"   // the node has no configuration version yet
	ConfigurationRejected Reason = "config_rejected"    // the node has no version in force and cannot use the newest one
	RouteUnreadable       Reason = "route_unreadable"   // the route's entry in the configuration cannot be read
	NoRoute               Reason = "no_route"           // no rule matches host name and path
	UnknownKey            Reason = "unknown_key"        // the request has no key of a client account
	OverQuota             Reason = "over_quota"         // the client account has used up its quota
	QuotaUnavailable      Reason = "quota_unavailable"  // no node that grants tokens of the account's quota answered
	NoBackend             Reason = "no_backend"         // no live backend server for the service
	Draining              Reason = "draining"           // the backend server or the node is draining
	QueueFull             Reason = "queue_full"         // the admission queue is at its limit
	DeadlineTooShort      Reason = "deadline_too_short" // the request could not finish before its deadline
	DeadlineExceeded      Reason = "deadline_exceeded"  // the deadline passed
	Shed                  Reason = "shed"               // overload: requests of the class are shed
	ConnectFailed         Reason = "connect_failed"     // no connection to the next hop
	TransportFailed       Reason = "transport_failed"   // the connection broke during the request
	NotAdmitted           Reason = "not_admitted"       // the receiving node did not admit the request in time
	BackendShed           Reason = "backend_shed"       // the backend server itself refused
	BadRequest            Reason = "bad_request"        // malformed or oversized
	CallerCanceled        Reason = "caller_gone"        // the caller canceled the request
	KeyReused             Reason = "key_reused"         // the key belongs to a different request
	KeyOutcomeUnknown     Reason = "key_unknown"        // an earlier run with the key cannot be ruled out
	KeyInFlight           Reason = "key_in_flight"      // the first run with the key has not ended
	KeyPrimaryUnreachable Reason = "key_home_unreached" // the primary of the key's shard is unreachable, or its grant expired
	RetryBudget           Reason = "retry_budget"       // the service's retry budget is used up
	WrongHost             Reason = "wrong_host"         // the receiver does not serve the target backend server
	VersionFloorUnknown   Reason = "floor_unknown"      // the lowest version that the node is allowed to serve is not known yet
	SlowSender            Reason = "slow_sender"        // the caller stopped sending the request body
	ResponseTruncated     Reason = "response_truncated" // the response was cut short
	ClientMemory          Reason = "client_memory"      // clients hold all the memory that the node has for them
)

// More reasons that a request with an idempotency key is refused.
const (
	KeyResponseNotStored Reason = "key_answer_not_kept" // an earlier run completed; its response is not stored
	KeyTableFull         Reason = "keys_full"           // the key table has reached its maximum size
)

// Error is a failed request: what is known about its execution, and why it
// failed.
type Error struct {
	Verdict Verdict
	Reason  Reason
	cause   error
}

// New returns an Error; cause can be nil.
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

// Unwrap returns the cause, or nil if there is none.
func (e *Error) Unwrap() error { return e.cause }
