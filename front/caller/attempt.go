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
	h.Count(EventHedged, "")
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

// takeHedge removes a request's row from the table PendingHedges and returns the
// index of the attempt to send.
func (h *Handler) takeHedge(id string) (attempt int, found bool) {
	t := h.Tables
	t.Board.Do(func(tx *blackboard.Tx) {
		attempt, found = t.PendingHedges.Get(tx, id)
		t.PendingHedges.Delete(tx, id)
	}, t.PendingHedges.Write())
	return attempt, found
}

// sendAttempt sends the request once and writes the outcome into the table
// Calls. It returns true if there is a response that can be passed on.
func (h *Handler) sendAttempt(x *exchange, c call.Call, attempt int) bool {
	sentAt := h.Clock.Now()
	timeout := c.Deadline.Sub(sentAt) + c.Grace
	ctx, extend, cancel := hop.WithDeadline(x.request.Context(), timeout)
	if !x.addCancel(attempt, cancel) {
		cancel()
		return false
	}
	var response *http.Response
	var metadata hop.ResponseInfo
	request, failure := h.newPeerRequest(x, c, attempt)
	if failure == nil {
		failure = h.CheckSend(x.request, c.Rule.Class)
	}
	if failure == nil && !sentAt.Before(c.Deadline) {
		// The process was held up after the attempt was decided.
		failure = verdict.New(verdict.NotRun, verdict.DeadlineExceeded, nil)
	}
	if failure == nil {
		admission, stop := ctx, func() {}
		if limit := c.AdmissionTimeout(sentAt); limit > 0 && hop.IsSentOnAdmission(request) {
			admission, stop = hop.WithAdmissionTimeout(ctx, limit)
		}
		response, metadata, failure = h.forward(request.WithContext(admission))
		stop()
		extend(call.BodyGrace)
	}
	outcome := call.Outcome{
		Verdict: verdict.Ran, Latency: h.Clock.Now().Sub(sentAt),
		Load: metadata.Load, RetryAfter: metadata.RetryAfter, RetriesExhausted: metadata.RetriesExhausted,
	}
	if failure != nil {
		cancel()
		outcome.Replayable = x.body.revokeReaders()
		h.Count(EventAttemptFailed, failure.Reason)
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
	o.BackendFailed = true
	o.Replayable = b.complete
	return o
}

// forward sends the request to a peer. It returns the backend server's response,
// or the reason why there is none, and the metadata that the peer added.
func (h *Handler) forward(request *http.Request) (*http.Response, hop.ResponseInfo, *verdict.Error) {
	response, failure := hop.Send(h.PeerTransport, request)
	if failure != nil {
		return nil, hop.ResponseInfo{}, failure
	}
	metadata := hop.ReadResponseInfo(response.Header)
	if metadata.Verdict == verdict.Ran && metadata.Reason == "" {
		if failure := hop.RequireDelimited(response); failure != nil {
			response.Body.Close()
			return nil, metadata, failure
		}
		return response, metadata, nil
	}
	response.Body.Close()
	reason := metadata.Reason
	if reason == "" {
		reason = verdict.TransportFailed
	}
	return nil, metadata, verdict.New(metadata.Verdict, reason, nil)
}

// remainingObjective returns the time left until the call's objective is missed:
// zero for no objective, and a millisecond for one that was missed.
func remainingObjective(c call.Call, now time.Time) time.Duration {
	if c.Objective.IsZero() {
		return 0
	}
	return max(c.Objective.Sub(now), time.Millisecond)
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
	if c.RemovesAccount {
		h.Dialect.RemoveAccount(request.Header)
	}
	request.Host = r.Host
	request.Body = hop.NonReplayableBody{ReadCloser: x.body.newReader()}
	request.ContentLength = x.body.size
	request.Trailer = hop.ForwardedTrailers(r)
	if x.body.isLarge() {
		request.Header.Set("Expect", "100-continue")
	}
	now := h.Clock.Now()
	hop.Request{
		AttemptID: c.Request.ID + "." + strconv.Itoa(attempt),
		Target:    target.Host,
		Service:   c.Rule.Service,
		Class:     c.Rule.Class,
		Version:   c.Version,
		Timeout:   max(c.Deadline.Sub(now), time.Millisecond),

		Priority:         c.Priority,
		LatencyObjective: remainingObjective(c, now),
		Origin:           h.Origin,
		CallerID:         c.Request.CallerID,
		Account:          c.Account,
		AccountPriority:  c.AccountPriority,
		Nested:           c.Nested,
	}.Write(request.Header)
	return request, nil
}
