package caller

import (
	"net/http"

	"github.com/marigoldshelf/marigoldshelf/decide/call"
	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
)

// writeRefusal responds to the caller with the refusal of a step and counts it.
func (h *Handler) writeRefusal(w http.ResponseWriter, s call.Step) {
	h.Count(Refused, s.Refusal.Reason)
	h.Dialect.Refuse(w, hop.Refusal{Error: s.Refusal, RetryAfter: s.RetryAfter, Exhausted: s.Exhausted})
}
