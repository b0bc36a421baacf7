package hop

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/network"
)

const (
	// maxMismatched is the number of responses to other requests that are skipped
	// on a connection before it is closed.
	maxMismatched = 2
	// maxMismatchedBytes bounds the body of such a response.
	maxMismatchedBytes = 1 << 20
	// defaultMaxIdle is how long a connection stays idle before it is no longer
	// used, if the backend server sends no Keep-Alive timeout.
	defaultMaxIdle = 4 * time.Second
	// keepAliveFraction is the fraction of the Keep-Alive timeout that is used, so
	// that no request is sent while the backend server closes the connection.
	keepAliveFraction = 0.7
	// maxResponseHeadsBytes bounds the heads that are read for one request:
	// interim responses, skipped responses and the response itself.
	maxResponseHeadsBytes = maxResponseHeaderBytes
	// connBufferBytes is the size of each of a connection's buffers.
	connBufferBytes = 4 << 10
)

// errMismatched: the responses on the connection belong to other requests.
var errMismatched = eris.New("hop: the connection carries responses to other requests")

// Pool is a connection pool for one backend server. Unlike http.Transport it
// detects responses to other requests, never resends a request, and checks
// before it sends a request that an idle connection was not closed and holds no
// stray bytes. It is safe for concurrent use.
type Pool struct {
	// Network opens connections.
	Network network.Network
	// MaxConnections returns the maximum number of connections, including those
	// in use; zero is unlimited, as is a nil function.
	MaxConnections func() int
	// IsResponseTo reports whether a response belongs to the request; nil accepts
	// every response.
	IsResponseTo func(response *http.Response, sent *http.Request) bool
	// IsAuthentic reports whether a response is certain to be the one to the
	// request. After any other one the connection is closed, because the response
	// to the request may still follow on it. Nil accepts every response.
	IsAuthentic func(response *http.Response, sent *http.Request) bool

	mu   sync.Mutex
	idle []*poolConn // the most recently used one is last
	open int         // connections in use, idle or being dialed
}

// poolConn is one connection to the backend server.
type poolConn struct {
	*countingConn
	address   string
	heads     *HeadReader // below source
	source    *headSource // below reader
	reader    *bufio.Reader
	writer    *bufio.Writer
	idleSince time.Time
	maxIdle   time.Duration
	// interrupted makes interrupt take effect once.
	interrupted sync.Once
}

// RoundTrip implements http.RoundTripper. The response body must be closed.
func (p *Pool) RoundTrip(r *http.Request) (*http.Response, error) {
	c, reused, err := p.get(r.Context(), r.URL.Host)
	if err != nil {
		return nil, err
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{Conn: c.countingConn, Reused: reused})
	}
	tracker := releaseTrackerOf(r.Context())
	end := c.interrupt
	if tracker == nil {
		end = func() { _ = c.Close() }
	}
	stop := context.AfterFunc(r.Context(), end)
	written := c.write(r)
	response, err := c.read(r, p.IsResponseTo)
	if err != nil {
		stop()
		p.abandon(c, tracker)
		if cause := context.Cause(r.Context()); cause != nil {
			return nil, cause
		}
		return nil, err
	}
	c.maxIdle = maxIdleFrom(response.Header)
	isAuthentic := p.IsAuthentic == nil || p.IsAuthentic(response, r)
	response.Body = &poolBody{
		ReadCloser: response.Body, pool: p, conn: c, tracker: tracker, stop: stop, written: written,
		keepAlive: isAuthentic && !response.Close && !r.Close, empty: response.ContentLength == 0 || response.Body == http.NoBody,
	}
	return response, nil
}

// write sends the request. A request with a body is sent in the background,
// because the response can arrive before the body is sent. The result is sent to
// written.
func (c *poolConn) write(r *http.Request) (written <-chan error) {
	done := make(chan error, 1)
	send := func() {
		err := r.Write(c.writer)
		if err == nil {
			err = c.writer.Flush()
		}
		if err != nil {
			// The reader then sees the end of the connection. It first reads a
			// response that was already received, such as a refusal.
			done <- err
			return
		}
		done <- nil
	}
	if r.ContentLength == 0 {
		// A received request with length zero has no body. Request.Write takes
		// zero with a body for an unknown length and would send an empty chunked
		// body.
		withoutBody := *r
		withoutBody.Body = http.NoBody
		r = &withoutBody
		send()
		return done
	}
	go send()
	return done
}

// read returns the response to the request. It skips interim responses and those
// to other requests.
func (c *poolConn) read(r *http.Request, isResponseTo func(*http.Response, *http.Request) bool) (*http.Response, error) {
	headBytes := int64(maxResponseHeadsBytes)
	for skipped := 0; skipped <= maxMismatched; {
		response, err := c.readHead(r, &headBytes)
		if err != nil {
			return nil, eris.Wrap(err, "hop: read response")
		}
		if isInterimStatus(response.StatusCode) {
			continue
		}
		if !isFinalStatus(response.StatusCode) {
			return nil, errInvalidStatus
		}
		if isResponseTo == nil || isResponseTo(response, r) {
			return response, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxMismatchedBytes))
		if err != nil || n == maxMismatchedBytes || response.Close {
			return nil, errMismatched
		}
		skipped++
	}
	return nil, errMismatched
}

// readHead reads one response up to its body. The bytes read are taken from
// budget, those of a body that is already buffered included.
func (c *poolConn) readHead(r *http.Request, budget *int64) (*http.Response, error) {
	c.heads.Limit(*budget)
	defer func() {
		*budget = c.heads.remaining
		c.heads.Unlimit()
	}()
	if err := c.checkFraming(); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, r)
}

// get returns an idle connection to address or opens a new one.
func (p *Pool) get(ctx context.Context, address string) (c *poolConn, reused bool, err error) {
	for {
		c := p.popIdle()
		if c == nil {
			break
		}
		if c.address == address && c.usable() {
			return c, true, nil
		}
		p.drop(c)
	}
	if !p.reserve() {
		return nil, false, eris.New("hop: limit of connections to the backend server reached")
	}
	dialed, err := dialWithTimeout(p.Network, false)(ctx, "tcp", address)
	if err != nil {
		p.release()
		return nil, false, err
	}
	heads := NewHeadReader(dialed)
	source := &headSource{heads: heads}
	return &poolConn{
		countingConn: dialed.(*countingConn), address: address, maxIdle: defaultMaxIdle, heads: heads, source: source,
		reader: bufio.NewReaderSize(source, connBufferBytes), writer: bufio.NewWriterSize(dialed, connBufferBytes),
	}, false, nil
}

// popIdle removes and returns the most recently used idle connection, or nil.
func (p *Pool) popIdle() *poolConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

// reserve counts a new connection. It returns false if the limit is reached.
func (p *Pool) reserve() bool {
	limit := 0
	if p.MaxConnections != nil {
		limit = p.MaxConnections()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit > 0 && p.open >= limit {
		return false
	}
	p.open++
	return true
}

// release undoes reserve.
func (p *Pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// drop closes a connection.
func (p *Pool) drop(c *poolConn) {
	_ = c.Close() // no response is expected on it
	p.release()
}

// put adds a connection to the idle ones.
func (p *Pool) put(c *poolConn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

// CloseIdleConnections closes the idle connections.
func (p *Pool) CloseIdleConnections() {
	for c := p.popIdle(); c != nil; c = p.popIdle() {
		p.drop(c)
	}
}

// usable reports whether an idle connection can carry a request: it was not idle
// for too long, was not closed by the other side, and holds no stray bytes.
func (c *poolConn) usable() bool {
	return time.Since(c.idleSince) < c.maxIdle && !c.hasUnread() && network.IsReusable(c.Conn)
}

// poolBody returns its connection to the pool at the end of the response body.
type poolBody struct {
	io.ReadCloser
	pool      *Pool
	conn      *poolConn
	tracker   *ReleaseTracker
	stop      func() bool // detaches the connection from the request's context
	written   <-chan error
	keepAlive bool // neither side requested to close the connection
	empty     bool
	once      sync.Once
}

// Read implements io.Reader.
func (b *poolBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.finish(true)
	} else if err != nil {
		b.finish(false)
	}
	return n, err
}

// Close implements io.Closer. It closes the connection unless the body was read
// to its end or is empty.
func (b *poolBody) Close() error {
	b.finish(b.empty)
	return nil
}

// finish returns the connection to the pool if it can be reused, and closes it
// otherwise. Only the first call has an effect.
func (b *poolBody) finish(atEnd bool) {
	b.once.Do(func() {
		notCanceled := b.stop()
		if atEnd && notCanceled && b.keepAlive && b.requestSent() && !b.conn.hasUnread() {
			b.pool.put(b.conn)
			return
		}
		if !atEnd {
			b.pool.abandon(b.conn, b.tracker)
			return
		}
		b.pool.drop(b.conn)
	})
}

// requestSent reports whether the whole request was written. A response can
// arrive before that; on a reused connection, the backend server would then take
// the rest of the body for another request.
func (b *poolBody) requestSent() bool {
	select {
	case err := <-b.written:
		return err == nil
	default:
		return false
	}
}

// maxIdleFrom returns how long a connection can stay idle, by the timeout in the
// Keep-Alive header of a response.
func maxIdleFrom(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Duration(keepAliveFraction * float64(seconds) * float64(time.Second))
		}
	}
	return defaultMaxIdle
}
