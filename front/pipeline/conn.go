package pipeline

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// bufferBytes is the size of a connection's read and write buffers.
const bufferBytes = 4 << 10

// conn is one caller's connection.
type conn struct {
	server *Server
	net    net.Conn
	head   headLimit
	reader *bufio.Reader
	writer *bufio.Writer
	ctx    context.Context
	cancel context.CancelFunc
	slots  chan struct{} // one for each request under way

	mu       sync.Mutex
	last     *exchange // the request read last
	open     int       // requests under way
	rested   time.Time // when the last of them ended
	retiring bool      // to be closed once nothing is under way
	closed   bool      // an answer told the caller that the connection ends
	group    sync.WaitGroup
}

// headLimit bounds the bytes that are read while it is set.
type headLimit struct {
	from io.Reader
	left int64 // below zero: no bound
}

// errHeadTooLong: the head of a request is longer than allowed.
var errHeadTooLong = errors.New("pipeline: head of the request too long")

// Read implements io.Reader.
func (h *headLimit) Read(p []byte) (int, error) {
	if h.left < 0 {
		return h.from.Read(p)
	}
	if h.left == 0 {
		return 0, errHeadTooLong
	}
	if int64(len(p)) > h.left {
		p = p[:h.left]
	}
	n, err := h.from.Read(p)
	h.left -= int64(n)
	return n, err
}

func newConn(s *Server, plain net.Conn, ctx context.Context, cancel context.CancelFunc) *conn {
	c := &conn{server: s, net: plain, ctx: ctx, cancel: cancel, slots: make(chan struct{}, maxAhead)}
	c.head = headLimit{from: plain, left: -1}
	c.reader = bufio.NewReaderSize(&c.head, bufferBytes)
	c.writer = bufio.NewWriterSize(plain, bufferBytes)
	return c
}

// serve reads requests until the connection ends, and returns when all of them
// are over.
func (c *conn) serve() {
	for c.next() {
	}
	c.group.Wait()
	c.cancel()
	_ = c.net.Close() // every answer was flushed
}

// next reads one request and starts it; false ends the connection.
func (c *conn) next() bool {
	limits := c.server.limits()
	if !c.awaitFirstByte(limits) {
		return false
	}
	if limits.HeaderTimeout > 0 {
		_ = c.net.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	}
	if limits.HeaderBytes > 0 {
		c.head.left = max(limits.HeaderBytes-int64(c.reader.Buffered()), 0)
	}
	request, err := http.ReadRequest(c.reader)
	c.head.left = -1
	_ = c.net.SetReadDeadline(time.Time{})
	if err != nil {
		c.refuseHead(err)
		return false
	}
	request.RemoteAddr = c.net.RemoteAddr().String()
	c.slots <- struct{}{}
	x, ok := c.begin(request)
	if !ok {
		return false
	}
	c.group.Go(func() { x.run(c.server.handler) })
	if x.body == nil {
		return true
	}
	// The next request begins where this one's body ends.
	<-x.body.over
	return x.body.ended
}

// awaitFirstByte waits for a request. A connection with requests under way is
// never idle; that a caller leaves is noticed all the same.
func (c *conn) awaitFirstByte(limits Limits) bool {
	for {
		if limits.IdleTimeout > 0 && c.reader.Buffered() == 0 {
			_ = c.net.SetReadDeadline(c.idleEnd(limits.IdleTimeout))
		}
		if !c.mayRead() {
			return false
		}
		_, err := c.reader.Peek(1)
		if err == nil {
			return c.mayRead()
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && c.mayRest(limits.IdleTimeout) {
			continue
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel() // the caller is gone, and wants no answer
		}
		return false
	}
}

// begin puts the request behind those before it; false when the connection is
// to end without it.
func (c *conn) begin(request *http.Request) (*exchange, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, false
	}
	x := newExchange(c, request, c.last)
	c.last = x
	c.open++
	return x, true
}

// mayRead reports whether another request may be taken.
func (c *conn) mayRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && !(c.retiring && c.reader.Buffered() == 0 && c.open == 0)
}

// idleEnd is when the connection has rested for so long, should nothing happen
// until then.
func (c *conn) idleEnd(limit time.Duration) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open > 0 || c.rested.IsZero() {
		return time.Now().Add(limit)
	}
	return c.rested.Add(limit)
}

// mayRest reports whether a connection on which nothing came stays open: a
// request is under way, or ended less than the limit ago.
func (c *conn) mayRest(limit time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.retiring && !c.closed && (c.open > 0 || limit > 0 && time.Since(c.rested) < limit)
}

func (c *conn) underWay() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// retire ends the connection as soon as nothing is under way on it: an idle
// one now, another with its last answer.
func (c *conn) retire() {
	c.mu.Lock()
	c.retiring = true
	c.mu.Unlock()
	// The reader looks up; a request whose head is being read goes on.
	if c.underWay() == 0 {
		_ = c.net.SetReadDeadline(time.Now())
	}
}

// abort cuts the connection.
func (c *conn) abort() {
	c.cancel()
	_ = c.net.Close() // its reader and writers then end
}

// mayClose reports whether the answer of x may end the connection: only when
// no request was read behind it, since a caller sends those again. It decides
// so for good.
func (c *conn) mayClose(x *exchange, wanted bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last != x || !wanted && !c.retiring {
		return false
	}
	c.closed = true
	return true
}

// finished counts a request as over.
func (c *conn) finished() {
	c.mu.Lock()
	c.open--
	c.rested = time.Now()
	stop := c.closed || c.retiring && c.open == 0
	c.mu.Unlock()
	<-c.slots
	if stop {
		_ = c.net.SetReadDeadline(time.Now()) // the reader looks up
	}
}

// refuseHead answers a request whose head could not be read, behind the
// answers that are due.
func (c *conn) refuseHead(err error) {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, errHeadTooLong):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		c.cancel()
		return
	}
	c.group.Wait()
	_ = c.net.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(c.net, "HTTP/1.1 "+statusLine(status)+"\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
}
