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

	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
	account "github.com/marigoldshelf/marigoldshelf/front/clientload"
	"github.com/marigoldshelf/marigoldshelf/network"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// bufferBytes is the size of a connection's read and write buffers.
const bufferBytes = 4 << 10

// closeCheckInterval is the time between two checks whether the caller has
// disconnected, while the connection is not read: the close can be behind bytes
// that stay unread until a request has ended.
const closeCheckInterval = 200 * time.Millisecond

// conn is one caller's connection. One goroutine reads requests; each request
// runs on a goroutine of its own.
type conn struct {
	server       *Server
	netConn      net.Conn
	headerReader *hop.HeadReader
	reader       *bufio.Reader
	writer       *bufio.Writer
	ctx          context.Context
	cancel       context.CancelFunc
	slots        chan struct{}    // holds one element per request in flight
	account      *account.Account // nil grants everything

	mu             sync.Mutex
	last           *exchange // of the request read last
	inFlight       int
	idleSince      time.Time // when a request last ended; zero before the first
	closeRequested bool      // close when no request is in flight
	givesWay       bool      // closeRequested for the sake of other connections
	closeSent      bool      // a response has the header Connection: close
	refusedBody    bool      // a request was refused before its body was read to the end
	requestWait    sync.WaitGroup
	requestEnded   chan struct{} // closed when the next request ends; nil if nobody waits
}

func newConn(s *Server, netConn net.Conn, ctx context.Context, cancel context.CancelFunc) *conn {
	c := &conn{server: s, netConn: netConn, ctx: ctx, cancel: cancel, slots: make(chan struct{}, maxInFlight)}
	c.headerReader = hop.NewHeadReader(netConn)
	c.reader = bufio.NewReaderSize(c.headerReader, bufferBytes)
	c.writer = bufio.NewWriterSize(responseWriter{c}, bufferBytes)
	return c
}

// serve reads requests until the connection ends, waits for those in flight,
// and closes the connection.
func (c *conn) serve() {
	for c.serveNext() {
	}
	c.requestWait.Wait()
	c.cancel()
	if c.refusedBody {
		c.discardUnread()
	}
	_ = c.netConn.Close() // every response was flushed
	c.account.Close()
}

// serveNext reads one request and starts it. It returns false if no further
// request can be read from the connection.
func (c *conn) serveNext() bool {
	limits := c.server.Limits()
	if !c.awaitFirstByte(limits) {
		return false
	}
	c.account.SetReceiving(true)
	defer c.account.SetReceiving(false)
	charge := &headCharge{conn: c}
	request, buffered, err := c.readRequest(limits, charge)
	if err != nil {
		c.account.Release(charge.charged)
		c.writeHeaderError(err)
		return false
	}
	c.account.MarkServed()
	if !c.acquireSlot() {
		c.account.Release(charge.charged)
		return false
	}
	x := newExchange(c, request, limits.MaxBodyBytes, buffered)
	x.charged.Store(charge.charged)
	if !c.add(x) {
		c.account.Release(charge.charged)
		return false
	}
	if !x.isBuffering() {
		c.account.SetReceiving(false)
	}
	c.requestWait.Go(func() { x.run(c.server.Handler) })
	if x.body == nil {
		return true
	}
	// The next request begins where this one's body ends.
	c.awaitBody(x.body)
	return x.body.readToEnd
}

// readRequest reads the head of a request whose first bytes are buffered, and charges
// it and the part of the body that the handler buffers, whose length it returns.
func (c *conn) readRequest(limits Limits, charge *headCharge) (request *http.Request, buffered int64, err error) {
	if limits.MaxHeaderBytes > 0 {
		c.headerReader.Limit(limits.MaxHeaderBytes - int64(c.reader.Buffered()))
	}
	err = charge.start()
	if limits.HeaderTimeout > 0 {
		_ = c.netConn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	}
	if err == nil {
		c.headerReader.Charge(charge.add)
		request, err = http.ReadRequest(c.reader)
		c.headerReader.Unlimit()
	}
	_ = c.netConn.SetReadDeadline(time.Time{})
	if cause := c.headerReader.Err(); err != nil && cause != nil {
		err = cause
	}
	switch {
	case err != nil && c.hasGivenWay():
		return nil, 0, errNoMemory
	case err != nil:
		return nil, 0, err
	case limits.MaxBodyBytes > 0 && request.ContentLength > limits.MaxBodyBytes:
		return nil, 0, errBodyTooLarge
	}
	request.RemoteAddr = c.netConn.RemoteAddr().String()
	buffered, err = charge.addBody(request)
	return request, buffered, err
}

// acquireSlot waits until the request that was read can run. It returns false if
// the caller disconnects before that.
func (c *conn) acquireSlot() bool {
	select {
	case c.slots <- struct{}{}:
		return true
	default:
	}
	ticker := time.NewTicker(closeCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case c.slots <- struct{}{}:
			return true
		case <-ticker.C:
			if network.PeerHasClosed(c.netConn) {
				c.cancel()
				return false
			}
		}
	}
}

// nextEnd returns a channel that is closed when a request of the connection ends.
func (c *conn) nextEnd() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestEnded == nil {
		c.requestEnded = make(chan struct{})
	}
	return c.requestEnded
}

// awaitSignal waits for the signal. It cancels the requests in flight and returns
// false if the caller disconnects before that.
func (c *conn) awaitSignal(signal <-chan struct{}) bool {
	ticker := time.NewTicker(closeCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-signal:
			return true
		case <-c.ctx.Done():
			return false
		case <-ticker.C:
			if network.PeerHasClosed(c.netConn) {
				c.cancel()
				return false
			}
		}
	}
}

// awaitBody waits until a request's body was read or its request has ended. It
// cancels the requests in flight if the caller disconnects before that.
func (c *conn) awaitBody(b *requestBody) {
	ticker := time.NewTicker(closeCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-b.done:
			return
		case <-ticker.C:
			if network.PeerHasClosed(c.netConn) {
				c.cancel()
				ticker.Stop()
			}
		}
	}
}

// awaitFirstByte waits for the first byte of a request. It returns false if the
// connection ends instead. A connection with requests in flight is not idle, but
// is read from, so that a disconnect of the caller is detected.
func (c *conn) awaitFirstByte(limits Limits) bool {
	for {
		if limits.IdleTimeout > 0 && c.reader.Buffered() == 0 {
			_ = c.netConn.SetReadDeadline(c.idleDeadline(limits.IdleTimeout))
		}
		if !c.acceptsRequests() {
			return false
		}
		_, err := c.reader.Peek(1)
		if err == nil {
			return c.acceptsRequests()
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && c.staysOpen(limits.IdleTimeout) {
			continue
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel() // the caller has disconnected and needs no responses
		}
		return false
	}
}

// add appends a request to the response order. It returns false if the connection
// ends without it.
func (c *conn) add(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeSent {
		return false
	}
	if c.last != nil {
		x.follow(c.last)
	}
	c.last = x
	c.inFlight++
	return true
}

// acceptsRequests reports whether another request can be read.
func (c *conn) acceptsRequests() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closeSent && !(c.closeRequested && c.reader.Buffered() == 0 && c.inFlight == 0)
}

// idleDeadline returns the time at which the connection has been idle for the
// limit if no request arrives or ends before.
func (c *conn) idleDeadline(limit time.Duration) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight > 0 || c.idleSince.IsZero() {
		return time.Now().Add(limit)
	}
	return c.idleSince.Add(limit)
}

// staysOpen reports whether a connection stays open after a read deadline: a
// request is in flight, or the last one ended less than the limit ago.
func (c *conn) staysOpen(limit time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closeRequested && !c.closeSent && (c.inFlight > 0 || limit > 0 && time.Since(c.idleSince) < limit)
}

func (c *conn) markRefusedBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusedBody = true
}

func (c *conn) inFlightCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight
}

// closeWhenIdle closes the connection as soon as no request is in flight: at once
// if it is idle, else with its last response.
func (c *conn) closeWhenIdle() {
	c.mu.Lock()
	c.closeRequested = true
	c.mu.Unlock()
	// Wake the reader if it waits for the next request.
	if c.inFlightCount() == 0 {
		_ = c.netConn.SetReadDeadline(time.Now())
	}
}

// GiveWay implements clientload.Conn. A request that is being received is refused.
func (c *conn) GiveWay() bool {
	c.mu.Lock()
	unread := !c.account.Reads()
	idle := c.inFlight == 0 || c.inFlight == 1 && c.last.isBuffering()
	if idle {
		c.closeRequested, c.givesWay = true, true
	}
	c.mu.Unlock()
	switch {
	case idle:
		_ = c.netConn.SetReadDeadline(time.Now()) // wakes the reader
	case unread:
		c.abort()
	}
	return idle || unread
}

// hasGivenWay reports whether the request that is being received is to be refused.
func (c *conn) hasGivenWay() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.givesWay
}

// abort closes the connection at once and cancels its requests.
func (c *conn) abort() {
	c.cancel()
	_ = c.netConn.Close() // ends pending reads and writes
}

// commitClose decides whether the response of x closes the connection: only if no
// request was read after x, because a caller sends all requests after a response
// with Connection: close again, and a request that was read would then run twice.
// The decision is final: no request is accepted after it.
func (c *conn) commitClose(x *exchange, wanted bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last != x || !wanted && !c.closeRequested {
		return false
	}
	c.closeSent = true
	return true
}

// requestDone removes a request in flight and frees its slot.
func (c *conn) requestDone() {
	c.mu.Lock()
	c.inFlight--
	c.idleSince = time.Now()
	if c.requestEnded != nil {
		close(c.requestEnded)
		c.requestEnded = nil
	}
	stop := c.closeSent || c.closeRequested && c.inFlight == 0
	c.mu.Unlock()
	<-c.slots
	if stop {
		_ = c.netConn.SetReadDeadline(time.Now()) // wakes the reader
	}
}

const (
	// lingerTime and lingerBytes limit what is read after a final response.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
)

// discardUnread closes the sending direction and reads what the caller still
// sends. Closing a connection with unread bytes resets it, and the caller could
// lose the last response.
func (c *conn) discardUnread() {
	sender, ok := c.netConn.(interface{ CloseWrite() error })
	if !ok || sender.CloseWrite() != nil {
		return
	}
	_ = c.netConn.SetReadDeadline(time.Now().Add(lingerTime))
	buffer := make([]byte, bufferBytes)
	for total := 0; total < lingerBytes; {
		n, err := c.netConn.Read(buffer)
		if err != nil {
			return
		}
		total += n
	}
}

// writeHeaderError responds to a request whose header could not be read, after
// the responses to earlier requests.
func (c *conn) writeHeaderError(err error) {
	status, reason := http.StatusBadRequest, verdict.BadRequest
	switch {
	case errors.Is(err, errNoMemory):
		status, reason = http.StatusServiceUnavailable, verdict.ClientMemory
	case errors.Is(err, errBodyTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, hop.ErrHeadTooLong), errors.Is(err, errHeaderLines):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		status, reason = http.StatusRequestTimeout, verdict.SlowSender
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		c.cancel()
		return
	}
	c.requestWait.Wait()
	_ = c.netConn.SetWriteDeadline(time.Now().Add(errorWriteTimeout))
	_, _ = c.netConn.Write(c.server.refusal(status, reason))
	c.discardUnread()
}
