package pipeline

import (
	"bytes"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/decide/clientload"
)

var (
	// errNoMemory is the error of a request for which the connection cannot hold
	// more memory.
	errNoMemory = eris.New("pipeline: no memory for another request")
	// errBodyTooLarge is the error of a body that exceeds its limit.
	errBodyTooLarge = eris.New("pipeline: request body exceeds the size limit")
	// errHeaderLines is the error of a head with too many lines.
	errHeaderLines = eris.New("pipeline: too many header lines")
)

// maxBufferedRequestBytes is the part of a request body that the handler buffers by
// default.
const maxBufferedRequestBytes = 64 << 10

// bufferedBytes is the default of Config.BufferedBytes.
func bufferedBytes(r *http.Request) int64 {
	if r.ContentLength > maxBufferedRequestBytes {
		return 0
	}
	return maxBufferedRequestBytes
}

// headCharge charges the memory of a request while its head is read.
type headCharge struct {
	conn    *conn
	charged int64
	lines   int
}

// add charges the next part of a head. The part can contain bytes after the head,
// which are charged too.
func (h *headCharge) add(part []byte) error {
	lines := bytes.Count(part, []byte{'\n'})
	h.lines += lines
	if limit := h.conn.account.HeaderLines(); limit > 0 && h.lines > limit {
		h.conn.account.CountHeaderLines()
		return errHeaderLines
	}
	return h.charge(clientload.HeadBytes(len(part), lines))
}

func (h *headCharge) charge(n int64) error {
	if !h.conn.chargeOrWait(n) {
		return errNoMemory
	}
	h.charged += n
	return nil
}

// chargeBody charges the buffers of a request's body whose length is stated. One in
// chunks is charged as it is read. chargeBody returns the length of the part that the
// handler buffers.
func (h *headCharge) chargeBody(request *http.Request) (buffered int64, err error) {
	buffered = h.conn.server.BufferedBytes(request)
	if request.ContentLength < 0 {
		return buffered, nil
	}
	return buffered, h.charge(min(request.ContentLength, buffered) * clientload.BufferGrowth)
}

// bufferedHead returns the part of the buffered bytes that belongs to the next
// head.
func bufferedHead(buffered []byte) []byte {
	end := len(buffered)
	for _, blankLine := range []string{"\n\r\n", "\n\n"} {
		if i := bytes.Index(buffered[:end], []byte(blankLine)); i >= 0 {
			end = i + len(blankLine)
		}
	}
	return buffered[:end]
}

// startHead charges a request whose first bytes are buffered. While other requests
// of the connection are in flight it waits for one of them to end rather than
// refuse the request, so that the connection is not read meanwhile.
func (c *conn) startHead() (*headCharge, error) {
	head := &headCharge{conn: c}
	if err := head.charge(c.account.RequestBytes()); err != nil {
		return head, err
	}
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return head, eris.Wrap(err, "pipeline: peek at buffered bytes")
	}
	return head, head.add(bufferedHead(buffered))
}

// chargeOrWait charges n bytes. It returns false if that fails without another
// request in flight, or if the caller disconnects.
func (c *conn) chargeOrWait(n int64) bool {
	for {
		// A request releases its memory before it stops being in flight, so the
		// count is taken before the charge.
		ended, inFlight := c.nextEnd(), c.inFlightCount()
		if c.account.Charge(n) {
			return true
		}
		if inFlight == 0 || !c.awaitSignal(ended) {
			return false
		}
	}
}

// maxWriteBytes is the length of a part of a response that a client that reads takes
// within a moment.
const maxWriteBytes = 64 << 10

// responseWriter writes to a connection and notes while its client takes no bytes.
type responseWriter struct{ conn *conn }

// Write implements io.Writer.
func (w responseWriter) Write(p []byte) (written int, err error) {
	for len(p) > 0 && err == nil {
		n := 0
		w.conn.account.SetSending(true)
		n, err = w.conn.netConn.Write(p[:min(len(p), maxWriteBytes)])
		w.conn.account.SetSending(false)
		written += n
		p = p[n:]
	}
	return written, err
}
