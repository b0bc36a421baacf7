// Package peer is the front end for requests that other nodes forward, over
// net/http. It submits each request to the admission point and, once the request
// is granted a slot, streams it to the node's own backend server and the response
// back.
package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/decide/admit"
	"github.com/marigoldshelf/marigoldshelf/decide/drain"
	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// Handler serves the requests that other nodes forward. It is safe for
// concurrent use.
type Handler struct {
	Tables *tables.Tables
	Clock  clock.Clock
	// Host is the node's own host; Service is its backend server's service.
	// Requests for others are refused.
	Host    mesh.HostID
	Service mesh.ServiceName
	// BackendAddress is the IP:port of the node's own backend server.
	BackendAddress string
	// Dialect is the header format of requests to and responses from the backend
	// server.
	Dialect hop.Dialect
	// Instance returns the current instance of the backend server; nil means that
	// any instance can run requests.
	Instance func() string
	// OnSent is called with the result of each request sent to the backend
	// server; nil means not called.
	OnSent func(SendResult)
	// Transport sends requests to the backend server and limits the number of
	// connections.
	Transport http.RoundTripper
	// IdleTimeout limits the time between the bytes of a request body, and the
	// time for which a peer can leave a response unread.
	IdleTimeout time.Duration
	// Count increments the counter of a refusal or failure.
	Count func(reason verdict.Reason)
	// Record logs the result of each request that reached the admission point;
	// the error is nil if there was a response. Nil means no log.
	Record func(hop.Request, admit.Request, *verdict.Error)
}

// SendResult is the result of one request sent to the backend server.
type SendResult struct {
	// Instance is the instance that the request was meant for; empty for any.
	Instance string
	// Failure is nil if there was a response.
	Failure *verdict.Error
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w = hop.EnableFullDuplex(w, r)
	request, err := hop.ReadRequest(r.Header)
	if err != nil || request.Timeout == 0 {
		h.writeRefusal(w, verdict.New(verdict.NotRun, verdict.BadRequest, err), 0)
		return
	}
	if request.Target != h.Host || request.Service != h.Service {
		h.writeRefusal(w, verdict.New(verdict.NotRun, verdict.WrongHost, nil), 0)
		return
	}
	arrived := h.Clock.Now()
	body, failure := newRequestBody(w, r, min(h.IdleTimeout, request.Timeout))
	request.Timeout -= h.Clock.Now().Sub(arrived)
	if failure == nil && request.Timeout <= 0 {
		failure = verdict.New(verdict.NotRun, verdict.DeadlineExceeded, nil)
	}
	if failure != nil {
		h.writeRefusal(w, failure, 0)
		return
	}
	if !h.addAdmission(request) {
		// A duplicate of an attempt that this node already serves. Only a bug causes
		// one.
		h.writeRefusal(w, verdict.New(verdict.MayHaveRun, verdict.BadRequest, nil), 0)
		return
	}
	tracked, tracker := hop.TrackRelease(r.Context())
	result := &requestResult{id: request.AttemptID, tracker: tracker}
	defer h.finishAdmission(result)
	ctx, _, cancel := hop.WithDeadline(tracked, request.Timeout)
	defer cancel()
	row, err := h.awaitAdmission(ctx, request.AttemptID)
	if err != nil {
		h.recordAndRefuse(w, request, row, verdict.New(verdict.NotRun, verdict.DeadlineExceeded, err))
		return
	}
	if row.State == admit.Refused {
		h.record(request, row, verdict.New(verdict.NotRun, row.Reason, nil))
		h.writeRefusal(w, verdict.New(verdict.NotRun, row.Reason, nil), row.RetryAfter)
		return
	}
	if failure := h.awaitFirstBytes(ctx, w, body); failure != nil {
		h.recordAndRefuse(w, request, row, failure)
		return
	}
	response, failure := h.sendToBackend(ctx, r, body, request, row.Deadline)
	if failure != nil {
		result.shed = failure.Reason == verdict.BackendShed
		result.failed = failure.Reason == verdict.TransportFailed || failure.Reason == verdict.ResponseTruncated
		h.recordAndRefuse(w, request, row, failure)
		return
	}
	defer response.Body.Close()
	result.failed = response.StatusCode >= http.StatusInternalServerError
	h.record(request, row, nil)
	h.writeResponse(w, result, response)
}

// recordAndRefuse logs the failure of a request after the admission point and
// refuses the request.
func (h *Handler) recordAndRefuse(w http.ResponseWriter, request hop.Request, row admit.Request, failure *verdict.Error) {
	h.record(request, row, failure)
	h.writeRefusal(w, failure, 0)
}

func (h *Handler) record(request hop.Request, row admit.Request, failure *verdict.Error) {
	if h.Record != nil {
		h.Record(request, row, failure)
	}
}

// requestResult is how a request ended, for the admission point. complete is true
// if the whole response was passed on, shed if the backend server refused the
// request, and failed if the backend server failed it.
type requestResult struct {
	id             string
	complete, shed bool
	failed         bool
	// tracker tells when the backend server has dropped the request.
	tracker *hop.ReleaseTracker
}

// addAdmission adds the request to the table Admissions. It returns false if the
// table already has a request with its ID.
func (h *Handler) addAdmission(r hop.Request) (added bool) {
	now := h.Clock.Now()
	row := admit.Request{
		ID: r.AttemptID, CallerID: r.CallerID, Class: r.Class, Priority: r.Priority, Arrived: now, Deadline: now.Add(r.Timeout),
		State: admit.Waiting, Account: r.Account, AccountPriority: r.AccountPriority, Nested: r.Nested,
	}
	if r.LatencyObjective > 0 {
		row.Objective = now.Add(r.LatencyObjective)
	}
	t := h.Tables
	t.Board.Do(func(tx *blackboard.Tx) {
		if _, exists := t.Admissions.Get(tx, row.ID); exists {
			return
		}
		added = true
		t.Admissions.Put(tx, row.ID, row)
	}, t.Admissions.Write())
	return added
}

// finishAdmission marks the request as finished, so that its slot becomes free. If
// the backend server possibly still runs the request, it does so in the background
// once that is over, and the caller gets its reply meanwhile.
func (h *Handler) finishAdmission(result *requestResult) {
	if !result.tracker.Pending() {
		h.freeSlot(result)
		return
	}
	go func() {
		result.tracker.Wait()
		h.freeSlot(result)
	}()
}

func (h *Handler) freeSlot(result *requestResult) {
	t := h.Tables
	t.Board.Do(func(tx *blackboard.Tx) {
		row, _ := t.Admissions.Get(tx, result.id)
		row.ID, row.State, row.ResponseComplete, row.BackendShed = result.id, admit.Finished, result.complete, result.shed
		row.BackendFailed = result.failed
		t.Admissions.Put(tx, result.id, row)
	}, t.Admissions.Write())
}

// awaitAdmission waits until the request is granted a slot or refused.
func (h *Handler) awaitAdmission(ctx context.Context, id string) (admit.Request, error) {
	return h.Tables.Admissions.Await(ctx, id, func(row admit.Request, found bool) bool {
		return found && row.State != admit.Waiting
	})
}

// errDraining is the cause of ending a wait because the backend server is leaving.
var errDraining = eris.New("peer: the backend server is leaving")

// awaitFirstBytes waits for the first bytes of a body that the peer sends on admission.
// It gives up when the backend server begins to drain, so that the caller learns in
// time that the request did not run.
func (h *Handler) awaitFirstBytes(ctx context.Context, w http.ResponseWriter, body *requestBody) *verdict.Error {
	if !body.onAdmission {
		return nil
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		if _, err := h.Tables.Drain.Await(ctx, drain.State.IsLeaving); err == nil {
			cancel(errDraining)
		}
	}()
	return body.awaitFirstBytes(ctx, w)
}

// checkDrain returns an error if the backend server is leaving, although the request got
// a slot before.
func (h *Handler) checkDrain() *verdict.Error {
	if h.Tables.Drain.Load().IsLeaving() {
		return verdict.New(verdict.NotRun, verdict.Draining, errDraining)
	}
	return nil
}

// sendToBackend sends the request to the backend server and returns the response,
// whose body is buffered whole if it is short.
func (h *Handler) sendToBackend(ctx context.Context, r *http.Request, body *requestBody, forwarded hop.Request, deadline time.Time) (*http.Response, *verdict.Error) {
	if ctx.Err() != nil {
		return nil, verdict.New(verdict.NotRun, hop.CancelReason(ctx), context.Cause(ctx))
	}
	if !h.Clock.Now().Before(deadline) {
		// The process was held up after the request got its slot. The caller has
		// given up by now, and may have repeated the request.
		return nil, verdict.New(verdict.NotRun, verdict.DeadlineExceeded, nil)
	}
	if failure := h.checkDrain(); failure != nil {
		return nil, failure
	}
	instance := ""
	if h.Instance != nil {
		instance = h.Instance()
	}
	request, failure := h.newBackendRequest(ctx, r, body, hop.BackendRequest{
		Timeout:  max(deadline.Sub(h.Clock.Now()), time.Millisecond),
		Instance: instance,
		Origin:   forwarded.Origin,
		Account:  forwarded.Account,
	})
	if failure != nil {
		return nil, failure
	}
	response, failure := hop.Send(h.Transport, request)
	if failure == nil {
		failure = h.checkResponse(response, request)
	}
	if h.OnSent != nil {
		h.OnSent(SendResult{Instance: instance, Failure: failure})
	}
	return response, failure
}

func (h *Handler) newBackendRequest(ctx context.Context, r *http.Request, body *requestBody, metadata hop.BackendRequest) (*http.Request, *verdict.Error) {
	address := *r.URL
	address.Scheme = "http"
	address.Host = h.BackendAddress
	request, err := http.NewRequestWithContext(ctx, r.Method, address.String(), nil)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, eris.Wrap(err, "create request to backend server"))
	}
	hop.CopyHeaders(request.Header, r.Header)
	request.Header.Del("Expect")
	h.Dialect.WriteBackendRequest(request.Header, metadata)
	request.Host = r.Host
	request.Body = hop.NonReplayableBody{ReadCloser: body.reader()}
	request.ContentLength = r.ContentLength
	request.Trailer = hop.ForwardedTrailers(r)
	return request, nil
}

// checkResponse returns an error if a response is not the backend server's
// response to the request. It buffers a short body whole, so that a truncated one
// is a failure, which can be retried. On failure it closes the body.
func (h *Handler) checkResponse(response *http.Response, request *http.Request) *verdict.Error {
	failure := h.dialectFailure(response, request)
	if failure == nil {
		failure = hop.BufferShortBody(response)
	}
	if failure != nil {
		_ = response.Body.Close() // failure is the more useful error
	}
	return failure
}

// dialectFailure returns an error if the dialect classifies a response as a refusal
// by the backend server or as one that does not belong to the request.
func (h *Handler) dialectFailure(response *http.Response, request *http.Request) *verdict.Error {
	switch h.Dialect.ClassifyResponse(response, request) {
	case hop.ResponseShed:
		return verdict.New(verdict.NotRun, verdict.BackendShed, nil)
	case hop.ResponseOtherInstance:
		return verdict.New(verdict.NotRun, verdict.WrongHost, nil)
	case hop.ResponseMismatched, hop.ResponseNotAuthentic:
		return verdict.New(verdict.MayHaveRun, verdict.TransportFailed, nil)
	}
	return nil
}

// writeResponse streams the backend server's response to the peer. If the
// response is truncated or outlasts its deadline, it aborts the connection, so
// that the peer cannot take the response for complete.
func (h *Handler) writeResponse(w http.ResponseWriter, result *requestResult, response *http.Response) {
	hop.CopyHeaders(w.Header(), response.Header)
	metadata := hop.ResponseInfo{Verdict: verdict.Ran, Load: h.load(), RetriesExhausted: hop.RetriesExhausted(response.Header)}
	metadata.Write(w.Header())
	w.WriteHeader(response.StatusCode)
	if err := hop.CopyResponse(w, response, h.IdleTimeout); err != nil {
		h.Count(hop.BodyFailure(response))
		panic(http.ErrAbortHandler)
	}
	result.complete = true
}

// writeRefusal responds with status 503 and the verdict, reason and load, and
// counts the reason. A zero retryAfter sends no retry delay.
func (h *Handler) writeRefusal(w http.ResponseWriter, e *verdict.Error, retryAfter time.Duration) {
	h.Count(e.Reason)
	metadata := hop.ResponseInfo{Verdict: e.Verdict, Reason: e.Reason, Load: h.load(), RetryAfter: retryAfter}
	metadata.Write(w.Header())
	w.WriteHeader(http.StatusServiceUnavailable)
}

// load returns the load that the controller admission last wrote.
func (h *Handler) load() mesh.Load { return h.Tables.Occupancy.Load() }
