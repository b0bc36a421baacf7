package hop

import (
	"io"
	"net/http"
	"strings"
)

// hopByHop lists the headers that apply to one connection only (RFC 9110, 7.6.1).
// Expect is among them: each hop decides when the body is sent.
var hopByHop = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CopyHeaders copies the end-to-end headers of a message to the forwarded one.
// It leaves out the nodes' own headers and hop-by-hop headers, including those
// listed in Connection.
func CopyHeaders(to, from http.Header) {
	for name, values := range from {
		if !strings.HasPrefix(name, prefix) {
			to[name] = append([]string(nil), values...)
		}
	}
	for _, connectionHeader := range from["Connection"] {
		for name := range strings.SplitSeq(connectionHeader, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		to.Del(name)
	}
}

// ReceivedPath returns the path of a request as it was received, with its escapes.
// The decoded path does not tell an escaped slash from one that separates segments.
func ReceivedPath(r *http.Request) string {
	if r.URL.RawPath != "" {
		return r.URL.RawPath
	}
	return r.URL.EscapedPath()
}

// NonReplayableBody is a request body that http.Transport does not replay. The
// transport resends a request when a reused connection breaks and the request
// counts as idempotent, by its method or an Idempotency-Key header, unless it
// cannot rewind the body. Only package decide/call decides about retries.
// NonReplayableBody hides every method of the body except Read and Close, and is
// never http.NoBody.
type NonReplayableBody struct{ io.ReadCloser }
