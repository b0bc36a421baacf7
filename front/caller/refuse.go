package caller

import (
	"encoding/json"
	"net/http"

	"github.com/marigoldshelf/marigoldshelf/decide/call"
	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// refusalBody is the answer to a request that failed.
type refusalBody struct {
	Verdict string `json:"verdict"`
	Reason  string `json:"reason"`
}

func (h *Handler) refuse(w http.ResponseWriter, s call.Step) {
	e := s.Refusal
	h.Count(Refused, e.Reason)
	w.Header().Set("Content-Type", "application/json")
	hop.WriteRefusal(w.Header(), e, s.RetryAfter, s.Exhausted)
	w.WriteHeader(statusOf(e))
	// A failed write means that the caller is gone.
	_ = json.NewEncoder(w).Encode(refusalBody{Verdict: e.Verdict.String(), Reason: string(e.Reason)})
}

// statusOf returns the HTTP status for a refusal.
func statusOf(e *verdict.Error) int {
	switch e.Reason {
	case verdict.NoRoute:
		return http.StatusNotFound
	case verdict.BadRequest:
		return http.StatusBadRequest
	case verdict.SlowSender:
		return http.StatusRequestTimeout
	case verdict.KeyReused:
		return http.StatusUnprocessableEntity
	case verdict.DeadlineExceeded, verdict.DeadlineTooShort:
		return http.StatusGatewayTimeout
	}
	if e.Verdict == verdict.MayHaveRun {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}
