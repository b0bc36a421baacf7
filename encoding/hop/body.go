package hop

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// copyBufferBytes is the size of the buffers that CopyResponse copies through.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// ErrSlowSender is returned by IdleTimeoutBody.Read when no byte
// arrives within the idle timeout.
var ErrSlowSender = eris.New("hop: request body read timed out")

// IdleTimeoutBody is a request body with an idle timeout: it bounds the time
// between received bytes.
type IdleTimeoutBody struct {
	body        io.ReadCloser
	control     *http.ResponseController
	idleTimeout time.Duration
}

// NewIdleTimeoutBody wraps the body of r. w must be the response writer of r,
// which sets the read deadline of the connection. An empty body is returned
// unchanged.
func NewIdleTimeoutBody(w http.ResponseWriter, r *http.Request, idleTimeout time.Duration) io.ReadCloser {
	if r.ContentLength == 0 {
		return r.Body
	}
	return &IdleTimeoutBody{body: r.Body, control: http.NewResponseController(w), idleTimeout: idleTimeout}
}

// Read implements io.Reader. It returns ErrSlowSender if no byte arrives within
// the idle timeout.
func (b *IdleTimeoutBody) Read(p []byte) (int, error) {
	// Only the response writers of tests do not support deadlines; their reads
	// are not bounded.
	_ = b.control.SetReadDeadline(time.Now().Add(b.idleTimeout))
	n, err := b.body.Read(p)
	if err != nil && eris.Is(err, os.ErrDeadlineExceeded) {
		// The expired deadline stays set: net/http reads the rest of the body
		// before it writes a refusal, and would block on this sender forever.
		return n, ErrSlowSender
	}
	_ = b.control.SetReadDeadline(time.Time{})
	return n, err
}

// Close implements io.Closer.
func (b *IdleTimeoutBody) Close() error { return b.body.Close() }

// CopyResponse copies the body and the trailers of a response to w. It flushes
// after each read, so that buffering does not delay a slow response. It fails if w
// accepts no bytes for idleTimeout.
func CopyResponse(w http.ResponseWriter, response *http.Response, idleTimeout time.Duration) error {
	control := http.NewResponseController(w)
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	var copied int64
	for {
		n, err := response.Body.Read(buffer[:])
		copied += int64(n)
		if n > 0 {
			_ = control.SetWriteDeadline(time.Now().Add(idleTimeout))
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return eris.Wrap(writeErr, "hop: write response body")
			}
		}
		if err == io.EOF {
			return copyTrailers(w, control, response.Trailer)
		}
		if err != nil {
			return eris.Wrap(err, "hop: read response body")
		}
		if copied == response.ContentLength {
			continue // net/http flushes a complete body itself
		}
		if flushErr := control.Flush(); flushErr != nil {
			return eris.Wrap(flushErr, "hop: flush response body")
		}
	}
}

// shortResponseBytes is the size up to which a response body is buffered before
// it is passed on.
const shortResponseBytes = 64 << 10

// BufferShortBody buffers a response body that is short, and the start of one
// that has neither length nor chunks. Such a body ends with its connection, and
// only its end shows whether the connection was closed or reset; beyond the
// buffered part it is streamed. BufferShortBody returns the result of BodyFailure
// if the body breaks off within the buffered part.
func BufferShortBody(r *http.Response) *verdict.Error {
	isChunked := r.ContentLength < 0 && isDelimited(r)
	if r.ContentLength > shortResponseBytes || len(r.Trailer) > 0 || isChunked {
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, shortResponseBytes+1))
	if err != nil {
		return verdict.New(verdict.MayHaveRun, BodyFailure(r), err)
	}
	if len(data) > shortResponseBytes {
		r.Body = &prefixedBody{Reader: io.MultiReader(bytes.NewReader(data), r.Body), Closer: r.Body}
		return nil
	}
	_ = r.Body.Close() // its end was read
	r.Body = io.NopCloser(bytes.NewReader(data))
	r.ContentLength = int64(len(data))
	if r.Request == nil || r.Request.Method != http.MethodHead {
		r.Header.Set("Content-Length", strconv.Itoa(len(data)))
	}
	return nil
}

// prefixedBody is a body of which the start was read and put back.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// isDelimited reports whether a complete body can be distinguished from one
// truncated by a broken connection: by its length or by chunked encoding.
func isDelimited(r *http.Response) bool {
	return r.ContentLength >= 0 || r.Body == http.NoBody || len(r.TransferEncoding) > 0 || r.Uncompressed
}

// copyTrailers sends the trailers after the body, except those of the nodes.
// The flush prevents net/http from sending a short body with a Content-Length,
// which would leave no place for trailers.
func copyTrailers(w http.ResponseWriter, control *http.ResponseController, trailers http.Header) error {
	if len(trailers) == 0 {
		return nil
	}
	if err := control.Flush(); err != nil {
		return eris.Wrap(err, "hop: flush response body")
	}
	for name, values := range trailers {
		if strings.HasPrefix(name, prefix) {
			continue
		}
		for _, value := range values {
			w.Header().Add(http.TrailerPrefix+name, value)
		}
	}
	return nil
}

// ForwardedTrailers returns the trailers that a request has announced, without
// those of the nodes, or nil. They are forwarded after the body; their values are
// set once the body has been read.
func ForwardedTrailers(r *http.Request) http.Header {
	for name := range r.Trailer {
		if strings.HasPrefix(name, prefix) {
			delete(r.Trailer, name)
		}
	}
	if len(r.Trailer) == 0 {
		return nil
	}
	return r.Trailer
}
