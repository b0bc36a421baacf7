package caller

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// maxBufferedBytes is the length of the part of a body that is buffered for
// later attempts.
const maxBufferedBytes = 64 << 10

// body is the body of a caller's request. Its first bytes are buffered; the rest
// is streamed, and once any of the rest was read the body cannot be sent again.
type body struct {
	buffered []byte
	complete bool // buffered is the whole body
	rest     *sharedReader
	size     int64 // in bytes; -1 if unknown
}

// errRevoked is the error of reading a body for an attempt that has ended.
var errRevoked = eris.New("caller: request body read for an attempt that has ended")

// sharedReader reads the rest of a body for one attempt at a time. The goroutine
// that sends the body of an attempt can outlive the attempt and must not consume
// bytes that the next attempt needs, so only the reader of the current
// generation can read.
type sharedReader struct {
	source io.Reader

	mu         sync.Mutex
	generation int // of the attemptReader that can read
	consumed   bool
}

// attemptReader reads the rest of a body for one attempt.
type attemptReader struct {
	*sharedReader
	generation int
}

// Read implements io.Reader. It returns errRevoked if a later generation has
// begun.
func (r attemptReader) Read(p []byte) (int, error) {
	if !r.beginRead(r.generation) {
		return 0, errRevoked
	}
	return r.source.Read(p)
}

// beginRead marks the rest as consumed. It returns false if generation is not
// the current one.
func (s *sharedReader) beginRead(generation int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.generation != generation {
		return false
	}
	s.consumed = true
	return true
}

// nextGeneration revokes all existing readers and returns the generation of the
// next one.
func (s *sharedReader) nextGeneration() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generation++
	return s.generation
}

func (s *sharedReader) isConsumed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.consumed
}

// newBody buffers the start of the request's body. A body whose Content-Length
// exceeds maxBufferedBytes is not buffered at all.
func newBody(w http.ResponseWriter, r *http.Request, idleTimeout time.Duration) (*body, *verdict.Error) {
	source := hop.NewIdleTimeoutBody(w, r, idleTimeout)
	if r.ContentLength > maxBufferedBytes {
		return &body{rest: &sharedReader{source: source}, size: r.ContentLength}, nil
	}
	if r.ContentLength == 0 {
		return &body{complete: true}, nil
	}
	buffered, err := io.ReadAll(io.LimitReader(source, maxBufferedBytes+1))
	if err != nil {
		reason := verdict.BadRequest
		if eris.Is(err, hop.ErrSlowSender) {
			reason = verdict.SlowSender
		}
		return nil, verdict.New(verdict.NotRun, reason, eris.Wrap(err, "read caller's request body"))
	}
	b := &body{buffered: buffered, complete: len(buffered) <= maxBufferedBytes, size: r.ContentLength}
	if !b.complete {
		b.rest = &sharedReader{source: source}
	} else if len(r.Trailer) == 0 {
		b.size = int64(len(buffered))
	}
	return b, nil
}

// largeBodyBytes is the length from which a body is sent only after the peer has
// admitted the request. Below it, the extra round trip costs more than the bytes
// of a refused request.
const largeBodyBytes = 8 << 10

// isLarge reports whether the body is sent only after the request's admission.
func (b *body) isLarge() bool { return !b.complete || len(b.buffered) >= largeBodyBytes }

// revokeReaders stops the readers of earlier attempts. It reports whether the
// body can still be sent from its start.
func (b *body) revokeReaders() (replayable bool) {
	if b.complete {
		return true
	}
	b.rest.nextGeneration()
	return !b.rest.isConsumed()
}

// newReader returns the body from its start for one more attempt. It revokes the
// readers of earlier attempts.
func (b *body) newReader() io.ReadCloser {
	buffered := bytes.NewReader(b.buffered)
	if b.complete {
		return io.NopCloser(buffered)
	}
	return io.NopCloser(io.MultiReader(buffered, attemptReader{b.rest, b.rest.nextGeneration()}))
}
