package hop

import (
	"io"
	"net/http"
	"strings"
)

// hopByHop are the headers that belong to one connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CopyHeaders copies the headers that go end to end from one message to the
// next; the nodes' own headers are left out.
func CopyHeaders(to, from http.Header) {
	for name, values := range from {
		if !strings.HasPrefix(name, prefix) {
			to[name] = append([]string(nil), values...)
		}
	}
	for _, list := range from["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		to.Del(name)
	}
}

// SingleUse hides every method of a body but Read and Close, and is never
// http.NoBody. net/http's Transport sends a request again by itself when a
// reused connection breaks and it takes the request for idempotent: by its
// method, or by an Idempotency-Key header. It does not do so for a body that
// it cannot rewind. Only the call decision may send again.
type SingleUse struct{ io.ReadCloser }
