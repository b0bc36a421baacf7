// Package keyed is the front end for callers' requests with an idempotency key.
// It stands before the front end for all requests: it puts the claim of the key
// into a table, waits for the decision, lets the request pass or answers it,
// and reports how the request ended. It decides nothing.
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
	// headerKey carries the key.
	headerKey = "Idempotency-Key"
	// headerReplayed marks an answer that is the first run's.
	headerReplayed = "Idempotency-Replayed"
	// maxBodyBytes bounds the body of a request with a key: it is read whole
	// before the key is claimed, because its digest goes with the claim.
	maxBodyBytes = 64 << 10
	// retryAfter is what a refused caller is told to wait.
	retryAfter = time.Second
)

// Handler serves callers. It is safe for concurrent use.
type Handler struct {
	Tables *tables.Tables
	Clock  clock.Clock
	Config idempotency.Config
	// Idle bounds the pause between the bytes of a body.
	Idle time.Duration
	// Next serves requests without a key, and those whose claim was granted.
	Next http.Handler
	// Count is told the reason of each refusal, and that an answer was replayed.
	Count func(event string, reason verdict.Reason)
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rule, keyed := h.match(r)
	if !keyed {
		h.Next.ServeHTTP(w, r)
		return
	}
	claim, err := h.begin(w, r, rule)
	if err != nil {
		h.refuse(w, verdict.New(verdict.NotRun, reasonOf(err), err))
		return
	}
	claim, err = h.claim(r.Context(), claim)
	switch {
	case err != nil:
		h.end(claim, verdict.NotRun, nil)
		h.Count("refused", verdict.CallerGone)
	case claim.State == idempotency.Held:
		h.run(w, r, claim)
	case claim.State == idempotency.Repeated:
		h.end(claim, verdict.NotRun, nil)
		h.replay(w, claim.Answer)
	default:
		h.end(claim, verdict.NotRun, nil)
		h.refuse(w, claim.Refusal)
	}
}

// match returns the rule of a request whose key counts.
func (h *Handler) match(r *http.Request) (mesh.Rule, bool) {
	routes := h.Tables.Routes.Load()
	if r.Header.Get(headerKey) == "" || routes == nil {
		return mesh.Rule{}, false
	}
	matched, found := routes.Match(r.Host, r.URL.Path)
	return matched.Rule, found && idempotency.Applies(matched.Class)
}

// begin makes the claim. It reads the body, and puts it back for Next.
func (h *Handler) begin(w http.ResponseWriter, r *http.Request, rule mesh.Rule) (idempotency.Claim, error) {
	values := r.Header.Values(headerKey)
	if len(values) != 1 || !idempotency.ValidKey(values[0]) {
		return idempotency.Claim{}, eris.New("malformed idempotency key")
	}
	patient := hop.NewPatientBody(w, r, h.Idle)
	body, err := io.ReadAll(io.LimitReader(patient, maxBodyBytes+1))
	if err != nil {
		return idempotency.Claim{}, eris.Wrap(err, "read body")
	}
	if len(body) > maxBodyBytes {
		return idempotency.Claim{}, eris.Errorf("a request with a key has more than %d bytes", maxBodyBytes)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	r.ContentLength = int64(len(body))
	return idempotency.Claim{
		Attempt: uuid.NewString(),
		Key:     idempotency.NewID(r.Host, values[0]),
		Digest:  idempotency.NewDigest(r.Method, r.Host, r.URL.RequestURI(), body),
		Run:     rule.Deadline(),
		Started: h.Clock.Now(),
	}, nil
}

// reasonOf says why a request could not be begun.
func reasonOf(err error) verdict.Reason {
	if eris.Is(err, hop.ErrSlowSender) {
		return verdict.SlowSender
	}
	return verdict.BadRequest
}

// claim waits for the decision on a claim.
func (h *Handler) claim(ctx context.Context, c idempotency.Claim) (idempotency.Claim, error) {
	t := h.Tables
	h.put(c)
	row, err := t.Claims.Await(ctx, c.Attempt, func(row idempotency.Claim, found bool) bool {
		return found && row.State != idempotency.Wanted
	})
	if err != nil {
		return c, err
	}
	return row, nil
}

// end notes how the attempt ended; a controller tells the key's home.
func (h *Handler) end(c idempotency.Claim, v verdict.Verdict, a *idempotency.Answer) {
	t := h.Tables
	t.Board.Do(func(tx *blackboard.Tx) {
		row, found := t.Claims.Get(tx, c.Attempt)
		if found {
			t.Claims.Put(tx, c.Attempt, row.End(h.Clock.Now(), v, a))
		}
	}, t.Claims.Write())
}

func (h *Handler) put(c idempotency.Claim) {
	t := h.Tables
	t.Board.Do(func(tx *blackboard.Tx) { t.Claims.Put(tx, c.Attempt, c) }, t.Claims.Write())
}

// run lets the request pass and reports how it ended. It goes on when the
// caller leaves, so that a repeat gets the answer.
func (h *Handler) run(w http.ResponseWriter, r *http.Request, c idempotency.Claim) {
	tee := &recorder{ResponseWriter: w, limit: h.Config.MaxAnswerBytes}
	whole := false
	defer func() { h.end(c, tee.verdict(), tee.answer(whole)) }()
	ctx := withGrant(context.WithoutCancel(r.Context()), h, c)
	h.Next.ServeHTTP(tee, r.WithContext(ctx))
	whole = true
}

// replay answers with the first run's answer.
func (h *Handler) replay(w http.ResponseWriter, a *idempotency.Answer) {
	h.Count("replayed", "")
	for i := 0; i+1 < len(a.Headers); i += 2 {
		w.Header().Add(a.Headers[i], a.Headers[i+1])
	}
	w.Header().Set(headerReplayed, "true")
	w.Header().Set(hop.HeaderVerdict, verdict.Ran.String())
	w.WriteHeader(a.Status)
	// A failed write means that the caller is gone.
	_, _ = w.Write(a.Body)
}

func (h *Handler) refuse(w http.ResponseWriter, e *verdict.Error) {
	h.Count("refused", e.Reason)
	r := hop.Refusal{Error: e, RetryAfter: retryAfter}
	if e.Reason == verdict.KeyReused || e.Reason == verdict.BadRequest {
		r.RetryAfter = 0 // the same request will never do
	}
	r.Send(w)
}
