package hop

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/network"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

const (
	dialTimeout    = time.Second
	idleTimeout    = time.Minute
	continueWait   = time.Hour // longer than any deadline: the body waits for admission
	maxAnswerBytes = 64 << 10  // of an answer's headers
	idlePerHost    = 64
)

// NewTransport returns the transport of one hop: HTTP/1.1 with one request on
// a connection at a time, so that no request waits behind another's bytes.
// perHost bounds the connections to one address; zero is without bound.
func NewTransport(from network.Network, perHost int) *http.Transport {
	idle := perHost
	if idle == 0 {
		idle = idlePerHost
	}
	return &http.Transport{
		DialContext:            dialWithin(from),
		MaxConnsPerHost:        perHost,
		MaxIdleConnsPerHost:    idle,
		IdleConnTimeout:        idleTimeout,
		ExpectContinueTimeout:  continueWait,
		MaxResponseHeaderBytes: maxAnswerBytes,
		DisableCompression:     true,
	}
}

// dialWithin bounds the time that a connection takes to be made.
func dialWithin(from network.Network) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, kind, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		plain, err := from.DialContext(ctx, kind, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: plain}, nil
	}
}

// conn counts what is written, so that a failed request is known not to have
// left this host when nothing was.
type conn struct {
	net.Conn

	mu      sync.Mutex
	written int64
	sealed  bool
}

// Write implements net.Conn. After seal it writes nothing.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

func (c *conn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal ends the connection and returns how much was ever written.
func (c *conn) seal() int64 {
	// Closing first ends a write that blocks while it holds the lock.
	_ = c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// use is what one request has used of its connections.
type use struct {
	mu    sync.Mutex
	conn  *conn
	start int64
	wrote bool // on an earlier connection
}

func (u *use) got(info httptrace.GotConnInfo) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conn != nil && u.conn.count() > u.start {
		u.wrote = true
	}
	if c, ok := info.Conn.(*conn); ok {
		u.conn = c
		u.start = c.count()
		return
	}
	u.wrote = true // a foreign connection tells nothing
}

// end ends the connection and reports whether anything was written.
func (u *use) end() (connected, wrote bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conn == nil {
		return u.wrote, u.wrote
	}
	return true, u.conn.seal() > u.start || u.wrote
}

// Send makes one attempt: the request goes out at most once. On failure it
// says what is known: the request did not run when no byte of it was written
// to a connection, and may have otherwise.
func Send(transport http.RoundTripper, r *http.Request) (*http.Response, *verdict.Error) {
	u := &use{}
	trace := &httptrace.ClientTrace{GotConn: u.got}
	response, err := transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err == nil {
		return response, nil
	}
	connected, wrote := u.end()
	return nil, failure(r.Context(), err, connected, wrote)
}

func failure(ctx context.Context, err error, connected, wrote bool) *verdict.Error {
	v := verdict.NotRun
	if wrote {
		v = verdict.MayHaveRun
	}
	switch {
	case eris.Is(context.Cause(ctx), context.DeadlineExceeded):
		return verdict.New(v, verdict.DeadlineExceeded, err)
	case ctx.Err() != nil:
		return verdict.New(v, verdict.CallerGone, err)
	case eris.Is(err, ErrSlowSender):
		return verdict.New(v, verdict.SlowSender, err)
	case !connected:
		return verdict.New(v, verdict.ConnectFailed, err)
	}
	return verdict.New(v, verdict.TransportFailed, err)
}

// WithHeadDeadline returns a context that ends at the deadline unless stop is
// called before: once the head of an answer is there, its body may take longer.
// cancel ends it at once.
func WithHeadDeadline(ctx context.Context, left time.Duration) (_ context.Context, stop func() bool, cancel func()) {
	ctx, end := context.WithCancelCause(ctx)
	timer := time.AfterFunc(left, func() { end(context.DeadlineExceeded) })
	return ctx, timer.Stop, func() {
		timer.Stop()
		end(context.Canceled)
	}
}
