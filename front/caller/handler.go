// Package caller is the front end for callers, over net/http. It writes each
// request into the table Calls, sends the attempts that the controller adds
// there, and writes their outcomes back. It transfers bytes and makes no decisions.
//
// The first attempt and its retries run on the HTTP server's goroutine. A hedge,
// an attempt concurrent with another, runs on a worker of the senders' pool.
package caller

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/call"
	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// Config configures a Handler.
type Config struct {
	Tables *tables.Tables
	Clock  clock.Clock
	// PeerTransport carries requests to other nodes.
	PeerTransport http.RoundTripper
	// IdleTimeout limits the time between the bytes of a request body, and the
	// time for which a caller can leave a response unread.
	IdleTimeout time.Duration
	// CheckSend is called before each attempt. It returns nil if the request can
	// be sent to a backend server now, else the reason why not.
	CheckSend func(*http.Request, mesh.Class) *verdict.Error
	// Dialect is the header format of callers' requests; nil means hop.Plain.
	Dialect hop.Dialect
	// Origin is the service of this node's host. Backend servers receive it as
	// the calling service; empty means unknown.
	Origin mesh.ServiceName
	// Count increments the counter of an event and reason.
	Count func(event Event, reason verdict.Reason)
	// Record logs ended calls and failed attempts; nil means no log.
	Record Recorder
	// Stopping reports whether the node is stopping. Responses then close their
	// connection.
	Stopping func() bool
	// RefuseOverQuota returns the refused call of a request whose account is known to
	// have used up its quota, before the call is written into the table; nil means
	// that the controller decides all requests.
	RefuseOverQuota func(call.Request) (refused call.Call, over bool)
	// Refusing reports whether the node refuses new requests because it is about
	// to exit; nil means never.
	Refusing func() bool
}

// Recorder logs the results of requests. Its methods must not block.
type Recorder interface {
	// AttemptFailed records an attempt without a response.
	AttemptFailed(c call.Call, attempt int, o call.Outcome)
	// Refused records a request that the node refused.
	Refused(c call.Call, now time.Time)
	// Answered records a request whose response is about to be passed on.
	Answered(c call.Call, status int, now time.Time)
	// Ended records a request that ended without a complete response.
	Ended(c call.Call, reason verdict.Reason, now time.Time)
}

// noRecorder is a Recorder that discards everything.
type noRecorder struct{}

func (noRecorder) AttemptFailed(call.Call, int, call.Outcome) {}
func (noRecorder) Refused(call.Call, time.Time)               {}
func (noRecorder) Answered(call.Call, int, time.Time)         {}
func (noRecorder) Ended(call.Call, verdict.Reason, time.Time) {}

// Handler serves callers. It is safe for concurrent use.
type Handler struct {
	Config
	exchanges exchangeMap
	// A request ID is idPrefix and requestCount; it is unique among all nodes.
	idPrefix     string
	requestCount atomic.Uint64
}

// Event is an event that Config.Count counts.
type Event string

// Events passed to Config.Count.
const (
	EventRefused       Event = "refused"
	EventAttemptFailed Event = "attempt_failed"
	EventRetried       Event = "retried"
	EventHedged        Event = "hedged"
	// EventTruncated: a response could not be passed on completely.
	EventTruncated Event = "cut"
)

// idPrefixDigits is the number of random hexadecimal digits in front of request
// IDs. With 32 bits, two of 1,000 nodes share a prefix less than once in 8,000
// starts.
const idPrefixDigits = 8

// New returns a handler that sends its hedges on the workers of senders.
func New(c Config, senders *controller.Pool) *Handler {
	if c.Dialect == nil {
		c.Dialect = hop.DefaultDialect{}
	}
	if c.Record == nil {
		c.Record = noRecorder{}
	}
	h := &Handler{Config: c, idPrefix: uuid.NewString()[:idPrefixDigits] + "-"}
	handle := controller.Register(senders, "hedge", func(_ time.Time, id string) controller.Result {
		h.sendHedge(id)
		return controller.Result{}
	})
	c.Tables.PendingHedges.Watch(handle.Add)
	return h
}

// stoppingRetryAfter is the Retry-After of refusals by a stopping node: within
// that time the process has restarted or callers were directed to another node.
const stoppingRetryAfter = time.Second

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w = hop.EnableFullDuplex(w, r)
	if h.Stopping() {
		w.Header().Set("Connection", "close")
	}
	if h.Refusing != nil && h.Refusing() {
		h.writeRefusal(w, call.Step{Refusal: verdict.New(verdict.NotRun, verdict.Draining, nil), RetryAfter: stoppingRetryAfter})
		return
	}
	x, failure := h.newExchange(w, r)
	if failure != nil {
		h.writeRefusal(w, call.Step{Refusal: failure})
		return
	}
	if h.RefuseOverQuota != nil {
		if refused, over := h.RefuseOverQuota(x.call.Request); over {
			h.Record.Refused(refused, h.Clock.Now())
			h.writeRefusal(w, refused.Step)
			return
		}
	}
	h.exchanges.add(x)
	defer h.endExchange(x)
	h.putCall(x.call)
	h.runSteps(w, x)
}

// newExchange parses the caller's headers and buffers the start of the body.
func (h *Handler) newExchange(w http.ResponseWriter, r *http.Request) (*exchange, *verdict.Error) {
	now := h.Clock.Now()
	callerRequest, err := h.Dialect.ReadCallerRequest(r.Header)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, err)
	}
	b, failure := newBody(w, r, h.IdleTimeout)
	if failure != nil {
		return nil, failure
	}
	request := call.Request{
		ID: h.idPrefix + strconv.FormatUint(h.requestCount.Add(1), 36), HostName: r.Host, Path: hop.ReceivedPath(r),
		Arrived: now, BodyBuffered: b.complete, LargeBody: b.isLarge(), CallerID: callerRequest.ID,
		Key: callerRequest.Key, ParentID: callerRequest.ParentID,
	}
	if callerRequest.Timeout > 0 {
		request.Deadline = now.Add(callerRequest.Timeout)
	}
	return &exchange{request: r, call: call.Call{Request: request}, body: b}, nil
}

// runSteps sends the attempts of the call until a step ends the call, and writes
// the response or the refusal.
func (h *Handler) runSteps(w http.ResponseWriter, x *exchange) {
	started := 0
	for {
		next, err := h.awaitStep(x.request.Context(), x.call)
		if err != nil {
			h.Count(EventRefused, verdict.CallerCanceled)
			h.Record.Ended(x.call, verdict.CallerCanceled, h.Clock.Now())
			return
		}
		x.call = next
		switch next.Step.Kind {
		case call.Answer:
			h.writeResponse(w, x, x.takeResponse(next.Step.Attempt))
			return
		case call.Refuse:
			x.cancelAll()
			h.Record.Refused(next, h.Clock.Now())
			h.writeRefusal(w, next.Step)
			return
		}
		for ; started < len(next.Attempts); started++ {
			h.startAttempt(x, next, started)
		}
	}
}

// startAttempt sends an attempt and waits for its outcome. It skips a hedge,
// which a worker of the senders' pool sends.
func (h *Handler) startAttempt(x *exchange, c call.Call, attempt int) {
	if c.Attempts[attempt].Hedge {
		return
	}
	if attempt > 0 {
		h.Count(EventRetried, c.Attempts[attempt-1].Outcome.Reason)
	}
	h.sendAttempt(x, c, attempt)
}

// awaitStep waits for a step later than that of c.
func (h *Handler) awaitStep(ctx context.Context, c call.Call) (call.Call, error) {
	return h.Tables.Calls.Await(ctx, c.Request.ID, func(row call.Call, found bool) bool {
		return found && row.Step.Number > c.Step.Number
	})
}

// writeResponse streams the backend server's response to the caller. If the
// response is truncated or outlasts its deadline, it aborts the caller's
// connection, so that the caller cannot take the response for complete.
func (h *Handler) writeResponse(w http.ResponseWriter, x *exchange, response *http.Response) {
	defer response.Body.Close()
	h.Record.Answered(x.call, response.StatusCode, h.Clock.Now())
	hop.CopyHeaders(w.Header(), response.Header)
	hop.CopyRetriesExhausted(w.Header(), response.Header)
	h.Dialect.WriteResponseHeaders(w.Header())
	if h.Stopping() {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(response.StatusCode)
	if err := hop.CopyResponse(w, response, h.IdleTimeout); err != nil {
		reason := hop.BodyFailure(response)
		h.Count(EventTruncated, reason)
		h.Record.Ended(x.call, reason, h.Clock.Now())
		hop.AbortResponse(w, x.request)
	}
}

func (h *Handler) putCall(c call.Call) {
	t := h.Tables
	t.Board.Do(func(tx *blackboard.Tx) { t.Calls.Put(tx, c.Request.ID, c) }, t.Calls.Write())
}

// updateCall applies change to a call's row if the row still exists.
func (h *Handler) updateCall(id string, change func(call.Call) call.Call) {
	t := h.Tables
	t.Board.Do(func(tx *blackboard.Tx) {
		if row, found := t.Calls.Get(tx, id); found {
			t.Calls.Put(tx, id, change(row))
		}
	}, t.Calls.Write())
}

// endExchange cancels the remaining attempts, closes their responses, and marks
// the call as ended for the controller.
func (h *Handler) endExchange(x *exchange) {
	x.cancelAll()
	h.exchanges.remove(x)
	h.updateCall(x.call.Request.ID, func(c call.Call) call.Call {
		c.Ended = true
		return c
	})
}
