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
	// maxForeign is the number of answers to other requests that are skipped
	// on a connection before it is given up.
	maxForeign = 2
	// maxForeignBytes bounds the body of such an answer, in bytes.
	maxForeignBytes = 1 << 20
	// defaultRest is how long a connection may rest when the backend server
	// does not tell, and restShare the part of what it tells that is used: a
	// request must not cross its closing.
	defaultRest = 4 * time.Second
	restShare   = 0.7
	// poolBuffer is the size of a connection's buffers, in bytes.
	poolBuffer = 4 << 10
)

// errForeign: the answers on the connection belong to other requests.
var errForeign = eris.New("hop: answers to other requests")

// Pool carries requests to one backend server. Unlike http.Transport it tells
// an answer to another request from the one that is due, sends nothing twice,
// and notices before a request is sent that a resting connection was closed or
// has stray bytes. It is safe for concurrent use.
type Pool struct {
	// Network opens connections.
	Network network.Network
	// Limit bounds the connections, those in use included; zero for no bound.
	Limit func() int
	// Belongs reports whether an answer belongs to the request.
	Belongs func(answer *http.Response, sent *http.Request) bool

	mu   sync.Mutex
	idle []*poolConn // the one used last at the end
	open int
}

// poolConn is one connection to the backend server.
type poolConn struct {
	*conn
	address string
	reader  *bufio.Reader
	writer  *bufio.Writer
	rested  time.Time
	rest    time.Duration
}

// RoundTrip implements http.RoundTripper. The answer's body must be closed.
func (p *Pool) RoundTrip(r *http.Request) (*http.Response, error) {
	c, reused, err := p.get(r.Context(), r.URL.Host)
	if err != nil {
		return nil, err
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{Conn: c.conn, Reused: reused})
	}
	stop := context.AfterFunc(r.Context(), func() { _ = c.Close() })
	written := c.write(r)
	response, err := c.read(r, p.Belongs)
	if err != nil {
		stop()
		p.drop(c)
		if ctx := context.Cause(r.Context()); ctx != nil {
			return nil, ctx
		}
		return nil, err
	}
	c.rest = restOf(response.Header)
	response.Body = &poolBody{
		ReadCloser: response.Body, pool: p, conn: c, stop: stop, written: written,
		keep: !response.Close && !r.Close, empty: response.ContentLength == 0 || response.Body == http.NoBody,
	}
	return response, nil
}

// write sends the request. One with a body is sent beside the reading of the
// answer, which may come first.
func (c *poolConn) write(r *http.Request) (written <-chan error) {
	done := make(chan error, 1)
	send := func() {
		err := r.Write(c.writer)
		if err == nil {
			err = c.writer.Flush()
		}
		if err != nil {
			// The reader then sees the connection's end. What was told before,
			// such as a refusal, is still read first.
			done <- err
			return
		}
		done <- nil
	}
	if r.ContentLength == 0 {
		// The length of a request that was received: it has no body. Sending
		// one as unknown would add a chunked, empty body.
		bare := *r
		bare.Body = http.NoBody
		r = &bare
		send()
		return done
	}
	go send()
	return done
}

// read returns the answer to the request; answers to others are skipped.
func (c *poolConn) read(r *http.Request, belongs func(*http.Response, *http.Request) bool) (*http.Response, error) {
	for skipped := 0; skipped <= maxForeign; {
		response, err := http.ReadResponse(c.reader, r)
		if err != nil {
			return nil, eris.Wrap(err, "read answer")
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		if belongs == nil || belongs(response, r) {
			return response, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBytes))
		if err != nil || n == maxForeignBytes || response.Close {
			return nil, errForeign
		}
		skipped++
	}
	return nil, errForeign
}

// get takes a resting connection or opens one.
func (p *Pool) get(ctx context.Context, address string) (c *poolConn, reused bool, err error) {
	for {
		c := p.takeIdle()
		if c == nil {
			break
		}
		if c.address == address && c.usable() {
			return c, true, nil
		}
		p.drop(c)
	}
	if !p.reserve() {
		return nil, false, eris.New("hop: no connection to the backend server is free")
	}
	plain, err := dialWithin(p.Network)(ctx, "tcp", address)
	if err != nil {
		p.release()
		return nil, false, err
	}
	return &poolConn{
		conn: plain.(*conn), address: address, rest: defaultRest,
		reader: bufio.NewReaderSize(plain, poolBuffer), writer: bufio.NewWriterSize(plain, poolBuffer),
	}, false, nil
}

func (p *Pool) takeIdle() *poolConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

func (p *Pool) reserve() bool {
	limit := 0
	if p.Limit != nil {
		limit = p.Limit()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit > 0 && p.open >= limit {
		return false
	}
	p.open++
	return true
}

func (p *Pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// drop closes a connection that is not used again.
func (p *Pool) drop(c *poolConn) {
	_ = c.Close() // nothing more is expected from it
	p.release()
}

// put lets the connection rest.
func (p *Pool) put(c *poolConn) {
	c.rested = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

// CloseIdleConnections closes the resting connections.
func (p *Pool) CloseIdleConnections() {
	for c := p.takeIdle(); c != nil; c = p.takeIdle() {
		p.drop(c)
	}
}

// usable reports whether a resting connection can carry a request: it has not
// rested too long, was not closed by the other side, and holds no stray bytes.
func (c *poolConn) usable() bool {
	return time.Since(c.rested) < c.rest && c.reader.Buffered() == 0 && network.IsQuiet(c.Conn)
}

// poolBody gives its connection back at the end of the answer's body.
type poolBody struct {
	io.ReadCloser
	pool    *Pool
	conn    *poolConn
	stop    func() bool
	written <-chan error
	keep    bool
	empty   bool
	once    sync.Once
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

// Close implements io.Closer. Before the body's end it closes the connection.
func (b *poolBody) Close() error {
	b.finish(b.empty)
	return nil
}

func (b *poolBody) finish(whole bool) {
	b.once.Do(func() {
		alive := b.stop()
		if whole && alive && b.keep && b.sent() && b.conn.reader.Buffered() == 0 {
			b.pool.put(b.conn)
			return
		}
		b.pool.drop(b.conn)
	})
}

// sent reports whether the whole request was written: an answer may come
// before, and what is left of the body must not be taken for another request.
func (b *poolBody) sent() bool {
	select {
	case err := <-b.written:
		return err == nil
	default:
		return false
	}
}

// restOf reads how long the backend server lets a connection rest.
func restOf(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Duration(restShare * float64(seconds) * float64(time.Second))
		}
	}
	return defaultRest
}
