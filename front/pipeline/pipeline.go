// Package pipeline is an HTTP/1.1 server for callers that pipeline requests. It
// starts each request of a connection as soon as the request is read and writes
// the responses in the order of the requests. The server of net/http reads the
// next request only after it has responded to the one before.
package pipeline

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
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
}

// maxInFlight is the number of requests of one connection that run
// concurrently. Further requests stay unread, so that one caller uses a limited
// part of the node.
const maxInFlight = 16

// Server serves connections. Create it with New.
type Server struct {
	handler http.Handler
	limits  func() Limits

	mu       sync.Mutex
	conns    map[*conn]struct{}
	listener net.Listener
	closing  bool
	connWait sync.WaitGroup
}

// New returns a server. It calls limits for each request, so that changed limits
// also apply to open connections.
func New(handler http.Handler, limits func() Limits) *Server {
	return &Server{handler: handler, limits: limits, conns: make(map[*conn]struct{})}
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
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		cancel()
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
