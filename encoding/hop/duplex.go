package hop

import (
	"io"
	"net/http"
	"sync/atomic"
)

// shortRequestBytes is the size up to which net/http is left to read the rest of
// a request body before it writes a response.
const shortRequestBytes = 64 << 10

// EnableFullDuplex lets a handler respond before it has read a long request
// body. It replaces r.Body. The response must be written to the returned writer.
//
// A response to a request whose body was not read to its end then closes the
// connection: net/http would read the rest after the handler returns, and panic
// on the connection's next request. Short bodies do not use full duplex, since
// net/http reads their rest before it writes the response.
func EnableFullDuplex(w http.ResponseWriter, r *http.Request) http.ResponseWriter {
	if r.ContentLength >= 0 && r.ContentLength <= shortRequestBytes {
		return w
	}
	// HTTP/1.0 and httptest.ResponseRecorder do not support full duplex.
	if http.NewResponseController(w).EnableFullDuplex() != nil {
		return w
	}
	body := &eofTrackingBody{ReadCloser: r.Body}
	r.Body = body
	return &duplexWriter{ResponseWriter: w, body: body}
}

// eofTrackingBody records whether a body was read to its end.
type eofTrackingBody struct {
	io.ReadCloser
	reachedEOF atomic.Bool
}

// Read implements io.Reader.
func (b *eofTrackingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.reachedEOF.Store(true)
	}
	return n, err
}

// duplexWriter closes the connection after the response if the request body was
// not read to its end when the response starts.
type duplexWriter struct {
	http.ResponseWriter
	body *eofTrackingBody
}

// WriteHeader implements http.ResponseWriter.
func (w *duplexWriter) WriteHeader(status int) {
	if !w.body.reachedEOF.Load() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *duplexWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
