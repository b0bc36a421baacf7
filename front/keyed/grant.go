package keyed

import (
	"context"
	"net/http"

	"github.com/marigoldshelf/marigoldshelf/decide/idempotency"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// grantKey is the context key of a grant.
type grantKey struct{}

// grant is a claim that was granted to the request of a context.
type grant struct {
	handler *Handler
	claim   idempotency.Claim
}

func withGrant(ctx context.Context, h *Handler, c idempotency.Claim) context.Context {
	return context.WithValue(ctx, grantKey{}, grant{handler: h, claim: c})
}

// CheckSend returns why a caller's request must not be sent to a backend
// server now: its class needs a claim for its key, and it has none that is
// still good. It is asked right before each sending.
func CheckSend(r *http.Request, class mesh.Class) *verdict.Error {
	if r.Header.Get(headerKey) == "" || !idempotency.Applies(class) {
		return nil
	}
	g, granted := r.Context().Value(grantKey{}).(grant)
	if granted && g.claim.Usable(g.handler.Clock.Now(), g.handler.Config) {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.KeyHomeUnreached, nil)
}
