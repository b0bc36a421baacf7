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
	// Count is told the reason of each event.
	Count func(event Event, reason verdict.Reason)
	// Stopping reports whether the node stops: connections are then closed
	// after the request that they carry.
	Stopping func() bool
}

// Handler serves callers. It is safe for concurrent use.
type Handler struct {
	Config
	open exchanges
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

// New returns a handler. Its hedges run on the workers of senders.
func New(c Config, senders *controller.Pool) *Handler {
	h := &Handler{Config: c}
	handle := controller.Register(senders, "hedge", func(_ time.Time, id string) controller.Result {
		h.hedge(id)
		return controller.Result{}
	})
	c.Tables.Hedges.Watch(handle.Add)
	return h
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w = hop.FullDuplex(w, r)
	if h.Stopping() {
		w.Header().Set("Connection", "close")
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
	timeout, err := hop.ReadTimeout(r.Header)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, err)
	}
	b, failure := newBody(w, r, h.Idle)
	if failure != nil {
		return nil, failure
	}
	request := call.Request{
		ID: uuid.NewString(), HostName: r.Host, Path: r.URL.Path, Arrived: now, Whole: b.whole,
	}
	if timeout > 0 {
		request.Deadline = now.Add(timeout)
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
			return
		}
		x.call = next
		switch next.Step.Kind {
		case call.Answer:
			h.passOn(w, x.take(next.Step.Attempt))
			return
		case call.Refuse:
			x.cancel()
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
func (h *Handler) passOn(w http.ResponseWriter, answer *http.Response) {
	defer answer.Body.Close()
	hop.CopyHeaders(w.Header(), answer.Header)
	hop.CopyExhausted(w.Header(), answer.Header)
	w.Header().Set(hop.HeaderVerdict, verdict.Ran.String())
	if h.Stopping() {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(answer.StatusCode)
	if err := hop.CopyAnswer(w, answer, h.Idle); err != nil {
		h.Count(Cut, verdict.ResponseTruncated)
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
