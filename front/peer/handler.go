// Package peer is the front end for other nodes, over net/http. It takes each
// request to the admission point and, once it is granted a slot, moves its
// bytes to the node's own backend server and back.
package peer

import (
	"context"
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
	// Transport carries requests to the backend server; it bounds the
	// connections.
	Transport http.RoundTripper
	// Count is told the reason of each refusal and failure.
	Count func(reason verdict.Reason)
}

// ServeHTTP answers one forwarded request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request, err := hop.ReadRequest(r.Header)
	if err != nil {
		h.refuse(w, verdict.New(verdict.NotRun, verdict.BadRequest, err), 0)
		return
	}
	if request.Target != h.Host || request.Service != h.Service {
		h.refuse(w, verdict.New(verdict.NotRun, verdict.WrongHost, nil), 0)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), request.Timeout)
	defer cancel()
	row := h.enter(request)
	defer h.leave(row.ID)
	row, err = h.awaitGrant(ctx, row)
	if err != nil {
		h.refuse(w, verdict.New(verdict.NotRun, verdict.DeadlineExceeded, err), 0)
		return
	}
	if row.State == admit.Refused {
		h.refuse(w, verdict.New(verdict.NotRun, row.Reason, nil), row.RetryAfter)
		return
	}
	h.serve(ctx, w, r, request)
}

// enter puts the request into the table of the admission point.
func (h *Handler) enter(r hop.Request) admit.Request {
	now := h.Clock.Now()
	row := admit.Request{
		ID: r.ID, Class: r.Class, Arrived: now, Deadline: now.Add(r.Timeout), State: admit.Waiting,
	}
	h.put(row)
	return row
}

// leave marks the request as finished, so that its slot goes to another.
func (h *Handler) leave(id string) { h.put(admit.Request{ID: id, State: admit.Finished}) }

func (h *Handler) put(row admit.Request) {
	t := h.Tables
	t.Board.Do(func(tx *blackboard.Tx) { t.Admissions.Put(tx, row.ID, row) }, t.Admissions.Write())
}

func (h *Handler) awaitGrant(ctx context.Context, row admit.Request) (admit.Request, error) {
	return h.Tables.Admissions.Await(ctx, row.ID, func(current admit.Request, found bool) bool {
		return found && current.State != admit.Waiting
	})
}

// serve sends the request to the backend server and its answer back.
func (h *Handler) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, request hop.Request) {
	outgoing, err := h.backendRequest(ctx, r)
	if err != nil {
		h.refuse(w, verdict.New(verdict.NotRun, verdict.BadRequest, err), 0)
		return
	}
	response, err := h.Transport.RoundTrip(outgoing)
	if err != nil {
		h.refuse(w, hop.TransportFailure(err), 0)
		return
	}
	defer response.Body.Close()
	hop.CopyHeaders(w.Header(), response.Header)
	hop.Answer{Verdict: verdict.Ran, Load: h.load()}.Write(w.Header())
	w.WriteHeader(response.StatusCode)
	if err := hop.CopyBody(w, response.Body); err != nil {
		h.Count(verdict.ResponseTruncated)
		panic(http.ErrAbortHandler)
	}
}

func (h *Handler) backendRequest(ctx context.Context, r *http.Request) (*http.Request, error) {
	address := *r.URL
	address.Scheme = "http"
	address.Host = h.Backend
	request, err := http.NewRequestWithContext(ctx, r.Method, address.String(), nil)
	if err != nil {
		return nil, eris.Wrap(err, "backend request")
	}
	hop.CopyHeaders(request.Header, r.Header)
	request.Header.Del("Expect")
	if deadline, ok := ctx.Deadline(); ok {
		hop.WriteTimeout(request.Header, max(deadline.Sub(h.Clock.Now()), time.Millisecond))
	}
	request.Host = r.Host
	request.Body = hop.SingleUse{ReadCloser: r.Body}
	request.ContentLength = r.ContentLength
	return request, nil
}

func (h *Handler) refuse(w http.ResponseWriter, e *verdict.Error, retryAfter time.Duration) {
	h.Count(e.Reason)
	answer := hop.Answer{Verdict: e.Verdict, Reason: e.Reason, Load: h.load(), RetryAfter: retryAfter}
	answer.Write(w.Header())
	w.WriteHeader(http.StatusServiceUnavailable)
}

// load counts the admission point's rows.
func (h *Handler) load() mesh.Load {
	t := h.Tables
	var load mesh.Load
	t.Board.Do(func(tx *blackboard.Tx) {
		load.Slots = t.Limits.Get(tx).Slots
		t.Admissions.Each(tx, func(_ string, r admit.Request) bool {
			switch r.State {
			case admit.Granted:
				load.Busy++
			case admit.Waiting:
				load.Queued++
			}
			return true
		})
	}, t.Limits.Read(), t.Admissions.Read())
	return load
}
