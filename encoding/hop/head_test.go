package hop_test

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
)

// failingOnce is a source that fails once, after a number of bytes.
type failingOnce struct {
	io.Reader
	before int
	err    error
}

func (r *failingOnce) Read(p []byte) (int, error) {
	if r.before == 0 && r.err != nil {
		err := r.err
		r.err = nil
		return 0, err
	}
	if r.err != nil {
		p = p[:min(len(p), r.before)]
	}
	n, err := r.Reader.Read(p)
	r.before -= n
	return n, err
}

// Guards against a request whose head lacks a part: net/textproto ignores an error
// between two lines and reads on, so that a part that was refused, or that could not
// be read once, is missing. The length of the body can be in it, or the end of the
// head.
func TestErrorInHeadIsFinal(t *testing.T) {
	errOnce := errors.New("once")
	const bufferBytes = 64
	line := "A: " + strings.Repeat("b", 11) + "\r\n" // 16 bytes
	start := "POST / HTTP/1.1\r\nHost: h\r\nX-F: 12345678\r\n"
	start += "Y: " + strings.Repeat("y", bufferBytes-5-len(start)%bufferBytes) + "\r\n"
	head := start + strings.Repeat(line, 16) + "Content-Length: 4\r\n\r\nbody"
	for name, prepare := range map[string]func(*failingOnce, *hop.HeadReader){
		"refused charge": func(_ *failingOnce, r *hop.HeadReader) {
			parts := 0
			r.Charge(func([]byte) error {
				if parts++; parts == 2 {
					return errOnce
				}
				return nil
			})
		},
		"failed read":       func(s *failingOnce, r *hop.HeadReader) { s.err, s.before = errOnce, bufferBytes; r.Limit(1 << 10) },
		"failed first read": func(s *failingOnce, r *hop.HeadReader) { s.err = errOnce; r.Limit(1 << 10) },
	} {
		t.Run(name, func(t *testing.T) {
			source := &failingOnce{Reader: strings.NewReader(head)}
			heads := hop.NewHeadReader(source)
			prepare(source, heads)
			reader := bufio.NewReaderSize(heads, bufferBytes)
			_, err := http.ReadRequest(reader)
			must.ErrorIs(t, err, errOnce)
			heads.Unlimit()
			_, err = http.ReadRequest(reader)
			must.ErrorIs(t, err, errOnce, must.Sprint("the connection is not read on"))
		})
	}
}
