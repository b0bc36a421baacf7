// Package caller is the front end for callers, over net/http. It moves bytes:
// it puts each request into the table Calls, does the steps that the
// controller writes there, and reports what came of them.
package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/decide/call"
	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// Handler serves callers. It is safe for concurrent use.
type Handler struct {
	Tables *tables.Tables
	Clock  clock.Clock
	// Peers carries requests to other nodes. It must not follow proxies, and
	// must wait for 100 Continue without a limit of its own.
	Peers http.RoundTripper
	// CheckSend says why a request must not be sent to a backend server now;
	// nil when it may.
	CheckSend func(*http.Request, mesh.Class) *verdict.Error
	// Count is told the reason of each failed attempt and of each refusal.
	Count func(event Event, reason verdict.Reason)
}

// Event is what Handler.Count counts.
type Event string

// The events.
const (
	Refused       Event = "refused"
	AttemptFailed Event = "attempt_failed"
)

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x, err := h.begin(r)
	if err != nil {
		h.refuse(w, verdict.New(verdict.NotRun, verdict.BadRequest, err))
		return
	}
	h.put(x.call)
	defer h.forget(x.call.Request.ID)
	h.run(w, r, x)
}

// exchange is one request while it is served.
type exchange struct {
	call   call.Call
	body   *body
	answer *http.Response // of the last attempt; nil when it failed
}

func (h *Handler) begin(r *http.Request) (*exchange, error) {
	now := h.Clock.Now()
	timeout, err := hop.ReadTimeout(r.Header)
	if err != nil {
		return nil, err
	}
	b, err := newBody(r)
	if err != nil {
		return nil, err
	}
	request := call.Request{ID: uuid.NewString(), HostName: r.Host, Path: r.URL.Path, Arrived: now}
	if timeout > 0 {
		request.Deadline = now.Add(timeout)
	}
	return &exchange{call: call.Call{Request: request}, body: b}, nil
}

// run does the steps of the call until one of them ends it.
func (h *Handler) run(w http.ResponseWriter, r *http.Request, x *exchange) {
	for {
		next, err := h.nextStep(r.Context(), x.call)
		if err != nil {
			h.Count(Refused, verdict.CallerGone)
			return
		}
		x.call = next
		switch next.Step.Kind {
		case call.Send:
			h.attempt(r, x)
		case call.Answer:
			h.passOn(w, x)
			return
		case call.Refuse:
			h.refuse(w, next.Step.Refusal)
			return
		}
	}
}

// nextStep waits for the step after the one that c shows.
func (h *Handler) nextStep(ctx context.Context, c call.Call) (call.Call, error) {
	return h.Tables.Calls.Await(ctx, c.Request.ID, func(row call.Call, found bool) bool {
		return found && row.Step.Number > c.Step.Number
	})
}

// attempt sends the request once and reports the outcome.
func (h *Handler) attempt(r *http.Request, x *exchange) {
	answer, failure := h.forward(r, x)
	x.answer = answer
	outcome := call.Outcome{Verdict: verdict.Ran, Replayable: x.body.replayable()}
	if failure != nil {
		h.Count(AttemptFailed, failure.Reason)
		outcome.Verdict = failure.Verdict
		outcome.Reason = failure.Reason
	}
	h.put(x.call.WithOutcome(outcome))
}

// passOn streams the backend server's answer to the caller. One that is cut
// short ends the caller's connection, so that it cannot be taken for whole.
func (h *Handler) passOn(w http.ResponseWriter, x *exchange) {
	defer x.answer.Body.Close()
	hop.CopyHeaders(w.Header(), x.answer.Header)
	w.Header().Set(hop.HeaderVerdict, verdict.Ran.String())
	w.WriteHeader(x.answer.StatusCode)
	if err := hop.CopyBody(w, x.answer.Body); err != nil {
		h.Count(Refused, verdict.ResponseTruncated)
		panic(http.ErrAbortHandler)
	}
}

// refusalBody is the answer to a request that failed.
type refusalBody struct {
	Verdict string `json:"verdict"`
	Reason  string `json:"reason"`
}

func (h *Handler) refuse(w http.ResponseWriter, e *verdict.Error) {
	h.Count(Refused, e.Reason)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(hop.HeaderVerdict, e.Verdict.String())
	w.Header().Set(hop.HeaderReason, string(e.Reason))
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

func (h *Handler) put(c call.Call) {
	t := h.Tables
	t.Board.Do(func(tx *blackboard.Tx) { t.Calls.Put(tx, c.Request.ID, c) }, t.Calls.Write())
}

func (h *Handler) forget(id string) {
	t := h.Tables
	t.Board.Do(func(tx *blackboard.Tx) { t.Calls.Delete(tx, id) }, t.Calls.Write())
}

// forward sends the request to the target of the present step. It returns the
// backend server's answer, or why there is none.
func (h *Handler) forward(r *http.Request, x *exchange) (*http.Response, *verdict.Error) {
	if failure := h.CheckSend(r, x.call.Rule.Class); failure != nil {
		return nil, failure
	}
	request, err := h.peerRequest(r, x)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, err)
	}
	response, err := h.Peers.RoundTrip(request)
	if err != nil {
		return nil, hop.TransportFailure(err)
	}
	answer, err := hop.ReadAnswer(response.Header)
	if err == nil {
		h.noteLoad(x, answer)
	}
	if answer.Verdict == verdict.Ran && answer.Reason == "" {
		return response, nil
	}
	response.Body.Close()
	reason := answer.Reason
	if reason == "" {
		reason = verdict.TransportFailed
	}
	return nil, verdict.New(answer.Verdict, reason, nil)
}

// peerRequest makes the request to the node beside the backend server.
func (h *Handler) peerRequest(r *http.Request, x *exchange) (*http.Request, error) {
	target := x.call.Step.Target
	address := *r.URL
	address.Scheme = "http"
	address.Host = target.Address
	ctx := r.Context()
	request, err := http.NewRequestWithContext(ctx, r.Method, address.String(), nil)
	if err != nil {
		return nil, eris.Wrap(err, "peer request")
	}
	hop.CopyHeaders(request.Header, r.Header)
	request.Host = r.Host
	request.Body = hop.SingleUse{ReadCloser: x.body.reader()}
	request.ContentLength = x.body.size
	if !x.body.whole {
		request.Header.Set("Expect", "100-continue")
	}
	h.hopRequest(x).Write(request.Header)
	return request, nil
}

func (h *Handler) hopRequest(x *exchange) hop.Request {
	c := x.call
	return hop.Request{
		ID:      c.Request.ID + "." + strconv.Itoa(len(c.Attempts)),
		Target:  c.Step.Target.Host,
		Service: c.Rule.Service,
		Class:   c.Rule.Class,
		Version: c.Version,
		Timeout: max(c.Deadline.Sub(h.Clock.Now()), time.Millisecond),
	}
}

func (h *Handler) noteLoad(x *exchange, a hop.Answer) {
	t := h.Tables
	t.Board.Do(func(tx *blackboard.Tx) {
		t.Loads.Put(tx, x.call.Step.Target.Host, a.Load)
	}, t.Loads.Write())
}
