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

// headCharge charges the memory of a request while it is read.
type headCharge struct {
	conn    *conn
	charged int64
	lines   int
}

// add charges the next part of a head. Bytes after the head are not charged, unless the
// blank line before them is in two parts.
func (h *headCharge) add(part []byte) error {
	part = headPart(part)
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

// addBody charges the buffers of a request's body whose length is stated. One in chunks
// is charged as it is read. addBody returns the length of the part that the handler
// buffers.
func (h *headCharge) addBody(request *http.Request) (buffered int64, err error) {
	buffered = h.conn.server.BufferedBytes(request)
	if request.ContentLength < 0 {
		return buffered, nil
	}
	return buffered, h.charge(min(request.ContentLength, buffered) * clientload.BufferGrowth)
}

// headPart returns the bytes up to the end of the head.
func headPart(received []byte) []byte {
	end := len(received)
	for _, blankLine := range []string{"\n\r\n", "\n\n"} {
		if i := bytes.Index(received[:end], []byte(blankLine)); i >= 0 {
			end = i + len(blankLine)
		}
	}
	return received[:end]
}

// start charges a request whose first bytes are buffered.
func (h *headCharge) start() error {
	if err := h.charge(h.conn.account.RequestBytes()); err != nil {
		return err
	}
	reader := h.conn.reader
	buffered, err := reader.Peek(reader.Buffered())
	if err != nil {
		return eris.Wrap(err, "pipeline: peek at buffered bytes")
	}
	return h.add(buffered)
}

// chargeOrWait charges n bytes. While other requests of the connection are in flight it
// waits for one of them to end, so that the connection is not read meanwhile. It returns
// false if the charge fails without one, or if the caller disconnects.
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
