package hop

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// Refusal is the error response to a caller whose request failed.
type Refusal struct {
	Error *verdict.Error
	// RetryAfter is how long the caller waits before a retry; zero for no value.
	RetryAfter time.Duration
	// RetriesExhausted marks a failure that was already retried, so that no
	// caller upstream retries it again.
	RetriesExhausted bool
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Verdict string `json:"verdict"`
	Reason  string `json:"reason"`
}

// Send writes the response to the caller.
func (r Refusal) Send(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	r.writeHeaders(w.Header())
	w.WriteHeader(refusalStatus(r.Error))
	body := refusalBody{Verdict: r.Error.Verdict.String(), Reason: string(r.Error.Reason)}
	// A failed write means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

// writeHeaders sets the headers. Retry-After is in seconds, rounded up.
func (r Refusal) writeHeaders(h http.Header) {
	h.Set(HeaderVerdict, r.Error.Verdict.String())
	h.Set(HeaderReason, string(r.Error.Reason))
	if r.RetriesExhausted {
		h.Set(headerRetriesExhausted, "1")
	}
	if r.RetryAfter > 0 {
		seconds := (r.RetryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
		h.Set(headerRetryAfter, formatMillis(r.RetryAfter))
	}
}

// refusalStatus returns the HTTP status for a failure.
func refusalStatus(e *verdict.Error) int {
	switch e.Reason {
	case verdict.NoRoute:
		return http.StatusNotFound
	case verdict.BadRequest:
		return http.StatusBadRequest
	case verdict.SlowSender:
		return http.StatusRequestTimeout
	case verdict.KeyReused:
		return http.StatusUnprocessableEntity
	case verdict.KeyInFlight, verdict.KeyResponseNotStored:
		return http.StatusConflict
	case verdict.KeyOutcomeUnknown, verdict.KeyPrimaryUnreachable:
		// This attempt did not run, even if an earlier one did.
		return http.StatusServiceUnavailable
	case verdict.DeadlineExceeded, verdict.DeadlineTooShort:
		return http.StatusGatewayTimeout
	}
	if e.Verdict == verdict.MayHaveRun {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}
