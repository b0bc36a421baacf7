// Package caller is the front end for callers, over net/http. It moves bytes:
// it puts each request into the table Calls, makes the attempts that the
// controller lists there, and reports what came of them.
//
// The first attempts run on the HTTP server's goroutine. A second one beside
// another, a hedge, runs on a worker of the senders' pool.
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

// Config sets a Handler up.
type Config struct {
	Tables *tables.Tables
	Clock  clock.Clock
	// Peers carries requests to other nodes.
	Peers http.RoundTripper
	// Idle bounds the pause between the bytes of a body, and how long a
	// caller may take no byte of its answer.
	Idle time.Duration
	// CheckSend says why a request must not be sent to a backend server now;
	// nil when it may.
	CheckSend func(*http.Request, mesh.Class) *verdict.Error
	// Dialect is how callers word their requests.
	Dialect hop.Dialect
	// Origin is the service beside which the node runs, told to backend
	// servers; empty tells them nothing.
	Origin mesh.ServiceName
	// Count is told the reason of each event.
	Count func(event Event, reason verdict.Reason)
	// Record is told each call that is over and each attempt that failed, for
	// the log; nil for none.
	Record Recorder
	// Stopping reports whether the node stops: connections are then closed
	// after the request that they carry.
	Stopping func() bool
	// Refusing reports whether the node is so near its end that it takes no
	// more requests; nil for never.
	Refusing func() bool
}

// Recorder writes what was decided on a request into the log. It must not
// block.
type Recorder interface {
	// AttemptFailed is told an attempt that brought no answer.
	AttemptFailed(c call.Call, attempt int, o call.Outcome)
	// Refused is told a request that the node answers by itself.
	Refused(c call.Call, now time.Time)
	// Answered is told a request whose answer is passed on.
	Answered(c call.Call, status int, now time.Time)
	// Ended is told a request that ended with neither.
	Ended(c call.Call, reason verdict.Reason, now time.Time)
}

// noRecorder drops everything.
type noRecorder struct{}

func (noRecorder) AttemptFailed(call.Call, int, call.Outcome) {}
func (noRecorder) Refused(call.Call, time.Time)               {}
func (noRecorder) Answered(call.Call, int, time.Time)         {}
func (noRecorder) Ended(call.Call, verdict.Reason, time.Time) {}

// Handler serves callers. It is safe for concurrent use.
type Handler struct {
	Config
	open exchanges
	// prefix and count make the IDs of requests, unique among all nodes.
	prefix string
	count  atomic.Uint64
}

// Event is what Config.Count counts.
type Event string

// The events.
const (
	Refused       Event = "refused"
	AttemptFailed Event = "attempt_failed"
	Retried       Event = "retried"
	Hedged        Event = "hedged"
	// Cut is an answer or request cut short by the other side.
	Cut Event = "cut"
)

// idPrefixBytes is the length of the random part of the requests' IDs: 32 bits,
// so that two of a thousand nodes share one less than once in 8,000 starts.
const idPrefixBytes = 8

// New returns a handler. Its hedges run on the workers of senders.
func New(c Config, senders *controller.Pool) *Handler {
	if c.Dialect == nil {
		c.Dialect = hop.Plain{}
	}
	if c.Record == nil {
		c.Record = noRecorder{}
	}
	h := &Handler{Config: c, prefix: uuid.NewString()[:idPrefixBytes] + "-"}
	handle := controller.Register(senders, "hedge", func(_ time.Time, id string) controller.Result {
		h.hedge(id)
		return controller.Result{}
	})
	c.Tables.Hedges.Watch(handle.Add)
	return h
}

// restartTime is when a caller may come back to a node that stops: its process
// is back by then, or callers have been sent elsewhere.
const restartTime = time.Second

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w = hop.FullDuplex(w, r)
	if h.Stopping() {
		w.Header().Set("Connection", "close")
	}
	if h.Refusing != nil && h.Refusing() {
		h.refuse(w, call.Step{Refusal: verdict.New(verdict.NotRun, verdict.Draining, nil), RetryAfter: restartTime})
		return
	}
	x, failure := h.begin(w, r)
	if failure != nil {
		h.refuse(w, call.Step{Refusal: failure})
		return
	}
	h.open.add(x)
	defer h.end(x)
	h.put(x.call)
	h.run(w, x)
}

func (h *Handler) begin(w http.ResponseWriter, r *http.Request) (*exchange, *verdict.Error) {
	now := h.Clock.Now()
	told, err := h.Dialect.ReadCaller(r.Header)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, err)
	}
	b, failure := newBody(w, r, h.Idle)
	if failure != nil {
		return nil, failure
	}
	request := call.Request{
		ID: h.prefix + strconv.FormatUint(h.count.Add(1), 36), HostName: r.Host, Path: r.URL.Path,
		Arrived: now, Whole: b.whole, Large: b.isLarge(), CallerID: told.ID,
	}
	if told.Timeout > 0 {
		request.Deadline = now.Add(told.Timeout)
	}
	return &exchange{request: r, call: call.Call{Request: request}, body: b}, nil
}

// run makes the attempts of the call until a step ends it.
func (h *Handler) run(w http.ResponseWriter, x *exchange) {
	started := 0
	for {
		next, err := h.nextStep(x.request.Context(), x.call)
		if err != nil {
			h.Count(Refused, verdict.CallerGone)
			h.Record.Ended(x.call, verdict.CallerGone, h.Clock.Now())
			return
		}
		x.call = next
		switch next.Step.Kind {
		case call.Answer:
			h.passOn(w, x, x.take(next.Step.Attempt))
			return
		case call.Refuse:
			x.cancel()
			h.Record.Refused(next, h.Clock.Now())
			h.refuse(w, next.Step)
			return
		}
		for ; started < len(next.Attempts); started++ {
			h.start(x, next, started)
		}
	}
}

// start makes one attempt, unless a sender makes it.
func (h *Handler) start(x *exchange, c call.Call, attempt int) {
	if c.Attempts[attempt].Hedge {
		return
	}
	if attempt > 0 {
		h.Count(Retried, c.Attempts[attempt-1].Outcome.Reason)
	}
	h.attempt(x, c, attempt)
}

// nextStep waits for the step after the one that c shows.
func (h *Handler) nextStep(ctx context.Context, c call.Call) (call.Call, error) {
	return h.Tables.Calls.Await(ctx, c.Request.ID, func(row call.Call, found bool) bool {
		return found && row.Step.Number > c.Step.Number
	})
}

// passOn streams the backend server's answer to the caller. One that is cut
// short ends the caller's connection, so that it cannot be taken for whole.
func (h *Handler) passOn(w http.ResponseWriter, x *exchange, answer *http.Response) {
	defer answer.Body.Close()
	h.Record.Answered(x.call, answer.StatusCode, h.Clock.Now())
	hop.CopyHeaders(w.Header(), answer.Header)
	hop.CopyExhausted(w.Header(), answer.Header)
	h.Dialect.Answer(w.Header())
	if h.Stopping() {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(answer.StatusCode)
	if err := hop.CopyAnswer(w, answer, h.Idle); err != nil {
		h.Count(Cut, verdict.ResponseTruncated)
		h.Record.Ended(x.call, verdict.ResponseTruncated, h.Clock.Now())
		panic(http.ErrAbortHandler)
	}
}

func (h *Handler) put(c call.Call) {
	t := h.Tables
	t.Board.Do(func(tx *blackboard.Tx) { t.Calls.Put(tx, c.Request.ID, c) }, t.Calls.Write())
}

// update changes the row of a call, if it is still there.
func (h *Handler) update(id string, change func(call.Call) call.Call) {
	t := h.Tables
	t.Board.Do(func(tx *blackboard.Tx) {
		if row, found := t.Calls.Get(tx, id); found {
			t.Calls.Put(tx, id, change(row))
		}
	}, t.Calls.Write())
}

// end tells the controller that the request is over, and drops what is left of
// other attempts.
func (h *Handler) end(x *exchange) {
	x.cancel()
	h.open.remove(x)
	h.update(x.call.Request.ID, func(c call.Call) call.Call {
		c.Ended = true
		return c
	})
}
