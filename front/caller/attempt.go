package caller

import (
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/call"
	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// hedge makes the second attempt of a call, on a worker of the senders.
func (h *Handler) hedge(id string) {
	attempt, found := h.takeHedge(id)
	x, open := h.open.find(id)
	if !found || !open {
		return
	}
	c, err := h.Tables.Calls.Await(x.request.Context(), id, func(call.Call, bool) bool { return true })
	if err != nil || c.Final() || attempt >= len(c.Attempts) {
		return
	}
	h.Count(Hedged, "")
	if !h.attempt(x, c, attempt) {
		return
	}
	// The first attempt holds the request's goroutine: it is freed once the
	// hedge's answer is the one to pass on.
	c, err = h.Tables.Calls.Await(x.request.Context(), id, func(row call.Call, found bool) bool {
		return !found || row.Final() || row.Ended
	})
	if err == nil && c.Step.Kind == call.Answer && c.Step.Attempt == attempt {
		x.cancelAllBut(attempt)
	}
}

func (h *Handler) takeHedge(id string) (attempt int, found bool) {
	t := h.Tables
	t.Board.Do(func(tx *blackboard.Tx) {
		attempt, found = t.Hedges.Get(tx, id)
		t.Hedges.Delete(tx, id)
	}, t.Hedges.Write())
	return attempt, found
}

// attempt sends the request once and reports the outcome; it returns whether
// there is an answer.
func (h *Handler) attempt(x *exchange, c call.Call, attempt int) bool {
	sent := h.Clock.Now()
	left := c.Deadline.Sub(sent) + call.Grace
	ctx, stop, cancel := hop.WithHeadDeadline(x.request.Context(), left)
	if !x.begin(attempt, cancel) {
		cancel()
		return false
	}
	var answer *http.Response
	var told hop.Answer
	request, failure := h.peerRequest(x, c, attempt)
	if failure == nil {
		failure = h.CheckSend(x.request, c.Rule.Class)
	}
	if failure == nil {
		answer, told, failure = h.forward(request.WithContext(ctx))
	}
	stop()
	outcome := call.Outcome{
		Verdict: verdict.Ran, Took: h.Clock.Now().Sub(sent),
		Load: told.Load, RetryAfter: told.RetryAfter, Exhausted: told.Exhausted,
	}
	if failure != nil {
		cancel()
		outcome.Replayable = x.body.revoke()
		h.Count(AttemptFailed, failure.Reason)
		outcome.Verdict, outcome.Reason = failure.Verdict, failure.Reason
		h.Record.AttemptFailed(c, attempt, outcome)
	} else if outcome = failedAnswer(outcome, answer, x.body); !x.keep(attempt, answer) {
		answer.Body.Close()
		return false
	}
	h.update(c.Request.ID, func(row call.Call) call.Call { return row.WithOutcome(attempt, outcome) })
	return failure == nil
}

// failedAnswer notes on an outcome whether the answer is a failure of the
// backend server; the answer may come before the whole body was sent.
func failedAnswer(o call.Outcome, answer *http.Response, b *body) call.Outcome {
	if answer.StatusCode < http.StatusInternalServerError {
		return o
	}
	o.Failed = true
	o.Replayable = b.whole
	return o
}

// forward sends the request to a peer. It returns the backend server's answer,
// or why there is none, and what the peer told about it.
func (h *Handler) forward(request *http.Request) (*http.Response, hop.Answer, *verdict.Error) {
	response, failure := hop.Send(h.Peers, request)
	if failure != nil {
		return nil, hop.Answer{}, failure
	}
	told := hop.ReadAnswer(response.Header)
	if told.Verdict == verdict.Ran && told.Reason == "" {
		return response, told, nil
	}
	response.Body.Close()
	reason := told.Reason
	if reason == "" {
		reason = verdict.TransportFailed
	}
	return nil, told, verdict.New(told.Verdict, reason, nil)
}

// peerRequest makes the request to the node beside the backend server.
func (h *Handler) peerRequest(x *exchange, c call.Call, attempt int) (*http.Request, *verdict.Error) {
	r := x.request
	target := c.Attempts[attempt].Target
	address := *r.URL
	address.Scheme = "http"
	address.Host = target.Address
	request, err := http.NewRequest(r.Method, address.String(), nil)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, eris.Wrap(err, "peer request"))
	}
	hop.CopyHeaders(request.Header, r.Header)
	request.Host = r.Host
	request.Body = hop.SingleUse{ReadCloser: x.body.reader()}
	request.ContentLength = x.body.size
	request.Trailer = hop.Trailers(r)
	if x.body.isLarge() {
		request.Header.Set("Expect", "100-continue")
	}
	now := h.Clock.Now()
	hop.Request{
		ID:      c.Request.ID + "." + strconv.Itoa(attempt),
		Target:  target.Host,
		Service: c.Rule.Service,
		Class:   c.Rule.Class,
		Version: c.Version,
		Timeout: max(c.Deadline.Sub(now), time.Millisecond),

		Priority:  c.Priority,
		Objective: max(c.Objective.Sub(now), 0),
		Origin:    h.Origin,
		CallerID:  c.Request.CallerID,
	}.Write(request.Header)
	return request, nil
}
