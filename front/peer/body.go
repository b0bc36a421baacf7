package peer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

const (
	// maxEarlyBodyBytes is the length of the part of a body that is read before
	// admission.
	maxEarlyBodyBytes = 64 << 10
	// firstReadBytes is the size of the first read of a body that is sent on
	// admission.
	firstReadBytes = 4 << 10
)

// requestBody is the body of a forwarded request, of which a part has been read.
//
// net/http reports a disconnected peer only once the body was read to its end. A
// body that the peer sends at once is therefore read before the request waits for
// admission, and of one that it sends on admission the first bytes are read before
// the request is sent on.
type requestBody struct {
	head []byte    // the part that has been read
	rest io.Reader // nil if head is the whole body
	// onAdmission is true if the peer sends the body once the request is admitted.
	onAdmission bool
}

// BufferedBytes returns the length of the part of a request's body that the Handler
// buffers before admission.
func BufferedBytes(r *http.Request) int64 {
	if isSentOnAdmission(r) {
		return 0
	}
	return maxEarlyBodyBytes
}

func isSentOnAdmission(r *http.Request) bool {
	return strings.EqualFold(r.Header.Get("Expect"), "100-continue")
}

// newRequestBody returns the body of r. It reads what the peer sends before
// admission.
func newRequestBody(w http.ResponseWriter, r *http.Request, idleTimeout time.Duration) (*requestBody, *verdict.Error) {
	b := &requestBody{rest: hop.NewIdleTimeoutBody(w, r, idleTimeout)}
	if isSentOnAdmission(r) {
		b.onAdmission = true
		return b, nil
	}
	return b, b.read(maxEarlyBodyBytes)
}

// awaitFirstBytes reads the first bytes of a body that the peer sends on admission.
// It fails if the peer has disconnected or sends nothing until ctx ends.
func (b *requestBody) awaitFirstBytes(ctx context.Context, w http.ResponseWriter) *verdict.Error {
	if !b.onAdmission {
		return nil
	}
	// Without this the read would go on past the deadline, with the slot taken.
	stop := context.AfterFunc(ctx, func() { _ = http.NewResponseController(w).SetReadDeadline(time.Now()) })
	defer stop()
	buffer := make([]byte, firstReadBytes)
	n, err := b.rest.Read(buffer)
	b.head = buffer[:n]
	switch {
	case err == io.EOF:
		b.rest = nil
		return nil
	case err != nil && eris.Is(context.Cause(ctx), errDraining):
		return verdict.New(verdict.NotRun, verdict.Draining, err)
	case err != nil && ctx.Err() != nil:
		return verdict.New(verdict.NotRun, hop.CancelReason(ctx), err)
	}
	return readFailure(err)
}

// read reads up to limit bytes of the body.
func (b *requestBody) read(limit int64) *verdict.Error {
	head, err := io.ReadAll(io.LimitReader(b.rest, limit+1))
	b.head = head
	if err == nil && int64(len(head)) <= limit {
		b.rest = nil
	}
	return readFailure(err)
}

// readFailure returns the failure of a request whose body could not be read; nil
// for no error. Nothing of the request was sent to the backend server.
func readFailure(err error) *verdict.Error {
	switch {
	case err == nil:
		return nil
	case eris.Is(err, hop.ErrSlowSender):
		return verdict.New(verdict.NotRun, verdict.SlowSender, err)
	}
	return verdict.New(verdict.NotRun, verdict.CallerCanceled, eris.Wrap(err, "read forwarded request body"))
}

// reader returns the whole body.
func (b *requestBody) reader() io.ReadCloser {
	if b.rest == nil {
		return io.NopCloser(bytes.NewReader(b.head))
	}
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.head), b.rest))
}
