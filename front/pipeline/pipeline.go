// Package pipeline serves HTTP/1.1 connections on which callers send requests
// before earlier ones are answered. Each request runs as soon as it is read;
// the answers go out in the order of the requests. net/http's own server reads
// the next request only after it has answered the one before.
package pipeline

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Limits bounds what callers may send, and for how long they may hold a
// connection. A zero field is no bound.
type Limits struct {
	// HeaderBytes bounds a request's head.
	HeaderBytes int64
	// HeaderTimeout bounds the time from a head's first byte to its last.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time between two requests.
	IdleTimeout time.Duration
}

// maxAhead is the number of requests of one connection that run at once. More
// wait unread, so that one caller holds a bounded part of the node.
const maxAhead = 16

// Server serves connections. Make it with New.
type Server struct {
	handler http.Handler
	limits  func() Limits

	mu       sync.Mutex
	conns    map[*conn]struct{}
	listener net.Listener
	closing  bool
	group    sync.WaitGroup
}

// New returns a server. It asks limits anew for each request.
func New(handler http.Handler, limits func() Limits) *Server {
	return &Server{handler: handler, limits: limits, conns: make(map[*conn]struct{})}
}

// Serve accepts connections until Shutdown, or returns why it cannot.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	for {
		plain, err := l.Accept()
		if err != nil {
			if s.isClosing() {
				return nil
			}
			return eris.Wrap(err, "pipeline: accept")
		}
		s.start(plain)
	}
}

func (s *Server) start(plain net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	c := newConn(s, plain, ctx, cancel)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		cancel()
		_ = plain.Close() // nothing was read from it
		return
	}
	s.conns[c] = struct{}{}
	s.group.Go(func() {
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

// Shutdown accepts no more connections, closes those that rest, lets requests
// under way be answered, and returns when every connection is closed or ctx
// ends; then the rest is cut.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.closing = true
	if s.listener != nil {
		_ = s.listener.Close() // Serve returns by closing
	}
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.retire()
	}
	done := make(chan struct{})
	go func() {
		s.group.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		for _, c := range conns {
			c.abort()
		}
		return eris.Wrap(ctx.Err(), "pipeline: shutdown")
	}
}
