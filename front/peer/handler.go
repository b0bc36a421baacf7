// Package peer is the front end for other nodes, over net/http. It takes each
// request to the admission point and, once it is granted a slot, moves its
// bytes to the node's own backend server and back.
package peer

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/decide/admit"
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
	// Host is the node's own host, Service its backend server's service.
	Host    mesh.HostID
	Service mesh.ServiceName
	// Backend is the IP and port of the own backend server.
	Backend string
	// Dialect is how the backend server words requests and answers.
	Dialect hop.Dialect
	// Instance names the backend server that runs now; nil for any.
	Instance func() string
	// Report is told how each sending to the backend server ended; nil for
	// nobody.
	Report func(Sending)
	// Transport carries requests to the backend server; it bounds the
	// connections.
	Transport http.RoundTripper
	// Idle bounds the pause between the bytes of a body, and how long a peer
	// may take no byte of its answer.
	Idle time.Duration
	// Count is told the reason of each refusal and failure.
	Count func(reason verdict.Reason)
	// Record is told each decision on a forwarded request; nil for nobody.
	Record func(hop.Request, admit.Request, *verdict.Error)
}

// Sending is how one request fared at the backend server.
type Sending struct {
	// Instance is the backend server that was meant.
	Instance string
	// Failure is nil when there was an answer.
	Failure *verdict.Error
}

// ServeHTTP answers one forwarded request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w = hop.FullDuplex(w, r)
	request, err := hop.ReadRequest(r.Header)
	if err != nil || request.Timeout == 0 {
		h.refuse(w, verdict.New(verdict.NotRun, verdict.BadRequest, err), 0)
		return
	}
	if request.Target != h.Host || request.Service != h.Service {
		h.refuse(w, verdict.New(verdict.NotRun, verdict.WrongHost, nil), 0)
		return
	}
	if !h.enter(request) {
		// A second sending of an attempt, which only a fault can make.
		h.refuse(w, verdict.New(verdict.MayHaveRun, verdict.BadRequest, nil), 0)
		return
	}
	x := &exchange{id: request.ID}
	defer h.leave(x)
	ctx, stop, cancel := hop.WithHeadDeadline(r.Context(), request.Timeout)
	defer cancel()
	row, err := h.awaitGrant(ctx, request.ID)
	if err != nil {
		h.fail(w, request, row, verdict.New(verdict.NotRun, verdict.DeadlineExceeded, err))
		return
	}
	if row.State == admit.Refused {
		h.record(request, row, verdict.New(verdict.NotRun, row.Reason, nil))
		h.refuse(w, verdict.New(verdict.NotRun, row.Reason, nil), row.RetryAfter)
		return
	}
	response, failure := h.send(ctx, w, r, request, row.Deadline)
	stop()
	if failure != nil {
		x.shed = failure.Reason == verdict.BackendShed
		x.failed = failure.Reason == verdict.TransportFailed || failure.Reason == verdict.ResponseTruncated
		h.fail(w, request, row, failure)
		return
	}
	defer response.Body.Close()
	x.failed = response.StatusCode >= http.StatusInternalServerError
	h.record(request, row, nil)
	h.answer(w, x, response)
}

// fail refuses a request that was admitted or waited, and records it.
func (h *Handler) fail(w http.ResponseWriter, request hop.Request, row admit.Request, failure *verdict.Error) {
	h.record(request, row, failure)
	h.refuse(w, failure, 0)
}

func (h *Handler) record(request hop.Request, row admit.Request, failure *verdict.Error) {
	if h.Record != nil {
		h.Record(request, row, failure)
	}
}

// exchange is one request at the admission point, and how it ended.
type exchange struct {
	id          string
	whole, shed bool
	failed      bool
}

// enter puts the request into the table of the admission point; it returns
// false when one with its ID is there.
func (h *Handler) enter(r hop.Request) (entered bool) {
	now := h.Clock.Now()
	row := admit.Request{
		ID: r.ID, Class: r.Class, Priority: r.Priority, Arrived: now, Deadline: now.Add(r.Timeout),
		State: admit.Waiting,
	}
	if r.Objective > 0 {
		row.Objective = now.Add(r.Objective)
	}
	t := h.Tables
	t.Board.Do(func(tx *blackboard.Tx) {
		if _, taken := t.Admissions.Get(tx, row.ID); taken {
			return
		}
		entered = true
		t.Admissions.Put(tx, row.ID, row)
	}, t.Admissions.Write())
	return entered
}

// leave marks the request as finished, so that its slot goes to another.
func (h *Handler) leave(x *exchange) {
	t := h.Tables
	t.Board.Do(func(tx *blackboard.Tx) {
		row, _ := t.Admissions.Get(tx, x.id)
		row.ID, row.State, row.Whole, row.Shed = x.id, admit.Finished, x.whole, x.shed
		row.Failed = x.failed
		t.Admissions.Put(tx, x.id, row)
	}, t.Admissions.Write())
}

func (h *Handler) awaitGrant(ctx context.Context, id string) (admit.Request, error) {
	return h.Tables.Admissions.Await(ctx, id, func(current admit.Request, found bool) bool {
		return found && current.State != admit.Waiting
	})
}

// send passes the request to the backend server and returns its answer, with a
// short body whole.
func (h *Handler) send(ctx context.Context, w http.ResponseWriter, r *http.Request, told hop.Request, deadline time.Time) (*http.Response, *verdict.Error) {
	instance := ""
	if h.Instance != nil {
		instance = h.Instance()
	}
	request, failure := h.backendRequest(ctx, w, r, hop.BackendRequest{
		Timeout:  max(deadline.Sub(h.Clock.Now()), time.Millisecond),
		Instance: instance,
		Origin:   told.Origin,
	})
	if failure != nil {
		return nil, failure
	}
	response, failure := hop.Send(h.Transport, request)
	if failure == nil {
		failure = h.judge(response, request)
	}
	if h.Report != nil {
		h.Report(Sending{Instance: instance, Failure: failure})
	}
	return response, failure
}

func (h *Handler) backendRequest(ctx context.Context, w http.ResponseWriter, r *http.Request, told hop.BackendRequest) (*http.Request, *verdict.Error) {
	address := *r.URL
	address.Scheme = "http"
	address.Host = h.Backend
	request, err := http.NewRequestWithContext(ctx, r.Method, address.String(), nil)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, eris.Wrap(err, "backend request"))
	}
	hop.CopyHeaders(request.Header, r.Header)
	request.Header.Del("Expect")
	h.Dialect.WriteBackend(request.Header, told)
	request.Host = r.Host
	request.Body = hop.SingleUse{ReadCloser: io.NopCloser(hop.NewPatientBody(w, r, h.Idle))}
	request.ContentLength = r.ContentLength
	request.Trailer = hop.Trailers(r)
	return request, nil
}

// judge says what an answer means, and reads a short body whole: one that
// breaks off is a failure then, which may be retried. The failure closes the
// answer.
func (h *Handler) judge(response *http.Response, request *http.Request) *verdict.Error {
	failure := h.wordFailure(response, request)
	if failure == nil {
		failure = hop.ReadShort(response)
	}
	if failure != nil {
		_ = response.Body.Close() // the failure says more
	}
	return failure
}

func (h *Handler) wordFailure(response *http.Response, request *http.Request) *verdict.Error {
	switch h.Dialect.ReadBackend(response, request) {
	case hop.Shed:
		return verdict.New(verdict.NotRun, verdict.BackendShed, nil)
	case hop.OtherInstance:
		return verdict.New(verdict.NotRun, verdict.WrongHost, nil)
	case hop.Foreign, hop.Unproven:
		return verdict.New(verdict.MayHaveRun, verdict.TransportFailed, nil)
	}
	return nil
}

// answer passes the backend server's answer on. One that is cut short ends the
// connection, so that it cannot be taken for whole.
func (h *Handler) answer(w http.ResponseWriter, x *exchange, response *http.Response) {
	hop.CopyHeaders(w.Header(), response.Header)
	answer := hop.Answer{Verdict: verdict.Ran, Load: h.load(), Exhausted: hop.Exhausted(response.Header)}
	answer.Write(w.Header())
	w.WriteHeader(response.StatusCode)
	if err := hop.CopyAnswer(w, response, h.Idle); err != nil {
		h.Count(verdict.ResponseTruncated)
		panic(http.ErrAbortHandler)
	}
	x.whole = true
}

func (h *Handler) refuse(w http.ResponseWriter, e *verdict.Error, retryAfter time.Duration) {
	h.Count(e.Reason)
	answer := hop.Answer{Verdict: e.Verdict, Reason: e.Reason, Load: h.load(), RetryAfter: retryAfter}
	answer.Write(w.Header())
	w.WriteHeader(http.StatusServiceUnavailable)
}

// load is what the controller admission last counted.
func (h *Handler) load() mesh.Load { return h.Tables.Occupancy.Load() }
