package hop_test

import (
	"io"
	"net"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// Guards against a response whose head breaks off and that reaches the caller as a
// complete one: without the lines that are missing, its body would have no length
// and end with the connection.
func TestHeadThatBreaksOffIsNoResponse(t *testing.T) {
	for name, head := range map[string]string{
		"with a length":        "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 12\r\n\r\n",
		"in chunks":            "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n",
		"without a length":     "HTTP/1.1 200 OK\r\nId: a\r\nX-B: c\r\n\r\n",
		"with a folded line":   "HTTP/1.1 200 OK\r\nId: a\r\nX-B: c\r\n  d\r\nContent-Length: 12\r\n\r\n",
		"lines ended by LF":    "HTTP/1.1 200 OK\nId: a\nContent-Length: 12\n\n",
		"after an interim one": "HTTP/1.1 103 Early Hints\r\nLink: b\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 12\r\n\r\n",
		"HTTP/1.0":             "HTTP/1.0 200 OK\r\nId: a\r\nX-B: c\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for end := range len(head) {
				s := startScripted(t, func(_ string, _ io.Reader, c net.Conn) bool {
					_, _ = io.WriteString(c, head[:end])
					return false
				})
				body, failure := roundTrip(t, newPool(), s, "a", nil)
				must.NotNil(t, failure, must.Sprint("head cut to ", strconv.Quote(head[:end]), ", body ", strconv.Quote(body)))
				must.Eq(t, verdict.MayHaveRun, failure.Verdict)
			}
		})
	}
}
