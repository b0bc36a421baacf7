package caller

import (
	"net/http"

	"github.com/marigoldshelf/marigoldshelf/decide/call"
	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
)

func (h *Handler) refuse(w http.ResponseWriter, s call.Step) {
	h.Count(Refused, s.Refusal.Reason)
	h.Dialect.Refuse(w, hop.Refusal{Error: s.Refusal, RetryAfter: s.RetryAfter, Exhausted: s.Exhausted})
}
