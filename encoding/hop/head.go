package hop

import (
	"io"

	"github.com/rotisserie/eris"
)

// ErrHeadTooLong is returned when the head of a message exceeds its limit.
var ErrHeadTooLong = eris.New("hop: message head exceeds the size limit")

// HeadReader limits the bytes that are read from a connection while the head of
// a message is read. http.ReadRequest and http.ReadResponse have no limit of
// their own. It is not safe for concurrent use.
//
// The first error within a head is final, because a part of the head is then
// missing: net/textproto ignores an error between two lines, and bufio.Reader
// reports one only once.
type HeadReader struct {
	source    io.Reader
	remaining int64 // in bytes; negative means no limit
	failed    error // the first error within a head
	// charge is called with each part of a head that was read, before it is
	// parsed; an error ends the head. Nil means no charge.
	charge func(part []byte) error
}

// NewHeadReader returns a reader of source without a limit.
func NewHeadReader(source io.Reader) *HeadReader { return &HeadReader{source: source, remaining: -1} }

// Limit limits the following reads to n bytes in total. A bufio.Reader on top
// can read beyond the head, so n includes the bytes that it has buffered.
func (r *HeadReader) Limit(n int64) { r.remaining = max(n, 0) }

// Charge sets the function that is called with each part of a head that is read,
// until Unlimit.
func (r *HeadReader) Charge(charge func(part []byte) error) { r.charge = charge }

// Unlimit removes the limit and the function of Charge.
func (r *HeadReader) Unlimit() { r.remaining, r.charge = -1, nil }

// Err returns the first error within a head, nil without one. It is the cause of an error
// of http.ReadRequest, which can take a line that breaks off for a malformed one.
func (r *HeadReader) Err() error { return r.failed }

// Read implements io.Reader. It returns ErrHeadTooLong at the limit, and the error
// of an earlier read within a head.
func (r *HeadReader) Read(p []byte) (int, error) {
	if r.failed != nil {
		return 0, r.failed
	}
	inHead := r.remaining >= 0 || r.charge != nil
	n, err := r.read(p)
	if inHead {
		r.failed = err
	}
	return n, err
}

func (r *HeadReader) read(p []byte) (int, error) {
	if r.remaining == 0 {
		return 0, ErrHeadTooLong
	}
	if r.remaining > 0 && int64(len(p)) > r.remaining {
		p = p[:r.remaining]
	}
	n, err := r.source.Read(p)
	if r.remaining > 0 {
		r.remaining -= int64(n)
	}
	if r.charge != nil && n > 0 {
		if chargeErr := r.charge(p[:n]); chargeErr != nil {
			return 0, chargeErr
		}
	}
	return n, err
}
