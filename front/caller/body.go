package caller

import (
	"bytes"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
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
	from io.ReadCloser
	used bool
}

func (c *countingReader) Read(p []byte) (int, error) {
	c.used = true
	return c.from.Read(p)
}

// newBody reads the first bytes of the request's body.
func newBody(r *http.Request) (*body, error) {
	if r.ContentLength > bufferBytes {
		return &body{rest: &countingReader{from: r.Body}, size: r.ContentLength}, nil
	}
	head, err := io.ReadAll(io.LimitReader(r.Body, bufferBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "read body")
	}
	b := &body{head: head, whole: len(head) <= bufferBytes, size: r.ContentLength}
	if b.whole {
		b.size = int64(len(head))
		return b, nil
	}
	b.rest = &countingReader{from: r.Body}
	return b, nil
}

// replayable reports whether the body can still be sent from its start.
func (b *body) replayable() bool { return b.whole || !b.rest.used }

// reader returns the body from its start.
func (b *body) reader() io.ReadCloser {
	head := bytes.NewReader(b.head)
	if b.whole {
		return io.NopCloser(head)
	}
	return io.NopCloser(io.MultiReader(head, b.rest))
}
