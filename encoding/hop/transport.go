package hop

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/network"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

const (
	dialTimeout = time.Second
	// idleConnTimeout and defaultIdleConnsPerHost limit the memory of idle
	// connections: each holds buffers and goroutines at both ends, and a node has
	// connections to every other node that it sends requests to.
	idleConnTimeout = 15 * time.Second
	// continueTimeout is longer than any deadline: a body with
	// Expect: 100-continue is not sent before the request is admitted.
	continueTimeout        = time.Hour
	maxResponseHeaderBytes = 64 << 10
	// defaultIdleConnsPerHost applies when connections are not bounded.
	defaultIdleConnsPerHost = 4
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
		DialContext:            dialWithTimeout(dialer, true),
		MaxConnsPerHost:        maxConnsPerHost,
		MaxIdleConnsPerHost:    idle,
		IdleConnTimeout:        idleConnTimeout,
		ExpectContinueTimeout:  continueTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
	}
}

// dialWithTimeout returns a dial function that applies dialTimeout and counts
// the bytes written to each connection. With scansHeads it scans the heads of
// responses.
func dialWithTimeout(dialer network.Network, scansHeads bool) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, protocol, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		dialed, err := dialer.DialContext(ctx, protocol, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: dialed, scansHeads: scansHeads}, nil
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

	// scan is set while the head of a response is awaited. framing is that of the
	// last one.
	scansHeads bool
	scanMu     sync.Mutex
	scan       *headScan
	framing    framing
}

// scanHead starts to scan the head of the next response, on a connection of
// NewTransport.
func (c *countingConn) scanHead() {
	if !c.scansHeads {
		return
	}
	c.scanMu.Lock()
	defer c.scanMu.Unlock()
	c.scan, c.framing = &headScan{}, framing{}
}

// addScanned adds received bytes to the scan of a head.
func (c *countingConn) addScanned(p []byte) {
	c.scanMu.Lock()
	defer c.scanMu.Unlock()
	if c.scan != nil && c.scan.add(p) {
		c.framing, c.scan = c.scan.framing, nil
	}
}

// checkFraming returns an error if the framing of the last response contradicts
// itself.
func (c *countingConn) checkFraming() error {
	c.scanMu.Lock()
	defer c.scanMu.Unlock()
	return c.framing.check()
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

// Read implements net.Conn. The end of a connection that was not closed in order is
// io.ErrUnexpectedEOF, so that no body without a length is complete by it.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.scansHeads {
		c.addScanned(p[:n])
	}
	if err == io.EOF && !network.ClosedInOrder(c.Conn) {
		err = io.ErrUnexpectedEOF
	}
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
		c.scanHead()
		return
	}
	u.wrote = true // another type of connection does not count its writes
}

// checkFraming returns an error if the framing of the response contradicts itself.
func (u *connUsage) checkFraming() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conn == nil {
		return nil
	}
	return u.conn.checkFraming()
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
// failure is NotRun if no byte of the request was written to a connection, or none
// of a body that is sent on admission, and MayHaveRun otherwise. A response with an
// invalid status or contradictory framing is a failure. A body that ends with its
// connection is complete only if the request's body was read to its end before.
func Send(transport http.RoundTripper, r *http.Request) (*http.Response, *verdict.Error) {
	usage := &connUsage{}
	trace := &httptrace.ClientTrace{GotConn: usage.gotConn}
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	sent := trackUpload(r)
	response, err := transport.RoundTrip(r)
	if err == nil {
		failure := usage.checkFraming()
		if !isFinalStatus(response.StatusCode) {
			failure = errInvalidStatus
		}
		if failure != nil {
			usage.seal()              // before the connection can be reused
			_ = response.Body.Close() // failure is the more useful error
			return nil, verdict.New(verdict.MayHaveRun, verdict.TransportFailed, failure)
		}
		if !isDelimited(response) {
			response.Body = &undelimitedBody{ReadCloser: response.Body, sent: sent}
		}
		return response, nil
	}
	connected, wrote := usage.seal()
	if IsSentOnAdmission(r) && !sent.started.Load() {
		wrote = false
	}
	return nil, classifyFailure(r.Context(), err, connected, wrote)
}

// IsSentOnAdmission reports whether the body of a request is sent only once the
// receiving node has admitted the request, which does not run without it.
func IsSentOnAdmission(r *http.Request) bool {
	return r.ContentLength != 0 && strings.EqualFold(r.Header.Get("Expect"), "100-continue")
}

// ErrNotAdmitted is the cause with which WithAdmissionTimeout ends a context.
var ErrNotAdmitted = eris.New("hop: the request was not admitted in time")

// WithAdmissionTimeout returns a context that ends if the receiving node has not
// admitted the request after timeout. stop is called once the request has a
// response or has failed.
func WithAdmissionTimeout(ctx context.Context, timeout time.Duration) (_ context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(timeout, func() { cancel(ErrNotAdmitted) })
	trace := &httptrace.ClientTrace{Got100Continue: func() { timer.Stop() }}
	return httptrace.WithClientTrace(ctx, trace), func() { timer.Stop() }
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
	switch cause := context.Cause(ctx); {
	case eris.Is(cause, context.DeadlineExceeded):
		return verdict.DeadlineExceeded
	case eris.Is(cause, ErrNotAdmitted):
		return verdict.NotAdmitted
	}
	return verdict.CallerCanceled
}
