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

// copyBytes is the size of the buffers that bodies are copied through.
const copyBytes = 32 << 10

var buffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// ErrSlowSender is the failure of a body whose next bytes did not come in time.
var ErrSlowSender = eris.New("hop: the sender's bytes stopped coming")

// PatientBody reads a request's body and bounds the pause between its bytes.
type PatientBody struct {
	from    io.ReadCloser
	control *http.ResponseController
	idle    time.Duration
}

// NewPatientBody wraps the body of r, whose answer goes to w.
func NewPatientBody(w http.ResponseWriter, r *http.Request, idle time.Duration) io.ReadCloser {
	if r.ContentLength == 0 {
		return r.Body
	}
	return &PatientBody{from: r.Body, control: http.NewResponseController(w), idle: idle}
}

// Read implements io.Reader. The error is ErrSlowSender when no byte came in
// time.
func (b *PatientBody) Read(p []byte) (int, error) {
	// A connection without deadlines is one of a test; it is not bounded.
	_ = b.control.SetReadDeadline(time.Now().Add(b.idle))
	n, err := b.from.Read(p)
	if err != nil && eris.Is(err, os.ErrDeadlineExceeded) {
		// The deadline stays: the server reads a body's rest before it writes a
		// refusal, and would wait for this sender without end.
		return n, ErrSlowSender
	}
	_ = b.control.SetReadDeadline(time.Time{})
	return n, err
}

// Close implements io.Closer.
func (b *PatientBody) Close() error { return b.from.Close() }

// CopyAnswer passes an answer's body and trailers on, and flushes as it goes,
// so that slow answers arrive as they are made. A reader that takes nothing
// for the time idle ends it with an error.
func CopyAnswer(w http.ResponseWriter, from *http.Response, idle time.Duration) error {
	control := http.NewResponseController(w)
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	buffer := buffers.Get().(*[copyBytes]byte)
	defer buffers.Put(buffer)
	var passed int64
	for {
		n, err := from.Body.Read(buffer[:])
		passed += int64(n)
		if n > 0 {
			_ = control.SetWriteDeadline(time.Now().Add(idle))
			if _, failed := w.Write(buffer[:n]); failed != nil {
				return eris.Wrap(failed, "write body")
			}
		}
		if err == io.EOF {
			return copyTrailers(w, control, from.Trailer)
		}
		if err != nil {
			return eris.Wrap(err, "read body")
		}
		if passed == from.ContentLength {
			continue // the server flushes the end by itself
		}
		if failed := control.Flush(); failed != nil {
			return eris.Wrap(failed, "flush body")
		}
	}
}

// shortAnswer is the size up to which an answer is read whole before it is
// passed on, in bytes.
const shortAnswer = 64 << 10

// maxUndelimited bounds an answer that ends with its connection, in bytes.
const maxUndelimited = 4 << 20

// ReadShort reads a short body whole, and one whose length is not told: such a
// body ends with its connection, and whether that was reset shows only at the
// end. The error says that the body broke off or is too long to hold.
func ReadShort(r *http.Response) *verdict.Error {
	bound := int64(shortAnswer)
	switch {
	case r.ContentLength > shortAnswer || len(r.Trailer) > 0:
		return nil
	case !delimited(r):
		bound = maxUndelimited
	case r.ContentLength < 0:
		return nil // chunks show their end
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, bound+1))
	if err != nil || int64(len(data)) > bound {
		return verdict.New(verdict.MayHaveRun, verdict.ResponseTruncated, err)
	}
	_ = r.Body.Close() // its end was read
	r.Body = io.NopCloser(bytes.NewReader(data))
	r.ContentLength = int64(len(data))
	if r.Request == nil || r.Request.Method != http.MethodHead {
		r.Header.Set("Content-Length", strconv.Itoa(len(data)))
	}
	return nil
}

// delimited reports whether the end of an answer's body can be told from a
// connection that broke: by its length, or by chunks.
func delimited(r *http.Response) bool {
	return r.ContentLength >= 0 || r.Body == http.NoBody || len(r.TransferEncoding) > 0 || r.Uncompressed
}

// copyTrailers sends the trailers after the body. The flush keeps the server
// from giving a short body a length, which leaves no place for trailers.
func copyTrailers(w http.ResponseWriter, control *http.ResponseController, trailers http.Header) error {
	if len(trailers) == 0 {
		return nil
	}
	if err := control.Flush(); err != nil {
		return eris.Wrap(err, "flush body")
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

// Trailers returns the trailers that a request announced, to be sent on after
// its body; their values are set once the body has been read.
func Trailers(r *http.Request) http.Header {
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
