package caller

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
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
	rest  *countingReader
	size  int64 // -1 when not known
}

// countingReader notes whether anything was read.
type countingReader struct {
	from io.Reader
	used atomic.Bool
}

func (c *countingReader) Read(p []byte) (int, error) {
	c.used.Store(true)
	return c.from.Read(p)
}

// newBody reads the first bytes of the request's body.
func newBody(w http.ResponseWriter, r *http.Request, idle time.Duration) (*body, *verdict.Error) {
	patient := hop.NewPatientBody(w, r, idle)
	if r.ContentLength > bufferBytes {
		return &body{rest: &countingReader{from: patient}, size: r.ContentLength}, nil
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
		b.rest = &countingReader{from: patient}
	} else if len(r.Trailer) == 0 {
		b.size = int64(len(head))
	}
	return b, nil
}

// replayable reports whether the body can still be sent from its start.
func (b *body) replayable() bool { return b.whole || !b.rest.used.Load() }

// reader returns the body from its start.
func (b *body) reader() io.ReadCloser {
	head := bytes.NewReader(b.head)
	if b.whole {
		return io.NopCloser(head)
	}
	return io.NopCloser(io.MultiReader(head, b.rest))
}
