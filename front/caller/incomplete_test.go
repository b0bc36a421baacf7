package caller

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
	"github.com/marigoldshelf/marigoldshelf/front/pipeline"
	"github.com/marigoldshelf/marigoldshelf/network"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// brokenBody is a response body that breaks off after its content, or ends if
// failure is nil.
type brokenBody struct {
	io.Reader
	failure error
}

// Read implements io.Reader.
func (b brokenBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF && b.failure != nil {
		time.Sleep(20 * time.Millisecond) // what was passed on arrives before the end
		return n, b.failure
	}
	return n, err
}

// Close implements io.Closer.
func (brokenBody) Close() error { return nil }

// serveResponse starts a server that passes on a response with the body. It uses
// the server of nodes with an adapter, or that of net/http.
func serveResponse(t *testing.T, adapter bool, newBody func() io.ReadCloser) (address string) {
	h := &Handler{Config: Config{
		Clock: clock.System{}, Record: noRecorder{}, Dialect: hop.DefaultDialect{}, IdleTimeout: time.Second,
		Count: func(Event, verdict.Reason) {}, Stopping: func() bool { return false },
	}}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.writeResponse(hop.EnableFullDuplex(w, r), &exchange{request: r}, &http.Response{
			StatusCode: http.StatusOK, Header: http.Header{}, Body: newBody(), ContentLength: -1,
		})
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	if adapter {
		go func() {
			_ = pipeline.New(pipeline.Config{
				Handler: handler, Limits: func() pipeline.Limits { return pipeline.Limits{IdleTimeout: time.Minute} },
			}).Serve(l)
		}()
	} else {
		go func() { _ = (&http.Server{Handler: handler}).Serve(l) }()
	}
	return l.Addr().String()
}

// Guards against a truncated response that a caller takes for complete: without
// chunks, as for HTTP/1.0, only a reset of the connection shows it.
func TestTruncatedResponseIsNotCompleteAtTheCaller(t *testing.T) {
	for _, adapter := range []bool{false, true} {
		for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
			for _, method := range []string{"GET", "POST"} {
				for name, failure := range map[string]error{"broken": errors.New("reset"), "whole": nil} {
					t.Run(fmt.Sprint(protocol, " ", method, " ", name, " adapter=", adapter), func(t *testing.T) {
						address := serveResponse(t, adapter, func() io.ReadCloser {
							return brokenBody{strings.NewReader("part"), failure}
						})
						conn, err := net.Dial("tcp", address)
						must.NoError(t, err)
						defer conn.Close()
						must.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
						body := ""
						if method == "POST" { // an upload that is still being sent
							body = "Content-Length: 200000\r\n\r\n" + strings.Repeat("u", 1000)
						} else {
							body = "\r\n"
						}
						_, err = io.WriteString(conn, method+" / "+protocol+"\r\nHost: h\r\n"+body)
						must.NoError(t, err)
						response, err := http.ReadResponse(bufio.NewReader(conn), nil)
						if err != nil && failure != nil {
							return // the connection ended without a response
						}
						must.NoError(t, err)
						data, err := io.ReadAll(response.Body)
						if failure != nil && response.StatusCode != http.StatusBadGateway {
							must.Error(t, err, must.Sprintf("taken for complete: %q", data))
						}
						if failure == nil && method == "GET" {
							must.NoError(t, err)
							must.Eq(t, "part", string(data))
						}
						must.False(t, protocol == "HTTP/1.0" && len(response.TransferEncoding) > 0, must.Sprint("HTTP/1.0 has no chunks"))
					})
				}
			}
		}
	}
}

// Guards against the start of a response from another node that is taken for
// complete: a node always sends a length or chunks, so that a response without
// them has lost its framing.
func TestResponseOfANodeHasALengthOrChunks(t *testing.T) {
	info := http.Header{}
	hop.ResponseInfo{Verdict: verdict.Ran}.Write(info)
	var headers strings.Builder
	must.NoError(t, info.Write(&headers))
	for name, c := range map[string]struct {
		head, body string
		want       bool
	}{
		"length":   {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n", "part", true},
		"chunks":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", "4\r\npart\r\n0\r\n\r\n", true},
		"no body":  {"HTTP/1.1 204 No Content\r\n", "", true},
		"neither":  {"HTTP/1.1 200 OK\r\n", "part", false},
		"HTTP/1.0": {"HTTP/1.0 200 OK\r\n", "part", false},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer l.Close()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, c.head+headers.String()+"\r\n"+c.body)
			}()
			h := &Handler{Config: Config{PeerTransport: hop.NewTransport(network.System{}, 0)}}
			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+l.Addr().String()+"/", nil)
			must.NoError(t, err)
			response, _, failure := h.forward(r)
			must.Eq(t, c.want, failure == nil)
			if failure != nil {
				must.Eq(t, verdict.MayHaveRun, failure.Verdict)
				return
			}
			_ = response.Body.Close()
		})
	}
}
