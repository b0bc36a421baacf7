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

// sendHedge sends the hedged attempt of a call. It runs on a worker of the
// senders' pool.
func (h *Handler) sendHedge(id string) {
	attempt, found := h.takeHedge(id)
	x, active := h.exchanges.find(id)
	if !found || !active {
		return
	}
	c, err := h.Tables.Calls.Await(x.request.Context(), id, func(call.Call, bool) bool { return true })
	if err != nil || c.Final() || attempt >= len(c.Attempts) {
		return
	}
	h.Count(Hedged, "")
	if !h.sendAttempt(x, c, attempt) {
		return
	}
	// The request's goroutine is blocked in the first attempt. If the hedge's
	// response is the one to pass on, canceling the first attempt unblocks it.
	c, err = h.Tables.Calls.Await(x.request.Context(), id, func(row call.Call, found bool) bool {
		return !found || row.Final() || row.Ended
	})
	if err == nil && c.Step.Kind == call.Answer && c.Step.Attempt == attempt {
		x.cancelAllExcept(attempt)
	}
}

// takeHedge removes a request's row from the table Hedges and returns the index
// of the attempt to send.
func (h *Handler) takeHedge(id string) (attempt int, found bool) {
	t := h.Tables
	t.Board.Do(func(tx *blackboard.Tx) {
		attempt, found = t.Hedges.Get(tx, id)
		t.Hedges.Delete(tx, id)
	}, t.Hedges.Write())
	return attempt, found
}

// sendAttempt sends the request once and writes the outcome into the table
// Calls. It returns true if there is a response that can be passed on.
func (h *Handler) sendAttempt(x *exchange, c call.Call, attempt int) bool {
	sentAt := h.Clock.Now()
	timeout := c.Deadline.Sub(sentAt) + call.Grace
	ctx, stopTimer, cancel := hop.WithHeadDeadline(x.request.Context(), timeout)
	if !x.addCancel(attempt, cancel) {
		cancel()
		return false
	}
	var response *http.Response
	var metadata hop.Answer
	request, failure := h.newPeerRequest(x, c, attempt)
	if failure == nil {
		failure = h.CheckSend(x.request, c.Rule.Class)
	}
	if failure == nil {
		response, metadata, failure = h.forward(request.WithContext(ctx))
	}
	stopTimer()
	outcome := call.Outcome{
		Verdict: verdict.Ran, Took: h.Clock.Now().Sub(sentAt),
		Load: metadata.Load, RetryAfter: metadata.RetryAfter, Exhausted: metadata.Exhausted,
	}
	if failure != nil {
		cancel()
		outcome.Replayable = x.body.revokeReaders()
		h.Count(AttemptFailed, failure.Reason)
		outcome.Verdict, outcome.Reason = failure.Verdict, failure.Reason
		h.Record.AttemptFailed(c, attempt, outcome)
	} else if outcome = withServerError(outcome, response, x.body); !x.storeResponse(attempt, response) {
		response.Body.Close()
		return false
	}
	h.updateCall(c.Request.ID, func(row call.Call) call.Call { return row.WithOutcome(attempt, outcome) })
	return failure == nil
}

// withServerError marks an outcome as a failure of the backend server if the
// response has a 5xx status. The body is then replayable only if it is buffered
// whole, because the response can arrive before the rest of the body was sent.
func withServerError(o call.Outcome, response *http.Response, b *body) call.Outcome {
	if response.StatusCode < http.StatusInternalServerError {
		return o
	}
	o.Failed = true
	o.Replayable = b.complete
	return o
}

// forward sends the request to a peer. It returns the backend server's response,
// or the reason why there is none, and the metadata that the peer added.
func (h *Handler) forward(request *http.Request) (*http.Response, hop.Answer, *verdict.Error) {
	response, failure := hop.Send(h.Peers, request)
	if failure != nil {
		return nil, hop.Answer{}, failure
	}
	metadata := hop.ReadAnswer(response.Header)
	if metadata.Verdict == verdict.Ran && metadata.Reason == "" {
		return response, metadata, nil
	}
	response.Body.Close()
	reason := metadata.Reason
	if reason == "" {
		reason = verdict.TransportFailed
	}
	return nil, metadata, verdict.New(metadata.Verdict, reason, nil)
}

// newPeerRequest returns the request to the node of the attempt's backend
// server.
func (h *Handler) newPeerRequest(x *exchange, c call.Call, attempt int) (*http.Request, *verdict.Error) {
	r := x.request
	target := c.Attempts[attempt].Target
	address := *r.URL
	address.Scheme = "http"
	address.Host = target.Address
	request, err := http.NewRequest(r.Method, address.String(), nil)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, eris.Wrap(err, "create request to peer node"))
	}
	hop.CopyHeaders(request.Header, r.Header)
	request.Host = r.Host
	request.Body = hop.SingleUse{ReadCloser: x.body.newReader()}
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
