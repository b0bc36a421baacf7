package peer_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/decide/admit"
	"github.com/marigoldshelf/marigoldshelf/decide/drain"
	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
	"github.com/marigoldshelf/marigoldshelf/front/peer"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// countingTransport counts the requests to the backend server.
type countingTransport int

func (c *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	*c++
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: http.NoBody, Request: r}, nil
}

// Guards against a process that acts on a grant that has run out: it is stopped
// for seconds after the request got its slot, and the caller has repeated the
// request elsewhere by then. The refusal must say that the request has not run.
func TestGrantThatHasRunOutIsNotUsed(t *testing.T) {
	for name, pause := range map[string]time.Duration{"in time": 0, "paused": 3 * time.Second} {
		virtual := clock.NewVirtual(time.Unix(1_700_000_000, 0))
		board := tables.New(blackboard.New(blackboard.PanicOnNested()))
		sent := new(countingTransport)
		handler := &peer.Handler{
			Tables: board, Clock: virtual, Host: "h", Service: "desk", BackendAddress: "10.0.0.1:80",
			Dialect: hop.DefaultDialect{}, Transport: sent, IdleTimeout: time.Second, Count: func(verdict.Reason) {},
		}
		// The admission point grants the request, and the process is held up
		// before it goes on.
		board.Admissions.Watch(func(id string) {
			go board.Board.Do(func(tx *blackboard.Tx) {
				row, found := board.Admissions.Get(tx, id)
				if found && row.State == admit.Waiting {
					virtual.Advance(pause)
					row.State, row.Granted = admit.Granted, row.Arrived
					board.Admissions.Put(tx, id, row)
				}
			}, board.Admissions.Write())
		})
		r := httptest.NewRequest(http.MethodPost, "/book", nil)
		hop.Request{AttemptID: "a.0", Target: "h", Service: "desk", Class: mesh.Booking, Timeout: time.Second}.Write(r.Header)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		info := hop.ReadResponseInfo(w.Header())
		if pause == 0 {
			must.Eq(t, 1, int(*sent), must.Sprint(name))
			continue
		}
		must.Eq(t, 0, int(*sent), must.Sprint(name))
		must.Eq(t, verdict.NotRun, info.Verdict)
		must.Eq(t, verdict.DeadlineExceeded, info.Reason)
	}
}

// Guards against a request that runs after its caller has left. The close arrives
// behind a body that is read only after admission, or in place of a body that is
// sent only then, so the server does not see it while the request waits.
func TestRequestWhoseCallerLeftWhileItWaitedIsNotSent(t *testing.T) {
	body := strings.Repeat("b", 300)
	for name, c := range map[string]struct {
		head, body string
		leaves     bool
		want       int64
	}{
		"stays":                    {"Content-Length: 300\r\n", body, false, 1},
		"stays, in chunks":         {"Transfer-Encoding: chunked\r\n", "12c\r\n" + body + "\r\n0\r\n\r\n", false, 1},
		"with a length":            {"Content-Length: 300\r\n", body, true, 0},
		"in chunks":                {"Transfer-Encoding: chunked\r\n", "12c\r\n" + body + "\r\n0\r\n\r\n", true, 0},
		"body sent on admission":   {"Content-Length: 20000\r\nExpect: 100-continue\r\n", "", true, 0},
		"chunks sent on admission": {"Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n", "", true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHeldHandler()
			server := httptest.NewServer(h)
			defer server.Close()
			conn := sendForwarded(t, server, c.head+"\r\n"+c.body)
			defer conn.Close()
			<-h.waiting
			if c.leaves {
				must.NoError(t, conn.Close())
			}
			time.Sleep(100 * time.Millisecond)
			h.grant("a.0")
			<-h.ended
			must.Eq(t, c.want, h.sent.Load())
		})
	}
}

// Guards against a request that reaches a backend server which has left: it got its slot
// before, and its body comes later, or the process was held up. It has not run, and its
// sender learns that before the body comes.
func TestGrantIsNotUsedOnceTheBackendServerDrains(t *testing.T) {
	for name, framing := range map[string]string{
		"body sent on admission":   "Content-Length: 20000\r\nExpect: 100-continue\r\n",
		"chunks sent on admission": "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n",
		"body sent before":         "Content-Length: 0\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			h := newHeldHandler()
			server := httptest.NewServer(h)
			defer server.Close()
			conn := sendForwarded(t, server, framing+"\r\n")
			defer conn.Close()
			must.NoError(t, conn.SetDeadline(time.Now().Add(3*time.Second)))
			<-h.waiting
			drain := func() {
				h.Tables.Board.Do(func(tx *blackboard.Tx) {
					h.Tables.Drain.Set(tx, drain.State{Draining: true})
				}, h.Tables.Drain.Write())
			}
			reader := bufio.NewReader(conn)
			if strings.Contains(framing, "Expect") {
				h.grant("a.0")
				response, err := http.ReadResponse(reader, nil)
				must.NoError(t, err)
				must.Eq(t, http.StatusContinue, response.StatusCode)
				drain()
			} else {
				drain()
				h.grant("a.0")
			}
			response, err := http.ReadResponse(reader, nil)
			must.NoError(t, err)
			info := hop.ReadResponseInfo(response.Header)
			must.Eq(t, verdict.NotRun, info.Verdict)
			must.Eq(t, verdict.Draining, info.Reason)
			must.Eq(t, 0, h.sent.Load())
		})
	}
}

// sendForwarded sends a forwarded request with the ID a.0 on a new connection. rest is
// the end of its head, and its body.
func sendForwarded(t *testing.T, server *httptest.Server, rest string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	must.NoError(t, err)
	header := http.Header{}
	hop.Request{AttemptID: "a.0", Target: "h", Service: "desk", Class: mesh.Booking, Timeout: 5 * time.Second}.Write(header)
	var text strings.Builder
	must.NoError(t, header.Write(&text))
	_, err = io.WriteString(conn, "POST /book HTTP/1.1\r\nHost: shop\r\n"+text.String()+rest)
	must.NoError(t, err)
	return conn
}

// heldHandler is a Handler whose admission point is the test.
type heldHandler struct {
	peer.Handler
	waiting chan struct{} // closed when a request waits for admission
	ended   chan struct{} // closed when the handler has returned
	sent    atomic.Int64  // requests sent to the backend server
}

func newHeldHandler() *heldHandler {
	h := &heldHandler{waiting: make(chan struct{}), ended: make(chan struct{})}
	h.Handler = peer.Handler{
		Tables: tables.New(blackboard.New(blackboard.PanicOnNested())), Clock: clock.System{}, Host: "h", Service: "desk",
		BackendAddress: "10.0.0.1:80", Dialect: hop.DefaultDialect{}, Transport: h, IdleTimeout: 10 * time.Second,
		Count: func(verdict.Reason) {},
	}
	var once sync.Once
	h.Tables.Admissions.Watch(func(string) { once.Do(func() { close(h.waiting) }) })
	return h
}

// ServeHTTP implements http.Handler.
func (h *heldHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer close(h.ended)
	h.Handler.ServeHTTP(w, r)
}

// RoundTrip implements http.RoundTripper as the backend server.
func (h *heldHandler) RoundTrip(r *http.Request) (*http.Response, error) {
	h.sent.Add(1)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: http.NoBody, Request: r}, nil
}

// grant grants a request a slot, if it still waits.
func (h *heldHandler) grant(id string) {
	t := h.Tables
	t.Board.Do(func(tx *blackboard.Tx) {
		if row, found := t.Admissions.Get(tx, id); found && row.State == admit.Waiting {
			row.State, row.Granted = admit.Granted, row.Arrived
			t.Admissions.Put(tx, id, row)
		}
	}, t.Admissions.Write())
}
