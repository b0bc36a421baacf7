package keyed

import (
	"context"
	"net/http"

	"github.com/marigoldshelf/marigoldshelf/decide/idempotency"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// grantContextKey is the context key of a grant.
type grantContextKey struct{}

// grant is the granted claim of the request that a context belongs to.
type grant struct {
	handler *Handler
	claim   idempotency.Claim
}

func withGrant(ctx context.Context, h *Handler, c idempotency.Claim) context.Context {
	return context.WithValue(ctx, grantContextKey{}, grant{handler: h, claim: c})
}

// CheckSend returns nil if a caller's request can be sent to a backend server
// now. It returns an error if the request's class requires a claim of its
// idempotency key and the request has none or its grant has expired. Call it
// right before each attempt.
func CheckSend(r *http.Request, class mesh.Class) *verdict.Error {
	if r.Header.Get(headerKey) == "" || !idempotency.SupportsClass(class) {
		return nil
	}
	g, granted := r.Context().Value(grantContextKey{}).(grant)
	if granted && g.claim.Usable(g.handler.Clock.Now(), g.handler.Config) {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.KeyPrimaryUnreachable, nil)
}
