package peer_test

import (
	"context"
	"fmt"
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
	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
	"github.com/marigoldshelf/marigoldshelf/front/peer"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/network"
	"github.com/marigoldshelf/marigoldshelf/tables"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// strictBackend is a backend server that counts the requests which it still runs
// when another one arrives. It drops a request when its connection closes.
type strictBackend struct {
	running, over atomic.Int64
	// started gets a value when a request that hangs has started.
	started chan struct{}
}

// ServeHTTP implements http.Handler. The path says how the request ends.
func (b *strictBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if b.running.Add(1) > 1 {
		b.over.Add(1)
	}
	defer b.running.Add(-1)
	switch r.URL.Path {
	case "/answer":
	case "/hang":
		b.started <- struct{}{}
		<-r.Context().Done()
	case "/cut":
		w.Header().Set("Content-Length", "100000")
		_, _ = fmt.Fprint(w, strings.Repeat("x", 70_000))
		panic(http.ErrAbortHandler)
	case "/endless":
		_, _ = fmt.Fprint(w, strings.Repeat("x", 70_000))
		_ = http.NewResponseController(w).Flush()
		b.started <- struct{}{}
		<-r.Context().Done()
	}
}

// openConns counts the connections that are open.
type openConns struct {
	network.System
	open atomic.Int64
}

// DialContext implements network.Network.
func (n *openConns) DialContext(ctx context.Context, protocol, address string) (net.Conn, error) {
	c, err := n.System.DialContext(ctx, protocol, address)
	if err != nil {
		return nil, err
	}
	n.open.Add(1)
	return &trackedConn{TCPConn: c.(*net.TCPConn), closed: sync.OnceFunc(func() { n.open.Add(-1) })}, nil
}

// trackedConn calls closed when it is closed.
type trackedConn struct {
	*net.TCPConn
	closed func()
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	err := c.TCPConn.Close()
	c.closed()
	return err
}

// slotFixture is a Handler that grants every request, in front of a strictBackend.
type slotFixture struct {
	handler *peer.Handler
	backend *strictBackend
	conns   *openConns
	// openAtFinish is the number of open connections when the last slot was given
	// back.
	openAtFinish atomic.Int64
	count        int
}

func newSlotFixture(t *testing.T) *slotFixture {
	f := &slotFixture{backend: &strictBackend{started: make(chan struct{}, 1)}, conns: &openConns{}}
	server := httptest.NewServer(f.backend)
	t.Cleanup(server.Close)
	board := tables.New(blackboard.New(blackboard.PanicOnNested()))
	pool := &hop.Pool{Network: f.conns}
	t.Cleanup(pool.CloseIdleConnections)
	f.handler = &peer.Handler{
		Tables: board, Clock: clock.System{}, Host: "h", Service: "desk", BackendAddress: server.Listener.Addr().String(),
		Dialect: hop.DefaultDialect{}, Transport: pool, IdleTimeout: time.Second, Count: func(verdict.Reason) {},
	}
	board.Admissions.Watch(func(id string) {
		f.openAtFinish.Store(f.conns.open.Load()) // the last change of the row is its end
		go board.Board.Do(func(tx *blackboard.Tx) {
			if row, found := board.Admissions.Get(tx, id); found && row.State == admit.Waiting {
				row.State, row.Granted = admit.Granted, row.Arrived
				board.Admissions.Put(tx, id, row)
			}
		}, board.Admissions.Write())
	})
	return f
}

// serve sends one request through the handler. If leaves is true, the caller leaves
// once the backend server runs the request.
func (f *slotFixture) serve(path string, timeout time.Duration, leaves bool) {
	f.count++
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := httptest.NewRequest(http.MethodGet, path, nil).WithContext(ctx)
	hop.Request{AttemptID: fmt.Sprint(f.count), Target: "h", Service: "desk", Class: mesh.Lookup, Timeout: timeout}.Write(r.Header)
	if leaves {
		go func() {
			<-f.backend.started
			cancel()
		}()
	}
	defer func() { _ = recover() }() // the handler aborts a response that is cut
	defer f.awaitFinished(fmt.Sprint(f.count))
	f.handler.ServeHTTP(httptest.NewRecorder(), r)
}

// awaitFinished waits until the slot of a request was given back.
func (f *slotFixture) awaitFinished(id string) {
	_, _ = f.handler.Tables.Admissions.Await(context.Background(), id, func(row admit.Request, _ bool) bool {
		return row.State == admit.Finished
	})
}

// endings are the ways in which a request ends while the backend server possibly
// runs it.
var endings = map[string]struct {
	path    string
	timeout time.Duration
	leaves  bool
}{
	"caller leaves before the response":  {"/hang", 5 * time.Second, true},
	"caller leaves during the response":  {"/endless", 5 * time.Second, true},
	"deadline passes before the head":    {"/hang", 20 * time.Millisecond, false},
	"deadline passes during the body":    {"/endless", 20 * time.Millisecond, false},
	"backend server cuts the response":   {"/cut", 5 * time.Second, false},
	"response ends (without other ends)": {"/answer", 5 * time.Second, false},
}

// Deployment A: backend servers reset connections when they are full. Guards
// against a slot that is given back while the connection of a request that has not
// ended is still open, so that the backend server goes on with it.
func TestSlotIsGivenBackAfterTheConnectionIsClosed(t *testing.T) {
	for name, e := range endings {
		t.Run(name, func(t *testing.T) {
			f := newSlotFixture(t)
			f.serve(e.path, e.timeout, e.leaves)
			idle := int64(0)
			if e.path == "/answer" {
				idle = 1 // kept for the next request
			}
			must.Eq(t, idle, f.openAtFinish.Load())
		})
	}
}

// Guards against a backend server that still runs a request whose slot was given
// back when it receives the next one. It learns of a closed connection only after
// the close.
func TestBackendRunsNoRequestWhoseSlotWasGivenBack(t *testing.T) {
	for name, e := range endings {
		t.Run(name, func(t *testing.T) {
			f := newSlotFixture(t)
			for range 100 {
				f.serve(e.path, e.timeout, e.leaves)
				select {
				case <-f.backend.started:
				default:
				}
				f.serve("/answer", time.Second, false)
			}
			must.Zero(t, f.backend.over.Load())
		})
	}
}
