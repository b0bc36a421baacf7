package keyed

import (
	"net/http"
	"strings"

	"github.com/marigoldshelf/marigoldshelf/decide/idempotency"
	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// responseRecorder passes a response on and keeps a copy of it. It continues to
// record after the caller has disconnected.
type responseRecorder struct {
	http.ResponseWriter
	maxBytes     int // of body
	status       int // zero before the header is written
	body         []byte
	overflowed   bool // the body exceeded maxBytes; body is nil
	disconnected bool // a write to the caller failed
}

// WriteHeader implements http.ResponseWriter.
func (r *responseRecorder) WriteHeader(status int) {
	if r.status == 0 && status >= http.StatusOK {
		r.status = status
	}
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter. It never returns an error, so that the
// response is recorded to its end when the caller has disconnected.
func (r *responseRecorder) Write(p []byte) (int, error) {
	if r.status == 0 {
		r.status = http.StatusOK
	}
	r.appendBody(p)
	if r.disconnected {
		return len(p), nil
	}
	if _, err := r.ResponseWriter.Write(p); err != nil {
		r.disconnected = true
	}
	return len(p), nil
}

func (r *responseRecorder) appendBody(p []byte) {
	if r.overflowed || len(r.body)+len(p) > r.maxBytes {
		r.overflowed = true
		r.body = nil
		return
	}
	r.body = append(r.body, p...)
}

// FlushError flushes the response to the caller. It always returns nil.
func (r *responseRecorder) FlushError() error {
	if !r.disconnected && http.NewResponseController(r.ResponseWriter).Flush() != nil {
		r.disconnected = true
	}
	return nil
}

// Flush implements http.Flusher.
func (r *responseRecorder) Flush() { _ = r.FlushError() }

// verdict returns the verdict in the response's headers, or MayHaveRun if there
// is no response or no verdict.
func (r *responseRecorder) verdict() verdict.Verdict {
	if r.status == 0 {
		return verdict.MayHaveRun
	}
	return verdict.Parse(r.Header().Get(hop.HeaderVerdict))
}

// storedResponse returns the recorded copy without the mesh's own headers. It
// returns nil if the response is incomplete, exceeds maxBytes, or does not come
// from a backend server. complete is whether the handler returned normally.
func (r *responseRecorder) storedResponse(complete bool) *idempotency.StoredResponse {
	if !complete || r.overflowed || r.verdict() != verdict.Ran {
		return nil
	}
	stored := &idempotency.StoredResponse{Status: r.status, Body: r.body}
	for name, values := range r.Header() {
		if strings.HasPrefix(name, "Marigold-") {
			continue
		}
		for _, value := range values {
			stored.Headers = append(stored.Headers, name, value)
		}
	}
	return stored
}
