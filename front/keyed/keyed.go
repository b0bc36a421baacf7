// Package keyed is the front end for callers' requests with an idempotency key.
// Its Handler wraps the handler of all callers' requests: it writes a claim of
// the key into the table Claims, waits for the controller's decision, passes the
// request on, replays the stored response or refuses, and writes how the request
// ended. It makes no decisions.
package keyed

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/decide/idempotency"
	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

const (
	// headerKey is the request header with the key.
	headerKey = "Idempotency-Key"
	// headerReplayed marks a response that repeats the response of the first run.
	headerReplayed = "Idempotency-Replayed"
	// maxBodyBytes limits the body of a request with a key. The body is buffered
	// whole before the key is claimed, because the claim includes its digest.
	maxBodyBytes = 64 << 10
	// retryAfter is the Retry-After of refusals after which a retry can succeed.
	retryAfter = time.Second
)

// Handler serves callers. It is safe for concurrent use.
type Handler struct {
	Tables *tables.Tables
	Clock  clock.Clock
	Config idempotency.Config
	// IdleTimeout limits the time between the bytes of a request body.
	IdleTimeout time.Duration
	// Next serves requests without a key and requests whose claim was granted.
	Next http.Handler
	// Count increments the counter of an event ("refused" or "replayed") and
	// reason. A replay has no reason.
	Count func(event string, reason verdict.Reason)
}

// BufferedBytes returns the length of the part of a request's body that the Handler, or
// that of package caller behind it, buffers before the request is sent on.
func BufferedBytes(r *http.Request) int64 {
	if r.ContentLength > maxBodyBytes && r.Header.Get(headerKey) == "" {
		return 0
	}
	return maxBodyBytes
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rule, keyed := h.matchRule(r)
	if !keyed {
		h.Next.ServeHTTP(w, r)
		return
	}
	claim, err := h.newClaim(w, r, rule)
	if err != nil {
		h.writeRefusal(w, verdict.New(verdict.NotRun, refusalReason(err), err))
		return
	}
	claim, err = h.awaitDecision(r.Context(), claim)
	switch {
	case err != nil:
		h.endClaim(claim, verdict.NotRun, nil)
		h.Count("refused", verdict.CallerCanceled)
	case claim.State == idempotency.ClaimGranted:
		h.serveGranted(w, r, claim)
	case claim.State == idempotency.ClaimReplayed:
		h.endClaim(claim, verdict.NotRun, nil)
		h.writeReplay(w, claim.Response)
	default:
		h.endClaim(claim, verdict.NotRun, nil)
		h.writeRefusal(w, claim.Refusal)
	}
}

// matchRule returns the rule of a request and whether the request has a key and
// the rule's class supports keys.
func (h *Handler) matchRule(r *http.Request) (mesh.Rule, bool) {
	routes := h.Tables.Routes.Load()
	if r.Header.Get(headerKey) == "" || routes == nil {
		return mesh.Rule{}, false
	}
	matched, found := routes.Match(r.Host, hop.ReceivedPath(r))
	return matched.Rule, found && idempotency.SupportsClass(matched.Class)
}

// newClaim returns the claim of a request. It reads the body and replaces r.Body
// with the buffered bytes for Next.
func (h *Handler) newClaim(w http.ResponseWriter, r *http.Request, rule mesh.Rule) (idempotency.Claim, error) {
	values := r.Header.Values(headerKey)
	if len(values) != 1 || !idempotency.ValidKey(values[0]) {
		return idempotency.Claim{}, eris.New("malformed idempotency key")
	}
	reader := hop.NewIdleTimeoutBody(w, r, h.IdleTimeout)
	body, err := io.ReadAll(io.LimitReader(reader, maxBodyBytes+1))
	if err != nil {
		return idempotency.Claim{}, eris.Wrap(err, "read body of request with idempotency key")
	}
	if len(body) > maxBodyBytes {
		return idempotency.Claim{}, eris.Errorf("body of request with idempotency key exceeds %d bytes", maxBodyBytes)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	r.ContentLength = int64(len(body))
	return idempotency.Claim{
		Attempt:    uuid.NewString(),
		Key:        idempotency.NewKeyID(r.Host, values[0]),
		Digest:     idempotency.NewDigest(r.Method, r.Host, r.URL.RequestURI(), body),
		RunTimeout: rule.Deadline(),
		Started:    h.Clock.Now(),
	}, nil
}

// refusalReason returns the reason of a refusal for an error of newClaim.
func refusalReason(err error) verdict.Reason {
	if eris.Is(err, hop.ErrSlowSender) {
		return verdict.SlowSender
	}
	return verdict.BadRequest
}

// awaitDecision adds a claim to the table Claims and waits for the decision on
// it.
func (h *Handler) awaitDecision(ctx context.Context, c idempotency.Claim) (idempotency.Claim, error) {
	t := h.Tables
	h.putClaim(c)
	row, err := t.Claims.Await(ctx, c.Attempt, func(row idempotency.Claim, found bool) bool {
		return found && row.State != idempotency.ClaimPending
	})
	if err != nil {
		return c, err
	}
	return row, nil
}

// endClaim writes how the attempt ended. The controller keyclaim reports it to
// the primary node of the key.
func (h *Handler) endClaim(c idempotency.Claim, v verdict.Verdict, response *idempotency.StoredResponse) {
	t := h.Tables
	t.Board.Do(func(tx *blackboard.Tx) {
		row, found := t.Claims.Get(tx, c.Attempt)
		if found {
			t.Claims.Put(tx, c.Attempt, row.WithEnd(h.Clock.Now(), v, response))
		}
	}, t.Claims.Write())
}

func (h *Handler) putClaim(c idempotency.Claim) {
	t := h.Tables
	t.Board.Do(func(tx *blackboard.Tx) { t.Claims.Put(tx, c.Attempt, c) }, t.Claims.Write())
}

// serveGranted passes the request to Next and ends the claim with the response.
// The request continues when the caller disconnects, so that a repeated request
// gets the response.
func (h *Handler) serveGranted(w http.ResponseWriter, r *http.Request, c idempotency.Claim) {
	recorder := &responseRecorder{ResponseWriter: w, maxBytes: h.Config.MaxResponseBytes}
	complete := false
	defer func() { h.endClaim(c, recorder.verdict(), recorder.storedResponse(complete)) }()
	ctx := withGrant(context.WithoutCancel(r.Context()), h, c)
	h.Next.ServeHTTP(recorder, r.WithContext(ctx))
	complete = true
}

// writeReplay sends the stored response of the first run.
func (h *Handler) writeReplay(w http.ResponseWriter, stored *idempotency.StoredResponse) {
	h.Count("replayed", "")
	for i := 0; i+1 < len(stored.Headers); i += 2 {
		w.Header().Add(stored.Headers[i], stored.Headers[i+1])
	}
	w.Header().Set(headerReplayed, "true")
	w.Header().Set(hop.HeaderVerdict, verdict.Ran.String())
	w.WriteHeader(stored.Status)
	// A write fails only if the caller has disconnected.
	_, _ = w.Write(stored.Body)
}

func (h *Handler) writeRefusal(w http.ResponseWriter, e *verdict.Error) {
	h.Count("refused", e.Reason)
	r := hop.Refusal{Error: e, RetryAfter: retryAfter}
	if e.Reason == verdict.KeyReused || e.Reason == verdict.BadRequest {
		r.RetryAfter = 0 // the same request cannot succeed later
	}
	r.Send(w)
}
