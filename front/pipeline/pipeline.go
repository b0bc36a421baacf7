// Package pipeline is an HTTP/1.1 server for clients that the node does not
// control. It charges what a client sends before it keeps it, and refuses a request
// for which there is no memory. It starts each request of a connection as soon as
// the request is read and writes the responses in the order of the requests. The
// server of net/http reads the next request only after it has responded to the one
// before.
package pipeline

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	account "github.com/marigoldshelf/marigoldshelf/front/clientload"
	"github.com/marigoldshelf/marigoldshelf/verdict"
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
	// Connections limits the connections of the listener, if the server has a ledger.
	Connections int
}

// maxInFlight is the number of requests of one connection that run
// concurrently. Further requests stay unread, so that one caller uses a limited
// part of the node.
const maxInFlight = 16

// Config configures a Server.
type Config struct {
	Handler http.Handler
	// Limits is called for each request, so that changed limits also apply to open
	// connections.
	Limits func() Limits
	// Ledger accounts for the memory of the connections; nil means no limit.
	// Listener is the server's listener in the ledger.
	Ledger   *account.Ledger
	Listener account.Listener
	// BufferedBytes returns the length of the part of a request's body that the
	// handler buffers before it acts on the request. Nil means 64 KiB, and none of a
	// longer body whose length is stated.
	BufferedBytes func(*http.Request) int64
	// AddRefusalHeaders adds headers to the response to a request that the server
	// itself refuses, which has not run; nil means none.
	AddRefusalHeaders func(h http.Header, reason verdict.Reason)
	// OnPanic is called when the handler panics with another value than
	// http.ErrAbortHandler; nil means not called. The response is aborted.
	OnPanic func(value any, stack []byte)
}

// Server serves connections. Create it with New.
type Server struct {
	Config

	mu       sync.Mutex
	conns    map[*conn]struct{}
	listener net.Listener
	closing  bool
	connWait sync.WaitGroup
}

// New returns a server.
func New(c Config) *Server {
	if c.BufferedBytes == nil {
		c.BufferedBytes = bufferedBytes
	}
	return &Server{Config: c, conns: make(map[*conn]struct{})}
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
	if s.Ledger != nil {
		var accepted bool
		if opened, accepted = s.Ledger.Open(s.Listener, s.Limits().Connections, c); !accepted {
			s.refuse(netConn)
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

// refuse responds without reading a request and closes the connection. The bytes
// fit into the empty send buffer, so it does not block.
func (s *Server) refuse(netConn net.Conn) {
	_ = netConn.SetWriteDeadline(time.Now().Add(errorWriteTimeout))
	_, _ = netConn.Write(s.refusal(http.StatusServiceUnavailable, verdict.ClientMemory))
	_ = netConn.Close()
}

// refusal returns the response to a request that has not run. It closes the
// connection.
func (s *Server) refusal(status int, reason verdict.Reason) []byte {
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 " + statusLine(status) + "\r\n")
	_ = s.refusalHeader(status, reason).Write(&b) // a buffer takes all
	b.WriteString("Connection: close\r\nContent-Length: 0\r\n\r\n")
	return b.Bytes()
}

// retryAfter is the Retry-After of a refused request, in seconds.
const retryAfter = "1"

func (s *Server) refusalHeader(status int, reason verdict.Reason) http.Header {
	h := make(http.Header)
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", retryAfter)
	}
	if s.AddRefusalHeaders != nil {
		s.AddRefusalHeaders(h, reason)
	}
	return h
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
