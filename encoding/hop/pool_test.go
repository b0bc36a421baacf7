package hop_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
	"github.com/marigoldshelf/marigoldshelf/network"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// scriptedServer is a backend server that handles requests with a function and
// counts connections.
type scriptedServer struct {
	address string
	conns   atomic.Int64
}

// startScripted starts a scriptedServer. handle gets each request's ID and body,
// writes the response to the connection, and returns false to close it.
func startScripted(t *testing.T, handle func(id string, body io.Reader, conn net.Conn) bool) *scriptedServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &scriptedServer{address: l.Addr().String()}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go serveConn(conn, handle)
		}
	}()
	return s
}

func serveConn(conn net.Conn, handle func(string, io.Reader, net.Conn) bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil || !handle(r.Header.Get("Id"), r.Body, conn) {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// responseTo returns a response to the request id. The body must be shorter than
// 10 bytes.
func responseTo(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func newPool() *hop.Pool {
	return &hop.Pool{Network: network.System{}, IsResponseTo: func(response *http.Response, sent *http.Request) bool {
		return response.Header.Get("Id") == sent.Header.Get("Id")
	}}
}

// roundTrip sends one request and returns the body of its response.
func roundTrip(t *testing.T, p *hop.Pool, s *scriptedServer, id string, body io.Reader) (string, *verdict.Error) {
	t.Helper()
	method := http.MethodGet
	if body != nil {
		method = http.MethodPost
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+s.address+"/", body)
	must.NoError(t, err)
	r.Header.Set("Id", id)
	if body != nil {
		r.ContentLength = -1 // as in a request received with chunked encoding
	}
	response, failure := hop.Send(p, r)
	if failure != nil {
		return "", failure
	}
	defer response.Body.Close()
	if failure := hop.BufferShortBody(response); failure != nil {
		return "", failure
	}
	data, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	return string(data), nil
}

func TestPoolReusesIdleConnection(t *testing.T) {
	s := startScripted(t, func(id string, _ io.Reader, c net.Conn) bool {
		_, _ = io.WriteString(c, responseTo(id, id))
		return true
	})
	p := newPool()
	for _, id := range []string{"a", "b", "c"} {
		body, failure := roundTrip(t, p, s, id, nil)
		must.Nil(t, failure)
		must.Eq(t, id, body)
	}
	must.Eq(t, 1, s.conns.Load())
}

// Guards against a response that names no request: the second copy of an earlier
// one, while the response to this request is still to come. The connection must
// not go back to the pool, where the next request would read that response.
func TestPoolClosesAConnectionAfterAResponseWithoutID(t *testing.T) {
	s := startScripted(t, func(id string, _ io.Reader, c net.Conn) bool {
		if id == "a" {
			_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
			time.Sleep(50 * time.Millisecond)
		}
		_, _ = io.WriteString(c, responseTo(id, id))
		return true
	})
	p := newPool()
	p.IsResponseTo = func(response *http.Response, sent *http.Request) bool {
		return response.Header.Get("Id") == "" || response.Header.Get("Id") == sent.Header.Get("Id")
	}
	p.IsAuthentic = func(response *http.Response, _ *http.Request) bool { return response.Header.Get("Id") != "" }
	body, failure := roundTrip(t, p, s, "a", nil)
	must.Nil(t, failure)
	must.Eq(t, "", body)
	body, failure = roundTrip(t, p, s, "b", nil)
	must.Nil(t, failure)
	must.Eq(t, "b", body)
	must.Eq(t, 2, s.conns.Load())
}

// TestPoolSkipsResponsesToOtherRequests checks that the pool skips a response to
// an earlier request that arrives where the next response is expected.
func TestPoolSkipsResponsesToOtherRequests(t *testing.T) {
	previous := ""
	s := startScripted(t, func(id string, _ io.Reader, c net.Conn) bool {
		_, _ = io.WriteString(c, previous+responseTo(id, id))
		previous = responseTo(id, "x")
		return true
	})
	p := newPool()
	for _, id := range []string{"a", "b", "c"} {
		body, failure := roundTrip(t, p, s, id, nil)
		must.Nil(t, failure)
		must.Eq(t, id, body)
	}
	must.Eq(t, 1, s.conns.Load())
}

// TestPoolDropsConnectionWithStrayBytes checks that a connection is not reused
// after the backend server has sent a response twice.
func TestPoolDropsConnectionWithStrayBytes(t *testing.T) {
	s := startScripted(t, func(id string, _ io.Reader, c net.Conn) bool {
		_, _ = io.WriteString(c, responseTo(id, id)+responseTo(id, "again"))
		return true
	})
	p := newPool()
	for _, id := range []string{"a", "b"} {
		body, failure := roundTrip(t, p, s, id, nil)
		must.Nil(t, failure)
		must.Eq(t, id, body)
		time.Sleep(20 * time.Millisecond)
	}
	must.Eq(t, 2, s.conns.Load())
}

// TestPoolDetectsClosedIdleConnection checks that the pool does not use an idle
// connection that the backend server has closed. A request written to it would
// fail as MayHaveRun.
func TestPoolDetectsClosedIdleConnection(t *testing.T) {
	s := startScripted(t, func(id string, _ io.Reader, c net.Conn) bool {
		_, _ = io.WriteString(c, responseTo(id, id))
		return false
	})
	p := newPool()
	for _, id := range []string{"a", "b", "c"} {
		_, failure := roundTrip(t, p, s, id, nil)
		must.Nil(t, failure)
		time.Sleep(20 * time.Millisecond)
	}
	must.Eq(t, 3, s.conns.Load())
}

// TestPoolFailureVerdicts checks that a request fails as MayHaveRun when its
// response is truncated, and as NotRun when no connection was made.
func TestPoolFailureVerdicts(t *testing.T) {
	s := startScripted(t, func(_ string, _ io.Reader, c net.Conn) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n")
		return false
	})
	_, failure := roundTrip(t, newPool(), s, "a", nil)
	must.Eq(t, verdict.MayHaveRun, failure.Verdict)
	unreachable := &scriptedServer{address: "127.0.0.1:1"}
	_, failure = roundTrip(t, newPool(), unreachable, "a", nil)
	must.Eq(t, verdict.NotRun, failure.Verdict)
	must.Eq(t, verdict.ConnectFailed, failure.Reason)
}

// TestResponseDelimitedByClose checks responses without a length, which end with
// their connection: they are complete when the connection was closed, and
// truncated when it was reset.
func TestResponseDelimitedByClose(t *testing.T) {
	s := startScripted(t, func(id string, _ io.Reader, c net.Conn) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\nwhole")
		if id == "reset" {
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		return false
	})
	body, failure := roundTrip(t, newPool(), s, "closed", nil)
	must.Nil(t, failure)
	must.Eq(t, "whole", body)
	_, failure = roundTrip(t, newPool(), s, "reset", nil)
	must.Eq(t, verdict.ResponseTruncated, failure.Reason)
}

// TestPoolDropsConnectionWithUnsentBody checks that a connection is not reused
// when the response arrived before the request body was sent. The backend server
// would read the next request as the rest of that body.
func TestPoolDropsConnectionWithUnsentBody(t *testing.T) {
	s := startScripted(t, func(id string, _ io.Reader, c net.Conn) bool {
		_, _ = io.WriteString(c, responseTo(id, id))
		return true
	})
	p := newPool()
	blocked, rest := io.Pipe()
	defer rest.Close()
	body, failure := roundTrip(t, p, s, "a", io.MultiReader(strings.NewReader("part"), blocked))
	must.Nil(t, failure)
	must.Eq(t, "a", body)
	_, failure = roundTrip(t, p, s, "b", nil)
	must.Nil(t, failure)
	must.Eq(t, 2, s.conns.Load())
}

// Guards against a long body without length whose connection is reset, passed on
// as a whole one: only the beginning is buffered, the rest is streamed.
func TestLongUndelimitedBodyThatIsResetIsNotComplete(t *testing.T) {
	long := strings.Repeat("b", 300<<10)
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		s := startScripted(t, func(id string, _ io.Reader, c net.Conn) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\n"+long)
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			return false
		})
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.address+"/", nil)
		must.NoError(t, err)
		r.Header.Set("Id", "a")
		response, failure := hop.Send(newPool(), r)
		must.Nil(t, failure)
		if failure := hop.BufferShortBody(response); failure != nil {
			must.True(t, reset, must.Sprint(name))
			must.Eq(t, verdict.ResponseTruncated, failure.Reason)
			continue
		}
		n, err := io.Copy(io.Discard, response.Body)
		must.Eq(t, reset, err != nil, must.Sprint(name))
		if !reset {
			must.Eq(t, int64(len(long)), n)
		}
		_ = response.Body.Close()
	}
}
