package caller

import (
	"net/http"

	"github.com/marigoldshelf/marigoldshelf/decide/call"
	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
)

// writeRefusal responds to the caller with the refusal of a step and counts it.
func (h *Handler) writeRefusal(w http.ResponseWriter, s call.Step) {
	h.Count(EventRefused, s.Refusal.Reason)
	h.Dialect.WriteRefusal(w, hop.Refusal{Error: s.Refusal, RetryAfter: s.RetryAfter, RetriesExhausted: s.RetriesExhausted})
}
