// Package pipeline is an HTTP/1.1 server for callers that pipeline requests. It
// starts each request of a connection as soon as the request is read and writes
// the responses in the order of the requests. The server of net/http reads the
// next request only after it has responded to the one before.
package pipeline

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	account "github.com/marigoldshelf/marigoldshelf/front/clientload"
)

// Limits limits what callers can send and how long they can keep a connection. A
// zero field means no limit.
type Limits struct {
	// MaxHeaderBytes limits the size of a request's line and header.
	MaxHeaderBytes int64
	// HeaderTimeout limits the time from the first byte of a request to the end
	// of its header.
	HeaderTimeout time.Duration
	// IdleTimeout limits the time without a request in flight on a connection.
	IdleTimeout time.Duration
	// MaxBodyBytes limits the size of a request's body.
	MaxBodyBytes int64
	// WriteTimeout limits the time for which a caller can leave the end of a
	// response unread.
	WriteTimeout time.Duration
	// Connections limits the connections, if the server has a ledger.
	Connections int
}

// maxInFlight is the number of requests of one connection that run
// concurrently. Further requests stay unread, so that one caller uses a limited
// part of the node.
const maxInFlight = 16

// Server serves connections. Create it with New.
type Server struct {
	handler http.Handler
	limits  func() Limits
	ledger  *account.Ledger // nil for none

	mu       sync.Mutex
	conns    map[*conn]struct{}
	listener net.Listener
	closing  bool
	connWait sync.WaitGroup
}

// New returns a server. It calls limits for each request, so that changed limits
// also apply to open connections.
// ledger accounts for the memory of the connections; nil means no limit.
func New(handler http.Handler, limits func() Limits, ledger *account.Ledger) *Server {
	return &Server{handler: handler, limits: limits, ledger: ledger, conns: make(map[*conn]struct{})}
}

// Serve accepts connections until Shutdown and then returns nil. It returns an
// error if accepting fails before that.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	for {
		netConn, err := l.Accept()
		if err != nil {
			if s.isClosing() {
				return nil
			}
			return eris.Wrap(err, "pipeline: accept caller's connection")
		}
		s.startConn(netConn)
	}
}

func (s *Server) startConn(netConn net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	c := newConn(s, netConn, ctx, cancel)
	var opened *account.Account
	if s.ledger != nil {
		var accepted bool
		if opened, accepted = s.ledger.Open(listenerName, s.limits().Connections, c.giveWay); !accepted {
			refuse(netConn)
			cancel()
			return
		}
	}
	c.account = opened
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		cancel()
		defer opened.Close()
		_ = netConn.Close() // nothing was read from it
		return
	}
	s.conns[c] = struct{}{}
	s.connWait.Go(func() {
		c.serve()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	})
}

// listenerName is the name of the listener in the ledger.
const listenerName = "callers"

// refusal is the response on a connection that is refused before anything was read
// from it.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// refuse responds without reading a request and closes the connection. The bytes
// fit into the empty send buffer, so it does not block.
func refuse(netConn net.Conn) {
	_ = netConn.SetWriteDeadline(time.Now().Add(errorWriteTimeout))
	_, _ = io.WriteString(netConn, refusal)
	_ = netConn.Close()
}

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// Shutdown closes the listener and idle connections, waits for requests in
// flight, and returns nil when all connections are closed. If ctx ends before
// that, it aborts the remaining connections and returns an error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.closing = true
	if s.listener != nil {
		_ = s.listener.Close() // Serve returns because closing is set
	}
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.closeWhenIdle()
	}
	done := make(chan struct{})
	go func() {
		s.connWait.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		for _, c := range conns {
			c.abort()
		}
		return eris.Wrap(ctx.Err(), "pipeline: wait for requests in flight during shutdown")
	}
}
