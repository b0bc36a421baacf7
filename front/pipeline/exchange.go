package pipeline

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// refusalTimeout bounds the writing of an answer that the server makes by
	// itself.
	refusalTimeout = time.Second
	// holdBytes bounds what is held of an answer whose turn has not come.
	holdBytes = 256 << 10
)

// exchange is a request and the writing of its answer. It implements
// http.ResponseWriter and what http.ResponseController looks for.
type exchange struct {
	conn    *conn
	request *http.Request
	cancel  context.CancelFunc
	body    *requestBody // nil when the request has none

	before <-chan struct{} // closed when the answer before is written
	done   chan struct{}   // closed when this one is

	header  http.Header
	status  int
	held    bytes.Buffer
	onWire  bool // the head was written
	chunked bool
	failed  error
}

func newExchange(c *conn, request *http.Request, previous *exchange) *exchange {
	x := &exchange{conn: c, header: make(http.Header), done: make(chan struct{})}
	if previous != nil {
		x.before = previous.done
	}
	ctx, cancel := context.WithCancel(c.ctx)
	x.cancel = cancel
	x.request = request.WithContext(ctx)
	if request.Body != nil && request.Body != http.NoBody {
		x.body = &requestBody{from: request.Body, conn: c, before: x.before, over: make(chan struct{})}
		x.body.expect = strings.EqualFold(request.Header.Get("Expect"), "100-continue")
		x.request.Body = x.body
	}
	return x
}

// run lets the handler answer and completes the answer.
func (x *exchange) run(handler http.Handler) {
	defer func() {
		x.cancel()
		if x.body != nil {
			x.body.finish(false)
		}
		close(x.done)
		x.conn.finished()
	}()
	if aborted := x.call(handler); aborted {
		x.breakOff()
		return
	}
	x.complete()
}

// call runs the handler. http.ErrAbortHandler is the one panic that it may end
// with: the answer broke off.
func (x *exchange) call(handler http.Handler) (aborted bool) {
	defer func() {
		if cause := recover(); cause != nil {
			if err, ok := cause.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				panic(cause)
			}
			aborted = true
		}
	}()
	handler.ServeHTTP(x, x.request)
	return false
}

// breakOff ends an answer that cannot be completed. While nothing of it is on
// the wire the caller is told so; else the connection is cut.
func (x *exchange) breakOff() {
	if !x.onWire {
		x.header = make(http.Header)
		x.held.Reset()
		x.status = http.StatusBadGateway
		x.complete()
		return
	}
	x.conn.abort()
}

// Header implements http.ResponseWriter.
func (x *exchange) Header() http.Header { return x.header }

// WriteHeader implements http.ResponseWriter.
func (x *exchange) WriteHeader(status int) {
	if x.status == 0 {
		x.status = status
	}
}

// Write implements http.ResponseWriter. Until its turn comes it holds the
// bytes, so that the node which sent them is not kept waiting.
func (x *exchange) Write(p []byte) (int, error) {
	x.WriteHeader(http.StatusOK)
	if x.failed != nil {
		return 0, x.failed
	}
	if x.onWire {
		return x.writeBody(p)
	}
	x.held.Write(p)
	if x.held.Len() < holdBytes {
		return len(p), nil
	}
	if err := x.FlushError(); err != nil {
		return 0, err
	}
	return len(p), nil
}

// FlushError implements what http.ResponseController.Flush calls. Before its
// turn it does nothing.
func (x *exchange) FlushError() error {
	x.WriteHeader(http.StatusOK)
	if !x.onWire && x.held.Len() < holdBytes && !x.isTurn() {
		return nil
	}
	if !x.awaitTurn() {
		return x.failed
	}
	x.writeHead(-1)
	x.fail(x.conn.writer.Flush())
	return x.failed
}

// EnableFullDuplex implements what http.ResponseController calls; answers may
// always begin before the request's body was read.
func (x *exchange) EnableFullDuplex() error { return nil }

// SetReadDeadline bounds the reading of the request's body.
func (x *exchange) SetReadDeadline(t time.Time) error {
	if x.body == nil {
		return nil // the connection reads the next request already
	}
	return x.conn.net.SetReadDeadline(t)
}

// SetWriteDeadline bounds the writing of the answer, once its turn has come.
func (x *exchange) SetWriteDeadline(t time.Time) error {
	if !x.onWire && !x.isTurn() {
		return nil
	}
	return x.conn.net.SetWriteDeadline(t)
}

func (x *exchange) isTurn() bool {
	if x.before == nil {
		return true
	}
	select {
	case <-x.before:
		return true
	default:
		return false
	}
}

// awaitTurn waits until every answer before this one is written; false when
// the connection ended meanwhile.
func (x *exchange) awaitTurn() bool {
	if x.before != nil {
		select {
		case <-x.before:
			x.before = nil
		case <-x.conn.ctx.Done():
			x.fail(context.Cause(x.conn.ctx))
		}
	}
	return x.failed == nil
}

// complete writes what is left of the answer.
func (x *exchange) complete() {
	x.WriteHeader(http.StatusOK)
	if !x.awaitTurn() {
		return
	}
	x.writeHead(int64(x.held.Len()))
	if x.chunked {
		x.endChunks()
	}
	x.fail(x.conn.writer.Flush())
	if x.failed != nil {
		x.conn.abort()
	}
}

// writeHead writes the head and the held bytes, once. length is that of the
// body, below zero while it is not known.
func (x *exchange) writeHead(length int64) {
	if x.onWire {
		return
	}
	x.onWire = true
	bodyless := x.request.Method == http.MethodHead || x.status == http.StatusNoContent || x.status == http.StatusNotModified
	if x.header.Get("Content-Length") == "" && !bodyless {
		if length >= 0 {
			x.header.Set("Content-Length", strconv.FormatInt(length, 10))
		} else {
			x.chunked = true
			x.header.Set("Transfer-Encoding", "chunked")
		}
	}
	wanted := strings.EqualFold(x.header.Get("Connection"), "close") || x.request.Close ||
		!x.request.ProtoAtLeast(1, 1) || x.body != nil && !x.body.isEnded()
	x.header.Del("Connection")
	if x.conn.mayClose(x, wanted) {
		x.header.Set("Connection", "close")
	}
	w := x.conn.writer
	_, err := w.WriteString("HTTP/1.1 " + statusLine(x.status) + "\r\n")
	x.fail(err)
	x.fail(x.header.WriteSubset(w, trailerNames(x.header)))
	_, err = w.WriteString("\r\n")
	x.fail(err)
	held := x.held.Bytes()
	x.held = bytes.Buffer{}
	if len(held) > 0 && !bodyless {
		_, err = x.writeBody(held)
		x.fail(err)
	}
}

func (x *exchange) writeBody(p []byte) (int, error) {
	w := x.conn.writer
	if !x.chunked {
		n, err := w.Write(p)
		x.fail(err)
		return n, err
	}
	if len(p) == 0 {
		return 0, nil
	}
	_, err := w.WriteString(strconv.FormatInt(int64(len(p)), 16) + "\r\n")
	x.fail(err)
	n, err := w.Write(p)
	x.fail(err)
	_, err = w.WriteString("\r\n")
	x.fail(err)
	return n, x.failed
}

func (x *exchange) endChunks() {
	w := x.conn.writer
	_, err := w.WriteString("0\r\n")
	x.fail(err)
	trailer := make(http.Header)
	for name := range trailerNames(x.header) {
		trailer[strings.TrimPrefix(name, http.TrailerPrefix)] = x.header[name]
	}
	x.fail(trailer.Write(w))
	_, err = w.WriteString("\r\n")
	x.fail(err)
}

// fail keeps the first error of the connection.
func (x *exchange) fail(err error) {
	if x.failed == nil {
		x.failed = err
	}
}

// trailerNames has the header fields that are sent after the body.
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

// requestBody is a request's body; the connection reads on once it is over.
type requestBody struct {
	from   io.ReadCloser
	conn   *conn
	expect bool            // the caller waits for leave to send it
	before <-chan struct{} // closed when the answer before is written; nil for none
	once   sync.Once
	over   chan struct{} // closed when it was read to its end or is given up
	ended  bool          // it was read to its end; set before over is closed
}

// Read implements io.Reader. It runs on one goroutine at a time.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.expect {
		b.expect = false
		// Answers before this request go first; none behind it can be due.
		if b.before != nil {
			select {
			case <-b.before:
			case <-b.conn.ctx.Done():
				return 0, context.Cause(b.conn.ctx)
			}
		}
		if _, err := io.WriteString(b.conn.net, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return 0, err
		}
	}
	n, err := b.from.Read(p)
	if err == io.EOF {
		b.finish(true)
	}
	return n, err
}

// Close implements io.Closer.
func (b *requestBody) Close() error { return nil }

func (b *requestBody) finish(ended bool) {
	b.once.Do(func() {
		b.ended = ended
		close(b.over)
	})
}

func (b *requestBody) isEnded() bool {
	select {
	case <-b.over:
		return b.ended
	default:
		return false
	}
}
