package clientload

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"

	decide "github.com/marigoldshelf/marigoldshelf/decide/clientload"
)

// errLimited is the error of reading from a connection that was closed because it
// cannot hold more memory.
var errLimited = eris.New("clientload: connection holds too much memory")

// Listener wraps the listener of a net/http server, whose connections have one
// request at a time. It refuses connections beyond Limit, and closes a connection
// whose request head it cannot account for.
type Listener struct {
	net.Listener
	Ledger *Ledger
	Name   string
	Limit  int
	// Uncharged counts connections only: the memory of their requests is charged
	// elsewhere.
	Uncharged bool
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		netConn, err := l.Listener.Accept()
		if err != nil {
			return nil, err // net/http examines the type
		}
		open := l.Ledger.Open
		if l.Uncharged {
			open = l.Ledger.OpenUncharged
		}
		account, accepted := open(l.Name, l.Limit, func() { _ = netConn.Close() })
		if accepted {
			return &conn{Conn: netConn, account: account, uncharged: l.Uncharged, inHead: !l.Uncharged}, nil
		}
		_ = netConn.Close() // nothing was read from it
	}
}

// conn charges the bytes that it reads until the handler is called.
type conn struct {
	net.Conn
	account   *Account
	uncharged bool

	mu      sync.Mutex
	inHead  bool
	lines   int
	charged int64 // for the current request
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.chargeHead(p[:n]) {
		_ = c.Conn.Close() // the error below reports the cause
		return 0, errLimited
	}
	return n, err
}

func (c *conn) chargeHead(part []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inHead {
		return true
	}
	lines := bytes.Count(part, []byte{'\n'})
	c.lines += lines
	if c.lines > c.account.HeaderLines() {
		c.account.CountHeaderLines()
		return false
	}
	return c.chargeLocked(decide.HeadBytes(len(part), lines))
}

func (c *conn) chargeLocked(n int64) bool {
	if !c.account.Charge(n) {
		return false
	}
	c.charged += n
	return true
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.account.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil // it was closed because of a limit
	}
	return err
}

// beginRequest ends the charging of the head and charges the request's body.
func (c *conn) beginRequest(r *http.Request, maxBody int64) bool {
	c.account.MarkServed()
	if c.uncharged {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead = false
	size := r.ContentLength
	if size < 0 || size > maxBody {
		size = maxBody
	}
	return c.chargeLocked(size * decide.BufferGrowth)
}

// endRequest returns what the request held.
func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account.Release(c.charged)
	c.charged, c.lines, c.inHead = 0, 0, !c.uncharged
}

type connKey struct{}

// Configure makes the server account for its requests. The connections come from a
// Listener; handlers buffer up to maxBody bytes of a request's body. A request
// without memory for its body gets 503.
func Configure(s *http.Server, maxBody int64) {
	s.ConnContext = func(ctx context.Context, netConn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, netConn)
	}
	s.ConnState = func(netConn net.Conn, state http.ConnState) {
		if c, ok := netConn.(*conn); ok && state == http.StateIdle {
			c.endRequest()
		}
	}
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if ok && !c.beginRequest(r, maxBody) {
			w.Header().Set("Retry-After", "1")
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(w, r)
	})
}
