package hop

import (
	"io"
	"net/http"
	"sync/atomic"
)

// shortBody is the size up to which the server reads a body's rest by itself
// before it writes an answer.
const shortBody = 64 << 10

// FullDuplex lets a handler answer before a long body is through. It replaces
// r.Body; the answer must go to the writer that it returns.
//
// An answer to a request whose body was not read to its end then closes the
// connection: net/http would read the rest after the handler, and panic on the
// connection's next request. A short body is left to the server, which reads
// its rest before it writes the answer.
func FullDuplex(w http.ResponseWriter, r *http.Request) http.ResponseWriter {
	if r.ContentLength >= 0 && r.ContentLength <= shortBody {
		return w
	}
	// HTTP/1.0 and the recorders of tests do without.
	if http.NewResponseController(w).EnableFullDuplex() != nil {
		return w
	}
	body := &endNotingBody{ReadCloser: r.Body}
	r.Body = body
	return &duplexWriter{ResponseWriter: w, body: body}
}

// endNotingBody notes that a body was read to its end.
type endNotingBody struct {
	io.ReadCloser
	ended atomic.Bool
}

// Read implements io.Reader.
func (b *endNotingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.ended.Store(true)
	}
	return n, err
}

// duplexWriter decides, as the answer begins, whether its connection can stay.
type duplexWriter struct {
	http.ResponseWriter
	body *endNotingBody
}

// WriteHeader implements http.ResponseWriter.
func (w *duplexWriter) WriteHeader(status int) {
	if !w.body.ended.Load() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController reach the server's writer.
func (w *duplexWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
