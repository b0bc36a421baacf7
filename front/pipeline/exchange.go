package pipeline

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/decide/clientload"
	"github.com/marigoldshelf/marigoldshelf/network"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

const (
	// errorWriteTimeout limits the time to write the response to a request whose
	// header could not be read.
	errorWriteTimeout = time.Second
	// maxBufferedBytes limits the part of a response body that is buffered until the
	// response's turn.
	maxBufferedBytes = 256 << 10
)

// errPipelinedHTTP10: the response has no length and HTTP/1.0 has no chunks, so it
// ends with the connection, but a later request was read from it.
var errPipelinedHTTP10 = eris.New("pipeline: HTTP/1.0 request was pipelined")

// exchange is a request and its response. It implements http.ResponseWriter and
// the methods that http.ResponseController uses.
type exchange struct {
	conn    *conn
	request *http.Request
	cancel  context.CancelFunc
	body    *requestBody // nil if the request has no body

	previousDone <-chan struct{} // closed when the previous response is written
	done         chan struct{}   // closed when this response is written

	header        http.Header
	status        int
	buffered      bytes.Buffer // body bytes before the header is written
	headerWritten bool
	chunked       bool
	undelimited   bool         // the body ends with the connection
	err           error        // first error of writing the response
	charged       atomic.Int64 // memory of the request and its buffered response
}

// newExchange returns the exchange of a request whose body has at most maxBodyBytes,
// zero for no limit, and of which the handler buffers the given part.
func newExchange(c *conn, request *http.Request, maxBodyBytes, bufferedBytes int64) *exchange {
	x := &exchange{conn: c, header: make(http.Header), done: make(chan struct{})}
	ctx, cancel := context.WithCancel(c.ctx)
	x.cancel = cancel
	x.request = request.WithContext(ctx)
	if request.Body != nil && request.Body != http.NoBody {
		x.body = &requestBody{
			source: request.Body, exchange: x, limit: maxBodyBytes, done: make(chan struct{}),
			expectContinue: strings.EqualFold(request.Header.Get("Expect"), "100-continue"),
			chargesBuffer:  request.ContentLength < 0,
		}
		x.body.buffer.Store(bufferedBytes)
		x.request.Body = x.body
	}
	return x
}

// follow puts the response after that of the request that was read before.
func (x *exchange) follow(previous *exchange) {
	x.previousDone = previous.done
	if x.body != nil {
		x.body.previousDone = previous.done
	}
}

// isBuffering reports whether the handler is to buffer more of the request's body
// before it acts on the request.
func (x *exchange) isBuffering() bool { return x.body != nil && x.body.buffer.Load() > 0 }

// run runs the handler and finishes the response.
func (x *exchange) run(handler http.Handler) {
	defer func() {
		x.cancel()
		if x.body != nil {
			x.body.finish(false)
		}
		close(x.done)
		x.conn.account.Release(x.charged.Load())
		x.conn.requestDone()
	}()
	aborted := x.callHandler(handler)
	switch {
	case x.body != nil && x.body.refused.Load() && !x.headerWritten:
		x.refuse()
	case aborted:
		x.abort()
	default:
		x.finish()
	}
}

// refuse responds to a request whose body found no memory. The handler has not acted
// on the request.
func (x *exchange) refuse() {
	x.header = x.conn.server.refusalHeader(http.StatusServiceUnavailable, verdict.ClientMemory)
	x.buffered.Reset()
	x.status = http.StatusServiceUnavailable
	x.conn.markRefusedBody()
	x.finish()
}

// callHandler calls the handler and reports whether it panicked, such as with
// http.ErrAbortHandler to abort the response.
func (x *exchange) callHandler(handler http.Handler) (aborted bool) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		aborted = true
		err, ok := cause.(error)
		if onPanic := x.conn.server.OnPanic; onPanic != nil && (!ok || !errors.Is(err, http.ErrAbortHandler)) {
			onPanic(cause, debug.Stack())
		}
	}()
	handler.ServeHTTP(x, x.request)
	return false
}

// abort ends a response that cannot be completed: with status 502 if nothing of
// it was written, else by closing the connection.
func (x *exchange) abort() {
	if !x.headerWritten {
		x.header = make(http.Header)
		x.buffered.Reset()
		x.status = http.StatusBadGateway
		x.finish()
		return
	}
	x.conn.abort()
}

// Header implements http.ResponseWriter.
func (x *exchange) Header() http.Header { return x.header }

// WriteHeader implements http.ResponseWriter. The header is written later, at the
// response's turn.
func (x *exchange) WriteHeader(status int) {
	if x.status == 0 {
		x.status = status
	}
}

// Write implements http.ResponseWriter. It buffers up to maxBufferedBytes until the
// header is written, so that the sending node does not wait for the responses to
// earlier requests.
func (x *exchange) Write(p []byte) (int, error) {
	x.WriteHeader(http.StatusOK)
	if x.err != nil {
		return 0, x.err
	}
	if x.headerWritten {
		return x.writeBody(p)
	}
	if !x.isTurn() && !x.chargeBuffer(len(p)) {
		// Without memory for the response, the sender waits for its turn.
		if !x.awaitTurn() {
			return 0, x.err
		}
		x.writeHeader(-1)
		return x.writeBody(p)
	}
	x.buffered.Write(p)
	if x.buffered.Len() < maxBufferedBytes {
		return len(p), nil
	}
	if err := x.FlushError(); err != nil {
		return 0, err
	}
	return len(p), nil
}

// chargeBuffer charges n bytes of the buffered response.
func (x *exchange) chargeBuffer(n int) bool {
	return x.charge(int64(n) * clientload.BufferGrowth)
}

// charge charges n bytes until the request ends.
func (x *exchange) charge(n int64) bool {
	if !x.conn.account.Charge(n) {
		return false
	}
	x.charged.Add(n)
	return true
}

// FlushError implements the method that http.ResponseController.Flush calls.
// Before the response's turn it does nothing, or waits for the turn if
// maxBufferedBytes are buffered.
func (x *exchange) FlushError() error {
	x.WriteHeader(http.StatusOK)
	if !x.headerWritten && x.buffered.Len() < maxBufferedBytes && !x.isTurn() {
		return nil
	}
	if !x.awaitTurn() {
		return x.err
	}
	x.writeHeader(-1)
	x.setError(x.conn.writer.Flush())
	return x.err
}

// EnableFullDuplex implements the method that http.ResponseController calls. It
// does nothing: a response can always begin before the request's body was read.
func (x *exchange) EnableFullDuplex() error { return nil }

// SetReadDeadline sets the deadline for reading the request's body.
func (x *exchange) SetReadDeadline(t time.Time) error {
	if x.body == nil {
		return nil // the connection is already reading the next request
	}
	return x.conn.netConn.SetReadDeadline(t)
}

// SetWriteDeadline sets the deadline for writing the response. It does nothing
// before the response's turn.
func (x *exchange) SetWriteDeadline(t time.Time) error {
	if !x.headerWritten && !x.isTurn() {
		return nil
	}
	return x.conn.netConn.SetWriteDeadline(t)
}

// isTurn reports whether every earlier response is written.
func (x *exchange) isTurn() bool {
	if x.previousDone == nil {
		return true
	}
	select {
	case <-x.previousDone:
		return true
	default:
		return false
	}
}

// awaitTurn waits until every earlier response is written. It returns false if
// the connection has ended: an earlier response is then possibly being written, since
// those in between have not waited for it.
func (x *exchange) awaitTurn() bool {
	if x.previousDone != nil {
		select {
		case <-x.previousDone:
		case <-x.conn.ctx.Done():
		}
		x.setError(context.Cause(x.conn.ctx)) // nil while the connection is open
		x.previousDone = nil
	}
	return x.err == nil
}

// finish writes the rest of the response. If that fails, it closes the
// connection.
func (x *exchange) finish() {
	x.WriteHeader(http.StatusOK)
	if !x.awaitTurn() {
		return
	}
	x.writeHeader(int64(x.buffered.Len()))
	if x.chunked {
		x.writeLastChunk()
	}
	if limit := x.conn.server.Limits().WriteTimeout; limit > 0 {
		x.setError(x.conn.netConn.SetWriteDeadline(time.Now().Add(limit)))
	}
	x.setError(x.conn.writer.Flush())
	_ = x.conn.netConn.SetWriteDeadline(time.Time{}) // fails only on a closed connection
	if x.err != nil {
		x.conn.abort()
		return
	}
	if x.undelimited {
		network.ResetOnClose(x.conn.netConn, false) // the body is complete
	}
}

// writeHeader writes the header and the buffered bytes, once. length is the length
// of the body; negative means unknown.
func (x *exchange) writeHeader(length int64) {
	if x.headerWritten {
		return
	}
	x.headerWritten = true
	trailers := trailerNames(x.header)
	hasChunks := x.request.ProtoAtLeast(1, 1)
	bodyless := x.request.Method == http.MethodHead || x.status == http.StatusNoContent || x.status == http.StatusNotModified
	if x.header.Get("Content-Length") == "" && !bodyless {
		if length >= 0 && (len(trailers) == 0 || !hasChunks) { // trailers have a place only behind chunks
			x.header.Set("Content-Length", strconv.FormatInt(length, 10))
		} else if !hasChunks {
			x.undelimited = true
		} else {
			x.chunked = true
			x.header.Set("Transfer-Encoding", "chunked")
		}
	}
	closeWanted := strings.EqualFold(x.header.Get("Connection"), "close") || x.request.Close ||
		!x.request.ProtoAtLeast(1, 1) || x.body != nil && !x.body.isReadToEnd()
	x.header.Del("Connection")
	if x.conn.commitClose(x, closeWanted) {
		x.header.Set("Connection", "close")
	} else if x.undelimited {
		x.setError(errPipelinedHTTP10)
		return
	}
	if x.undelimited {
		network.ResetOnClose(x.conn.netConn, true)
	}
	w := x.conn.writer
	_, err := w.WriteString("HTTP/1.1 " + statusLine(x.status) + "\r\n")
	x.setError(err)
	x.setError(x.header.WriteSubset(w, trailers))
	_, err = w.WriteString("\r\n")
	x.setError(err)
	buffered := x.buffered.Bytes()
	x.buffered = bytes.Buffer{}
	if len(buffered) > 0 && !bodyless {
		_, err = x.writeBody(buffered)
		x.setError(err)
	}
}

func (x *exchange) writeBody(p []byte) (int, error) {
	w := x.conn.writer
	if !x.chunked {
		n, err := w.Write(p)
		x.setError(err)
		return n, err
	}
	if len(p) == 0 {
		return 0, nil
	}
	_, err := w.WriteString(strconv.FormatInt(int64(len(p)), 16) + "\r\n")
	x.setError(err)
	n, err := w.Write(p)
	x.setError(err)
	_, err = w.WriteString("\r\n")
	x.setError(err)
	return n, x.err
}

// writeLastChunk writes the last chunk and the trailers of a chunked body.
func (x *exchange) writeLastChunk() {
	w := x.conn.writer
	_, err := w.WriteString("0\r\n")
	x.setError(err)
	trailer := make(http.Header)
	for name := range trailerNames(x.header) {
		trailer[strings.TrimPrefix(name, http.TrailerPrefix)] = x.header[name]
	}
	x.setError(trailer.Write(w))
	_, err = w.WriteString("\r\n")
	x.setError(err)
}

// setError stores the first error.
func (x *exchange) setError(err error) {
	if x.err == nil {
		x.err = err
	}
}

// trailerNames returns the keys of h that are sent as trailers, after the body.
func trailerNames(h http.Header) map[string]bool {
	names := make(map[string]bool)
	for name := range h {
		if strings.HasPrefix(name, http.TrailerPrefix) {
			names[name] = true
		}
	}
	return names
}

func statusLine(status int) string {
	return strconv.Itoa(status) + " " + http.StatusText(status)
}

// requestBody is a request's body. The connection reads the next request when it
// is done.
type requestBody struct {
	source         io.ReadCloser
	exchange       *exchange
	expectContinue bool            // the caller waits for 100 Continue before it sends the body
	previousDone   <-chan struct{} // closed when the previous response is written; nil if there is none
	limit          int64           // of the body in bytes; zero means none
	received       int64           // bytes that were read
	buffer         atomic.Int64    // length of the part that the handler is still to buffer
	chargesBuffer  bool            // that part is charged as it is read
	refused        atomic.Bool     // a part found no memory
	once           sync.Once
	done           chan struct{} // closed when the body was read to its end or its request has ended
	readToEnd      bool          // set before done is closed
}

// Read implements io.Reader. It must not be called concurrently.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.refused.Load() || b.givesWay() {
		return 0, b.refuse()
	}
	conn := b.exchange.conn
	if b.expectContinue {
		b.expectContinue = false
		// Responses to earlier requests go before 100 Continue. No later
		// response can be due, because no later request was read.
		if b.previousDone != nil {
			select {
			case <-b.previousDone:
			case <-conn.ctx.Done():
				return 0, context.Cause(conn.ctx)
			}
		}
		if _, err := io.WriteString(conn.netConn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return 0, err
		}
	}
	n, err := b.source.Read(p)
	b.received += int64(n)
	if err != nil && err != io.EOF && b.givesWay() || !b.takeFromBuffer(int64(n)) {
		return 0, b.refuse()
	}
	if b.limit > 0 && b.received > b.limit {
		return 0, errBodyTooLarge
	}
	if err == io.EOF {
		b.finish(true)
	}
	return n, err
}

// givesWay reports whether the request is to be refused for the sake of others. The
// handler has not acted on it.
func (b *requestBody) givesWay() bool { return b.buffer.Load() > 0 && b.exchange.conn.hasGivenWay() }

// refuse makes all further reads fail.
func (b *requestBody) refuse() error {
	b.refused.Store(true)
	return errNoMemory
}

// takeFromBuffer notes that the handler has read n bytes. It returns false if there
// is no memory for them.
func (b *requestBody) takeFromBuffer(n int64) bool {
	part := min(n, b.buffer.Load())
	if part == 0 {
		return true
	}
	if b.buffer.Add(-part) == 0 {
		b.exchange.conn.account.SetReceiving(false)
	}
	return !b.chargesBuffer || b.exchange.charge(part*clientload.BufferGrowth)
}

// Close implements io.Closer. It does nothing.
func (b *requestBody) Close() error { return nil }

// finish signals that the connection can read the next request. Only the first call
// has an effect.
func (b *requestBody) finish(readToEnd bool) {
	b.once.Do(func() {
		b.buffer.Store(0)
		b.exchange.conn.account.SetReceiving(false)
		b.readToEnd = readToEnd
		close(b.done)
	})
}

func (b *requestBody) isReadToEnd() bool {
	select {
	case <-b.done:
		return b.readToEnd
	default:
		return false
	}
}
