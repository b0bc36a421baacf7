package hop

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/network"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

var (
	errInvalidStatus        = eris.New("hop: invalid status of a response")
	errUndelimited          = eris.New("hop: response with neither a length nor chunks")
	errContradictoryFraming = eris.New("hop: transfer encoding together with a length or HTTP/1.0")
)

// isFinalStatus reports whether a status is that of a final response (RFC 9110,
// 15). No request of a node asks for a change of protocols, so 101 is not one.
func isFinalStatus(status int) bool { return status >= http.StatusOK && status <= 599 }

// isInterimStatus reports whether a status is that of an interim response.
func isInterimStatus(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// RequireDelimited returns an error if the end of a response's body does not tell a
// complete one from a truncated one. Nodes always send a length or chunks to each
// other.
func RequireDelimited(r *http.Response) *verdict.Error {
	if isDelimited(r) {
		return nil
	}
	return verdict.New(verdict.MayHaveRun, verdict.ResponseTruncated, errUndelimited)
}

// AbortResponse ends a response in the middle, so that the caller cannot take it for
// complete. It does not return. The server closes the connection in order, which
// would be the end of a body without chunks, as in HTTP/1.0; such a connection is
// reset.
func AbortResponse(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		// The server of package pipeline does not support Hijack. It resets the
		// connection itself.
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			network.ResetOnClose(conn, true)
			_ = conn.Close() // the caller may have closed it
		}
	}
	panic(http.ErrAbortHandler)
}

// uploadProgress is how much of a request's body was read to be sent.
type uploadProgress struct {
	length  int64 // negative if unknown
	started atomic.Bool
	read    atomic.Int64
	ended   atomic.Bool
}

// isComplete reports whether the whole body was read.
func (p *uploadProgress) isComplete() bool {
	if p.length >= 0 {
		return p.read.Load() >= p.length
	}
	return p.ended.Load()
}

// trackUpload replaces the body of r by one whose progress is returned.
func trackUpload(r *http.Request) *uploadProgress {
	progress := &uploadProgress{length: r.ContentLength}
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		progress.length = 0
		return progress
	}
	r.Body = &uploadBody{ReadCloser: r.Body, progress: progress}
	return progress
}

// uploadBody is a request body that records its progress.
type uploadBody struct {
	io.ReadCloser
	progress *uploadProgress
}

// Read implements io.Reader.
func (b *uploadBody) Read(p []byte) (int, error) {
	b.progress.started.Store(true)
	n, err := b.ReadCloser.Read(p)
	b.progress.read.Add(int64(n))
	if err == io.EOF {
		b.progress.ended.Store(true)
	}
	return n, err
}

// undelimitedBody is a response body that ends with its connection. Its end before
// that of the request's body is a failure: a backend server that has stopped in the
// middle of an upload closes its connection in the same way.
type undelimitedBody struct {
	io.ReadCloser
	sent *uploadProgress
}

// Read implements io.Reader.
func (b *undelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.sent.isComplete() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// headSource is the source of a connection's buffer. It returns bytes that were
// read ahead before those of the connection.
type headSource struct {
	ahead []byte
	heads *HeadReader
}

// Read implements io.Reader.
func (s *headSource) Read(p []byte) (int, error) {
	if len(s.ahead) == 0 {
		return s.heads.Read(p)
	}
	n := copy(p, s.ahead)
	if s.ahead = s.ahead[n:]; len(s.ahead) == 0 {
		s.ahead = nil
	}
	return n, nil
}

// framing is what the lines of a head say about the length of the message.
type framing struct {
	started                          bool
	isHTTP10, hasLength, hasEncoding bool
	isInterim                        bool
}

// add adds a line and reports whether it ends the head.
func (f *framing) add(line []byte) (end bool) {
	line = bytes.TrimRight(line, "\r\n")
	if !f.started {
		f.started = true
		f.isHTTP10 = bytes.HasPrefix(line, []byte("HTTP/1.0 "))
		_, status, _ := bytes.Cut(line, []byte(" "))
		f.isInterim = bytes.HasPrefix(status, []byte("1")) && !bytes.HasPrefix(status, []byte("101"))
	}
	name, _, _ := bytes.Cut(line, []byte(":"))
	name = bytes.TrimSpace(name)
	f.hasLength = f.hasLength || bytes.EqualFold(name, []byte("Content-Length"))
	f.hasEncoding = f.hasEncoding || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	return len(line) == 0
}

// check returns an error if the framing contradicts itself.
func (f *framing) check() error {
	if f.hasEncoding && (f.hasLength || f.isHTTP10) {
		return errContradictoryFraming
	}
	return nil
}

// scannedLineBytes is the part of a head's line that headScan keeps: the status, or
// the names that framing looks for.
const scannedLineBytes = 32

// headScan reads the framing of the next final response from the bytes of a
// connection, for http.Transport, which gives no access to them.
type headScan struct {
	framing framing
	line    []byte // the start of the current line
}

// add adds bytes and reports whether the head has ended.
func (s *headScan) add(p []byte) (ended bool) {
	for len(p) > 0 {
		n := bytes.IndexByte(p, '\n') + 1
		part := p[:n]
		if n == 0 {
			part = p
		}
		s.line = append(s.line, part[:min(len(part), max(scannedLineBytes-len(s.line), 0))]...)
		if n == 0 {
			return false
		}
		p = p[n:]
		end := s.framing.add(s.line)
		s.line = s.line[:0]
		if end && !s.framing.isInterim {
			return true
		}
		if end {
			s.framing = framing{}
		}
	}
	return false
}

// checkFraming returns an error if the next head has a transfer encoding together
// with a length or with HTTP/1.0. http.ReadResponse ignores one of the two, and RFC
// 9112, 6.1, takes both for faulty framing. It consumes nothing.
func (c *poolConn) checkFraming() error {
	var f framing
	for scanned := 0; ; {
		buffered, _ := c.reader.Peek(c.reader.Buffered()) // cannot fail
		for {
			n := bytes.IndexByte(buffered[scanned:], '\n') + 1
			if n == 0 {
				break
			}
			if f.add(buffered[scanned : scanned+n]) {
				return f.check()
			}
			scanned += n
		}
		if len(buffered) == c.reader.Size() {
			return c.checkLongFraming()
		}
		if _, err := c.reader.Peek(len(buffered) + 1); err != nil {
			return headError(err, len(buffered))
		}
	}
}

// checkLongFraming is checkFraming for a head longer than the buffer. It reads the
// head and puts it back.
func (c *poolConn) checkLongFraming() error {
	var f framing
	var head []byte
	for lineStart := 0; ; {
		part, err := c.reader.ReadSlice('\n')
		head = append(head, part...)
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return headError(err, len(head))
		}
		if f.add(head[lineStart:]) {
			break
		}
		lineStart = len(head)
	}
	c.putBack(head)
	return f.check()
}

// headError returns the error of a head that ends after n bytes.
func headError(err error, n int) error {
	if err == io.EOF && n > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// putBack puts bytes that were read before those that are buffered.
func (c *poolConn) putBack(data []byte) {
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // cannot fail
	data = append(data, buffered...)
	c.source.ahead = append(data, c.source.ahead...)
	c.reader.Reset(c.source)
}

// hasUnread reports whether bytes were received that nothing has read yet.
func (c *poolConn) hasUnread() bool { return c.reader.Buffered() > 0 || len(c.source.ahead) > 0 }
