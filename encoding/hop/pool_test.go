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

// scripted is a backend server that answers each connection by a function, and
// counts the connections.
type scripted struct {
	address string
	conns   atomic.Int64
}

// script starts one; handle gets each request's ID and the connection, and
// returns false to end it.
func script(t *testing.T, handle func(id string, body io.Reader, conn net.Conn) bool) *scripted {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &scripted{address: l.Addr().String()}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go serveScript(conn, handle)
		}
	}()
	return s
}

func serveScript(conn net.Conn, handle func(string, io.Reader, net.Conn) bool) {
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

func answerTo(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func newPool() *hop.Pool {
	return &hop.Pool{Network: network.System{}, Belongs: func(a *http.Response, r *http.Request) bool {
		return a.Header.Get("Id") == r.Header.Get("Id")
	}}
}

// ask sends one request and returns the body of its answer.
func ask(t *testing.T, p *hop.Pool, s *scripted, id string, body io.Reader) (string, *verdict.Error) {
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
		r.ContentLength = -1 // as on a request that was received in chunks
	}
	response, failure := hop.Send(p, r)
	if failure != nil {
		return "", failure
	}
	defer response.Body.Close()
	if failure := hop.ReadShort(response); failure != nil {
		return "", failure
	}
	data, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	return string(data), nil
}

func TestPoolReusesAQuietConnection(t *testing.T) {
	s := script(t, func(id string, _ io.Reader, c net.Conn) bool {
		_, _ = io.WriteString(c, answerTo(id, id))
		return true
	})
	p := newPool()
	for _, id := range []string{"a", "b", "c"} {
		body, failure := ask(t, p, s, id, nil)
		must.Nil(t, failure)
		must.Eq(t, id, body)
	}
	must.Eq(t, 1, s.conns.Load())
}

// An answer that a backend server sends a second time belongs to nobody, when
// it comes at once as when it comes where the next answer is due.
func TestPoolPassesOverAnswersToOtherRequests(t *testing.T) {
	late := ""
	s := script(t, func(id string, _ io.Reader, c net.Conn) bool {
		_, _ = io.WriteString(c, late+answerTo(id, id))
		late = answerTo(id, "x")
		return true
	})
	p := newPool()
	for _, id := range []string{"a", "b", "c"} {
		body, failure := ask(t, p, s, id, nil)
		must.Nil(t, failure)
		must.Eq(t, id, body)
	}
	must.Eq(t, 1, s.conns.Load())
}

func TestPoolDropsAConnectionWithStrayBytes(t *testing.T) {
	s := script(t, func(id string, _ io.Reader, c net.Conn) bool {
		_, _ = io.WriteString(c, answerTo(id, id)+answerTo(id, "again"))
		return true
	})
	p := newPool()
	for _, id := range []string{"a", "b"} {
		body, failure := ask(t, p, s, id, nil)
		must.Nil(t, failure)
		must.Eq(t, id, body)
		time.Sleep(20 * time.Millisecond)
	}
	must.Eq(t, 2, s.conns.Load())
}

// A request sent on a connection that the backend server has closed may have
// run, so the closing has to be seen before.
func TestPoolSeesThatARestingConnectionWasClosed(t *testing.T) {
	s := script(t, func(id string, _ io.Reader, c net.Conn) bool {
		_, _ = io.WriteString(c, answerTo(id, id))
		return false
	})
	p := newPool()
	for _, id := range []string{"a", "b", "c"} {
		_, failure := ask(t, p, s, id, nil)
		must.Nil(t, failure)
		time.Sleep(20 * time.Millisecond)
	}
	must.Eq(t, 3, s.conns.Load())
}

func TestPoolSaysWhatMayHaveRun(t *testing.T) {
	s := script(t, func(_ string, _ io.Reader, c net.Conn) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n")
		return false
	})
	_, failure := ask(t, newPool(), s, "a", nil)
	must.Eq(t, verdict.MayHaveRun, failure.Verdict)
	gone := &scripted{address: "127.0.0.1:1"}
	_, failure = ask(t, newPool(), gone, "a", nil)
	must.Eq(t, verdict.NotRun, failure.Verdict)
	must.Eq(t, verdict.ConnectFailed, failure.Reason)
}

// An answer without a length ends with its connection. It is whole when the
// connection was closed, and broken off when it was reset.
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	s := script(t, func(id string, _ io.Reader, c net.Conn) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\nwhole")
		if id == "reset" {
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		return false
	})
	body, failure := ask(t, newPool(), s, "closed", nil)
	must.Nil(t, failure)
	must.Eq(t, "whole", body)
	_, failure = ask(t, newPool(), s, "reset", nil)
	must.Eq(t, verdict.ResponseTruncated, failure.Reason)
}

// A backend server may answer before the body is in, and read on: the rest of
// the body must not be followed by another request.
func TestPoolKeepsNoConnectionWhoseRequestWasNotSentWhole(t *testing.T) {
	s := script(t, func(id string, _ io.Reader, c net.Conn) bool {
		_, _ = io.WriteString(c, answerTo(id, id))
		return true
	})
	p := newPool()
	stuck, rest := io.Pipe()
	defer rest.Close()
	body, failure := ask(t, p, s, "a", io.MultiReader(strings.NewReader("part"), stuck))
	must.Nil(t, failure)
	must.Eq(t, "a", body)
	_, failure = ask(t, p, s, "b", nil)
	must.Nil(t, failure)
	must.Eq(t, 2, s.conns.Load())
}
