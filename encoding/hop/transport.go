package hop

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/network"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

const (
	dialTimeout     = time.Second
	idleConnTimeout = time.Minute
	// continueTimeout is longer than any deadline: a body with
	// Expect: 100-continue is not sent before the request is admitted.
	continueTimeout        = time.Hour
	maxResponseHeaderBytes = 64 << 10
	// defaultIdleConnsPerHost applies when connections are not bounded.
	defaultIdleConnsPerHost = 64
)

// NewTransport returns the transport of one hop. It uses HTTP/1.1 with one
// request at a time on a connection, so that no request waits behind the bytes
// of another one. maxConnsPerHost bounds the connections to one address; zero is
// unlimited.
func NewTransport(dialer network.Network, maxConnsPerHost int) *http.Transport {
	idle := maxConnsPerHost
	if idle == 0 {
		idle = defaultIdleConnsPerHost
	}
	return &http.Transport{
		DialContext:            dialWithTimeout(dialer),
		MaxConnsPerHost:        maxConnsPerHost,
		MaxIdleConnsPerHost:    idle,
		IdleConnTimeout:        idleConnTimeout,
		ExpectContinueTimeout:  continueTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
	}
}

// dialWithTimeout returns a dial function that applies dialTimeout and counts
// the bytes written to each connection.
func dialWithTimeout(dialer network.Network) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, protocol, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		dialed, err := dialer.DialContext(ctx, protocol, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: dialed}, nil
	}
}

// countingConn counts the bytes written. A failed request of which no byte was
// written has not left this host.
type countingConn struct {
	net.Conn

	// draining is true once all writes fail and the connection is only read until
	// the other side closes it.
	draining atomic.Bool

	mu      sync.Mutex
	written int64 // bytes
	sealed  bool
}

// Write implements net.Conn. After seal it writes nothing.
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// writtenBytes returns the number of bytes written so far.
func (c *countingConn) writtenBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal closes the connection unless it is draining, prevents further writes and
// returns the final number of bytes written.
func (c *countingConn) seal() int64 {
	if !c.draining.Load() {
		// Closing first unblocks a Write that holds the lock.
		_ = c.Conn.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// connUsage tracks what one request wrote to the connections it was given.
type connUsage struct {
	mu    sync.Mutex
	conn  *countingConn // the latest one
	start int64         // bytes written to conn before the request got it
	wrote bool          // whether the request wrote to an earlier connection
}

// gotConn implements httptrace.ClientTrace.GotConn.
func (u *connUsage) gotConn(info httptrace.GotConnInfo) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conn != nil && u.conn.writtenBytes() > u.start {
		u.wrote = true
	}
	if c, ok := info.Conn.(*countingConn); ok {
		u.conn = c
		u.start = c.writtenBytes()
		return
	}
	u.wrote = true // another type of connection does not count its writes
}

// seal closes the connection. It reports whether the request had a connection,
// and whether any byte of the request was written.
func (u *connUsage) seal() (connected, wrote bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conn == nil {
		return u.wrote, u.wrote
	}
	return true, u.conn.seal() > u.start || u.wrote
}

// Send makes one attempt: it sends the request at most once. The verdict of a
// failure is NotRun if no byte of the request was written to a connection, and
// MayHaveRun otherwise.
func Send(transport http.RoundTripper, r *http.Request) (*http.Response, *verdict.Error) {
	usage := &connUsage{}
	trace := &httptrace.ClientTrace{GotConn: usage.gotConn}
	response, err := transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err == nil {
		return response, nil
	}
	connected, wrote := usage.seal()
	return nil, classifyFailure(r.Context(), err, connected, wrote)
}

func classifyFailure(ctx context.Context, err error, connected, wrote bool) *verdict.Error {
	v := verdict.NotRun
	if wrote {
		v = verdict.MayHaveRun
	}
	switch {
	case ctx.Err() != nil:
		return verdict.New(v, CancelReason(ctx), err)
	case eris.Is(err, ErrSlowSender):
		return verdict.New(v, verdict.SlowSender, err)
	case !connected:
		return verdict.New(v, verdict.ConnectFailed, err)
	}
	return verdict.New(v, verdict.TransportFailed, err)
}

// WithDeadline returns a context that ends after timeout, with the cause
// context.DeadlineExceeded. It covers the response up to the end of its body.
// extend moves the deadline by a duration, unless it has passed; cancel ends the
// context at once.
func WithDeadline(ctx context.Context, timeout time.Duration) (_ context.Context, extend func(time.Duration), cancel func()) {
	ctx, cancelCause := context.WithCancelCause(ctx)
	deadline := time.Now().Add(timeout)
	timer := time.AfterFunc(timeout, func() { cancelCause(context.DeadlineExceeded) })
	extend = func(d time.Duration) {
		if timer.Stop() {
			timer.Reset(time.Until(deadline.Add(d)))
		}
	}
	return ctx, extend, func() {
		timer.Stop()
		cancelCause(context.Canceled)
	}
}

// BodyFailure returns why the body of a response could not be read to its end.
func BodyFailure(r *http.Response) verdict.Reason {
	if r.Request == nil {
		return verdict.ResponseTruncated
	}
	if ctx := r.Request.Context(); ctx.Err() != nil {
		return CancelReason(ctx)
	}
	return verdict.ResponseTruncated
}

// CancelReason returns why the context of a request has ended.
func CancelReason(ctx context.Context) verdict.Reason {
	if eris.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return verdict.DeadlineExceeded
	}
	return verdict.CallerCanceled
}
