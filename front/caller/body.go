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

// bufferBytes is the part of a body that is kept so that it can be sent again.
const bufferBytes = 64 << 10

// body is a request's body. Its first bytes are kept; the rest streams
// through, and once any of it was read the body cannot be sent again.
type body struct {
	head  []byte
	whole bool // head is all of it
	rest  *sharedReader
	size  int64 // -1 when not known
}

// errRevoked ends the reading of a body for an attempt that is over.
var errRevoked = eris.New("caller: the attempt is over")

// sharedReader is the rest of a body. One attempt at a time may read it: the
// goroutine that sends the body of an attempt can outlive the attempt, and
// must not take bytes that the next one needs.
type sharedReader struct {
	from io.Reader

	mu     sync.Mutex
	holder int // the number of the attempt that may read
	used   bool
}

// attemptReader reads for one attempt.
type attemptReader struct {
	*sharedReader
	holder int
}

// Read implements io.Reader.
func (r attemptReader) Read(p []byte) (int, error) {
	if !r.begin(r.holder) {
		return 0, errRevoked
	}
	return r.from.Read(p)
}

func (s *sharedReader) begin(holder int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holder != holder {
		return false
	}
	s.used = true
	return true
}

// next lets the next attempt read, and no earlier one.
func (s *sharedReader) next() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holder++
	return s.holder
}

func (s *sharedReader) wasUsed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used
}

// newBody reads the first bytes of the request's body.
func newBody(w http.ResponseWriter, r *http.Request, idle time.Duration) (*body, *verdict.Error) {
	patient := hop.NewPatientBody(w, r, idle)
	if r.ContentLength > bufferBytes {
		return &body{rest: &sharedReader{from: patient}, size: r.ContentLength}, nil
	}
	if r.ContentLength == 0 {
		return &body{whole: true}, nil
	}
	head, err := io.ReadAll(io.LimitReader(patient, bufferBytes+1))
	if err != nil {
		reason := verdict.BadRequest
		if eris.Is(err, hop.ErrSlowSender) {
			reason = verdict.SlowSender
		}
		return nil, verdict.New(verdict.NotRun, reason, eris.Wrap(err, "read body"))
	}
	b := &body{head: head, whole: len(head) <= bufferBytes, size: r.ContentLength}
	if !b.whole {
		b.rest = &sharedReader{from: patient}
	} else if len(r.Trailer) == 0 {
		b.size = int64(len(head))
	}
	return b, nil
}

// largeBytes is the size from which a body is sent only once the request is
// admitted, in bytes: below it the round trip costs more than the bytes.
const largeBytes = 8 << 10

// isLarge reports whether the body waits for the request's admission.
func (b *body) isLarge() bool { return !b.whole || len(b.head) >= largeBytes }

// revoke keeps the attempts so far from reading on, and reports whether the
// body can still be sent from its start.
func (b *body) revoke() (replayable bool) {
	if b.whole {
		return true
	}
	b.rest.next()
	return !b.rest.wasUsed()
}

// reader returns the body from its start, for one more attempt.
func (b *body) reader() io.ReadCloser {
	head := bytes.NewReader(b.head)
	if b.whole {
		return io.NopCloser(head)
	}
	return io.NopCloser(io.MultiReader(head, attemptReader{b.rest, b.rest.next()}))
}
