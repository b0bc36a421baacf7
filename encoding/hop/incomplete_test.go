package hop_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
	"github.com/marigoldshelf/marigoldshelf/network"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// uploadBlock is the size of the writes of an upload without end.
const uploadBlock = 32 << 10

// upload is a request body that is never sent whole. It sends blocks without end,
// or blocks after the first one if it is paused.
type upload struct {
	paused bool
	sent   bool
	closed chan struct{}
}

// Read implements io.Reader.
func (u *upload) Read(p []byte) (int, error) {
	if u.paused && u.sent {
		<-u.closed
		return 0, errors.New("closed")
	}
	u.sent = true
	n := min(len(p), uploadBlock)
	for i := range n {
		p[i] = 'u'
	}
	return n, nil
}

// connectionEnds lists how a backend server ends a connection whose upload it has
// not read. Each function returns after the end.
var connectionEnds = map[string]func(c *net.TCPConn){
	"reset": func(c *net.TCPConn) {
		_ = c.SetLinger(0)
		_ = c.Close()
	},
	"close with the upload unread": func(c *net.TCPConn) { _ = c.Close() },
	"half-close": func(c *net.TCPConn) {
		_ = c.CloseWrite()
		time.Sleep(300 * time.Millisecond)
		_ = c.Close()
	},
}

// Guards against the start of a response without a length that reaches the caller
// as a complete one: the connection is reset while the upload is being written, the
// write takes the socket's error, and the reader sees an end of the connection that
// looks orderly. The body is read at once, or after the end is in the buffers.
func TestUndelimitedResponseToAnUnfinishedUploadIsNotComplete(t *testing.T) {
	for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for end, endConnection := range connectionEnds {
			for _, paused := range []bool{false, true} {
				for _, c := range []struct {
					hop       string
					transport http.RoundTripper
					readDelay time.Duration
				}{
					{"pool", newPool(), 0},
					{"pool", newPool(), 60 * time.Millisecond},
					{"transport", hop.NewTransport(network.System{}, 0), 0},
					{"transport", hop.NewTransport(network.System{}, 0), 60 * time.Millisecond},
				} {
					t.Run(fmt.Sprint(c.hop, " ", protocol, " ", end, " paused=", paused, " delay=", c.readDelay), func(t *testing.T) {
						ended := make(chan struct{})
						s := startScripted(t, func(_ string, body io.Reader, c net.Conn) bool {
							defer close(ended)
							_, err := io.ReadFull(body, make([]byte, 1000))
							must.NoError(t, err)
							_, _ = io.WriteString(c, protocol+" 200 OK\r\nId: a\r\n\r\npart")
							time.Sleep(20 * time.Millisecond)
							endConnection(c.(*net.TCPConn))
							return false
						})
						u := &upload{paused: paused, closed: make(chan struct{})}
						defer close(u.closed)
						ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
						defer cancel()
						r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.address+"/", io.NopCloser(u))
						must.NoError(t, err)
						r.ContentLength = -1
						r.Header.Set("Id", "a")
						response, failure := hop.Send(c.transport, r)
						if failure == nil {
							time.Sleep(c.readDelay)
							failure = hop.BufferShortBody(response)
							_ = response.Body.Close()
						}
						must.NotNil(t, failure, must.Sprint("the part was taken for a complete response"))
						must.Eq(t, verdict.MayHaveRun, failure.Verdict)
						must.Nil(t, ctx.Err(), must.Sprint("not only at the deadline"))
						<-ended
					})
				}
			}
		}
	}
}

// Guards against refusing complete responses with the incomplete ones: a backend
// server that reads the upload to its end, answers without a length and closes.
func TestUndelimitedResponseToAWholeUploadIsComplete(t *testing.T) {
	for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
		s := startScripted(t, func(_ string, body io.Reader, c net.Conn) bool {
			_, _ = io.Copy(io.Discard, body)
			_, _ = io.WriteString(c, protocol+" 200 OK\r\nId: a\r\n\r\nwhole")
			return false
		})
		for range 50 {
			body, failure := roundTrip(t, newPool(), s, "a", strings.NewReader(strings.Repeat("u", 100<<10)))
			must.Nil(t, failure)
			must.Eq(t, "whole", body)
		}
	}
}

// invalidHeads lists heads of responses that are a failure of the backend server.
// Each is followed by a body of two bytes and the end of the connection.
var invalidHeads = map[string]string{
	"status 000":              "HTTP/1.1 000 None\r\nId: a\r\nContent-Length: 2\r\n\r\n",
	"status 000 in HTTP/1.0":  "HTTP/1.0 000 None\r\nId: a\r\n\r\n",
	"status 099":              "HTTP/1.1 099 None\r\nId: a\r\nContent-Length: 2\r\n\r\n",
	"status +20":              "HTTP/1.1 +20 None\r\nId: a\r\nContent-Length: 2\r\n\r\n",
	"status -20":              "HTTP/1.1 -20 None\r\nId: a\r\nContent-Length: 2\r\n\r\n",
	"status 600":              "HTTP/1.1 600 None\r\nId: a\r\nContent-Length: 2\r\n\r\n",
	"status 1000":             "HTTP/1.1 1000 None\r\nId: a\r\nContent-Length: 2\r\n\r\n",
	"status of two digits":    "HTTP/1.1 20 OK\r\nId: a\r\nContent-Length: 2\r\n\r\n",
	"status of letters":       "HTTP/1.1 abc OK\r\nId: a\r\nContent-Length: 2\r\n\r\n",
	"no status":               "HTTP/1.1\r\nId: a\r\nContent-Length: 2\r\n\r\n",
	"interim without end":     "HTTP/1.1 103 Early Hints\r\nId: a\r\n\r\n",
	"unsolicited 101":         "HTTP/1.1 101 Switching Protocols\r\nId: a\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
	"101 and a response":      "HTTP/1.1 101 Switching Protocols\r\nId: a\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\n",
	"two lengths that differ": "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\nContent-Length: 1\r\n\r\n",
	"lengths in one line":     "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2, 1\r\n\r\n",
	"negative length":         "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: -1\r\n\r\n",
}

// contradictoryFraming lists responses with a length together with chunked encoding,
// or with an encoding that HTTP/1.0 does not have.
var contradictoryFraming = map[string]string{
	"length and chunks":         "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"chunks and length":         "HTTP/1.1 200 OK\r\nId: a\r\ntransfer-encoding: chunked\r\ncontent-length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"chunks in HTTP/1.0":        "HTTP/1.0 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"length and chunks in 1.0":  "HTTP/1.0 200 OK\r\nId: a\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"after a long head of 5 kB": "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\nX-A: " + strings.Repeat("a", 5000) + "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
}

// Guards against an invalid head that reaches the caller as an answer, or that is
// taken as a statement that the request has not run.
func TestInvalidHeadIsAFailureThatMayHaveRun(t *testing.T) {
	for name, head := range invalidHeads {
		for hopName, newTransport := range map[string]func() http.RoundTripper{
			"backend server": func() http.RoundTripper { return newPool() },
			"node":           func() http.RoundTripper { return hop.NewTransport(network.System{}, 0) },
		} {
			t.Run(name+" from a "+hopName, func(t *testing.T) {
				requireFailure(t, newTransport(), head+"ok")
			})
		}
	}
	for name, response := range contradictoryFraming {
		t.Run(name+" from a backend server", func(t *testing.T) { requireFailure(t, newPool(), response) })
		t.Run(name+" from a node", func(t *testing.T) {
			requireFailure(t, hop.NewTransport(network.System{}, 0), response)
		})
		t.Run(name+" after an interim response", func(t *testing.T) {
			interim := "HTTP/1.1 103 Early Hints\r\nContent-Length: 2\r\n\r\n"
			requireFailure(t, hop.NewTransport(network.System{}, 0), interim+response)
		})
	}
}

// requireFailure sends a request to a server that sends the response and closes
// the connection, and requires a failure that may have run.
func requireFailure(t *testing.T, transport http.RoundTripper, response string) {
	t.Helper()
	s := startScripted(t, func(_ string, _ io.Reader, c net.Conn) bool {
		_, _ = io.WriteString(c, response)
		return false
	})
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.address+"/", nil)
	must.NoError(t, err)
	r.Header.Set("Id", "a")
	got, failure := hop.Send(transport, r)
	if failure == nil {
		failure = hop.BufferShortBody(got)
		_ = got.Body.Close()
		must.NotNil(t, failure, must.Sprint("taken for an answer with status ", got.StatusCode))
	}
	must.Eq(t, verdict.MayHaveRun, failure.Verdict)
}

// Guards against bytes behind a response that are lost from sight when its head is
// checked: the connection must not be reused with them.
func TestLongHeadKeepsTheBytesBehindIt(t *testing.T) {
	s := startScripted(t, func(id string, _ io.Reader, c net.Conn) bool {
		head := "HTTP/1.1 200 OK\r\nId: " + id + "\r\nX-A: " + strings.Repeat("a", 6000) + "\r\nContent-Length: 5\r\n\r\n"
		_, _ = io.WriteString(c, head+"whole"+"stray")
		return true
	})
	p := newPool()
	for range 3 {
		body, failure := roundTrip(t, p, s, "a", nil)
		must.Nil(t, failure)
		must.Eq(t, "whole", body)
	}
	must.Eq(t, 3, s.conns.Load())
}

// Guards against bytes of an upload that reach another request: the backend server
// answers early with a length, keeps the connection and reads on. It gets the rest
// of the body, or the connection ends.
func TestRestOfAnUploadReachesNoOtherRequest(t *testing.T) {
	type rest struct {
		data string
		err  error
	}
	rests := make(chan rest, 8)
	s := startScripted(t, func(id string, body io.Reader, c net.Conn) bool {
		_, _ = io.WriteString(c, responseTo(id, id))
		data, err := io.ReadAll(body)
		if id == "a" {
			rests <- rest{string(data), err}
		}
		return true
	})
	p := newPool()
	source, sink := io.Pipe()
	body, failure := roundTrip(t, p, s, "a", source)
	must.Nil(t, failure)
	must.Eq(t, "a", body)
	for _, id := range []string{"b", "c"} {
		body, failure = roundTrip(t, p, s, id, nil)
		must.Nil(t, failure)
		must.Eq(t, id, body)
	}
	go func() {
		_, _ = io.WriteString(sink, "rest of the upload")
		_ = sink.Close()
	}()
	got := <-rests
	if got.err == nil {
		must.Eq(t, "rest of the upload", got.data)
	}
	must.Eq(t, 2, s.conns.Load())
}
