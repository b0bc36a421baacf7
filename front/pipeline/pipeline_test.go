package pipeline_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/front/pipeline"
	"github.com/marigoldshelf/marigoldshelf/internal/memnet"
)

// client is one connection to a server in a synctest bubble.
type client struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (c client) send(data string) {
	c.t.Helper()
	_, err := io.WriteString(c.conn, data)
	must.NoError(c.t, err)
}

// get sends a GET request for each path without waiting for responses.
func (c client) get(paths ...string) {
	for _, path := range paths {
		c.send("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n")
	}
}

// readResponse reads the next response and its body.
func (c client) readResponse() (*http.Response, string) {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	must.NoError(c.t, err)
	body, err := io.ReadAll(response.Body)
	must.NoError(c.t, err)
	return response, string(body)
}

// isClosed waits for the next byte and reports whether the server closed the
// connection instead.
func (c client) isClosed() bool {
	_, err := c.reader.ReadByte()
	return err != nil
}

// runWithServer runs a test against a server in a synctest bubble (virtual time)
// and shuts the server down.
func runWithServer(t *testing.T, limits pipeline.Limits, h http.HandlerFunc, test func(client, *pipeline.Server)) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond, 1)
		listener, err := network.Host("10.0.0.1").Listen("10.0.0.1:80")
		must.NoError(t, err)
		server := pipeline.New(pipeline.Config{Handler: h, Limits: func() pipeline.Limits { return limits }})
		go func() { _ = server.Serve(listener) }()
		conn, err := network.Host("10.0.0.2").DialContext(t.Context(), "tcp", "10.0.0.1:80")
		must.NoError(t, err)
		test(client{t, conn, bufio.NewReader(conn)}, server)
		_ = conn.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		must.NoError(t, server.Shutdown(ctx))
	})
}

// echo responds with the request's path after the duration in ?after=.
func echo(w http.ResponseWriter, r *http.Request) {
	delay, err := time.ParseDuration(r.URL.Query().Get("after"))
	if err == nil {
		time.Sleep(delay)
	}
	_, _ = io.WriteString(w, r.URL.Path)
}

func TestPipelinedRequestsRunConcurrentlyAndRespondInOrder(t *testing.T) {
	runWithServer(t, pipeline.Limits{}, echo, func(c client, _ *pipeline.Server) {
		start := time.Now()
		c.get("/a?after=300ms", "/b?after=100ms", "/c?after=300ms")
		for _, want := range []string{"/a", "/b", "/c"} {
			_, body := c.readResponse()
			must.Eq(t, want, body)
		}
		must.Less(t, 400*time.Millisecond, time.Since(start), must.Sprint("the requests did not run concurrently"))
	})
}

// Guards against trailers that are lost because a short response is complete before its
// turn, and would get a length in place of chunks.
func TestTrailersOfResponseBeforeItsTurn(t *testing.T) {
	handler := func(w http.ResponseWriter, r *http.Request) {
		echo(w, r)
		must.NoError(t, http.NewResponseController(w).Flush())
		w.Header().Set(http.TrailerPrefix+"X-Sum", "1")
	}
	runWithServer(t, pipeline.Limits{}, handler, func(c client, _ *pipeline.Server) {
		c.get("/a?after=50ms", "/b")
		for _, want := range []string{"/a", "/b"} {
			response, body := c.readResponse()
			must.Eq(t, want, body)
			must.Eq(t, "1", response.Trailer.Get("X-Sum"), must.Sprint(want))
		}
	})
}

// A caller sends all requests after a response with Connection: close again, also
// ones that are not idempotent. If the server had already read one of them, it
// would run twice.
func TestConnectionClosesOnlyAfterLastReadRequest(t *testing.T) {
	ran := make(chan string, 8)
	handler := func(w http.ResponseWriter, r *http.Request) {
		ran <- r.URL.Path
		w.Header().Set("Connection", "close")
		echo(w, r)
	}
	runWithServer(t, pipeline.Limits{}, handler, func(c client, _ *pipeline.Server) {
		c.get("/a?after=50ms", "/b?after=10ms")
		first, _ := c.readResponse()
		must.False(t, first.Close)
		second, body := c.readResponse()
		must.Eq(t, "/b", body)
		must.True(t, second.Close)
		must.True(t, c.isClosed())
		must.Eq(t, 2, len(ran))
	})
}

func TestNextRequestIsReadAfterBodyEnds(t *testing.T) {
	handler := func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		must.NoError(t, err)
		_, _ = io.WriteString(w, r.URL.Path+":"+string(body))
	}
	runWithServer(t, pipeline.Limits{}, handler, func(c client, _ *pipeline.Server) {
		c.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nonePOST /b HTTP/1.1\r\nHost: h\r\n" +
			"Transfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\n")
		c.get("/c")
		for _, want := range []string{"/a:one", "/b:two", "/c:"} {
			_, body := c.readResponse()
			must.Eq(t, want, body)
		}
	})
}

// After a response to a request whose body was not read, the rest of the body
// must not be parsed as the next request.
func TestResponseBeforeEndOfBodyClosesConnection(t *testing.T) {
	refuse := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	runWithServer(t, pipeline.Limits{}, refuse, func(c client, _ *pipeline.Server) {
		c.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nGET /")
		response, _ := c.readResponse()
		must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
		must.True(t, response.Close)
		must.True(t, c.isClosed(), must.Sprint("the rest of the body was read as a request"))
	})
}

func TestDisconnectCancelsRequests(t *testing.T) {
	canceled := make(chan struct{})
	wait := func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(canceled)
	}
	runWithServer(t, pipeline.Limits{IdleTimeout: time.Hour}, wait, func(c client, _ *pipeline.Server) {
		c.get("/a")
		time.Sleep(time.Second)
		must.NoError(t, c.conn.Close())
		select {
		case <-canceled:
		case <-time.After(100 * time.Millisecond):
			t.Fatal("the request was not canceled when its caller disconnected")
		}
	})
}

// The idle time counts from the end of the last request. Counting it from the last
// read closed a connection right after a response that took longer than the idle
// timeout.
func TestIdleTimeoutStartsAfterLastRequest(t *testing.T) {
	runWithServer(t, pipeline.Limits{IdleTimeout: time.Second}, echo, func(c client, _ *pipeline.Server) {
		c.get("/slow?after=5s")
		_, body := c.readResponse()
		must.Eq(t, "/slow", body)
		start := time.Now()
		must.True(t, c.isClosed())
		must.Between(t, 900*time.Millisecond, time.Since(start), 1100*time.Millisecond)
	})
}

func TestLargeOrSlowHeaderIsRefused(t *testing.T) {
	limits := pipeline.Limits{MaxHeaderBytes: 1 << 10, HeaderTimeout: time.Second}
	runWithServer(t, limits, echo, func(c client, _ *pipeline.Server) {
		c.send("GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 2<<10))
		response, _ := c.readResponse()
		must.Eq(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
	})
	runWithServer(t, limits, echo, func(c client, _ *pipeline.Server) {
		c.send("GET / HTTP/1.1\r\n")
		response, _ := c.readResponse()
		must.Eq(t, http.StatusRequestTimeout, response.StatusCode)
	})
}

func TestAbortedResponseNeverLooksComplete(t *testing.T) {
	abort := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "part")
		if r.URL.Path == "/sent" {
			must.NoError(t, http.NewResponseController(w).Flush())
		}
		panic(http.ErrAbortHandler)
	}
	runWithServer(t, pipeline.Limits{}, abort, func(c client, _ *pipeline.Server) {
		c.get("/held")
		badGateway, body := c.readResponse()
		must.Eq(t, http.StatusBadGateway, badGateway.StatusCode)
		must.Eq(t, "", body)
		c.get("/sent")
		response, err := http.ReadResponse(c.reader, nil)
		must.NoError(t, err)
		_, err = io.ReadAll(response.Body)
		must.Error(t, err)
	})
}

func TestShutdownFinishesRequestsAndClosesConnections(t *testing.T) {
	runWithServer(t, pipeline.Limits{}, echo, func(c client, s *pipeline.Server) {
		c.get("/a?after=500ms")
		time.Sleep(100 * time.Millisecond)
		done := make(chan error)
		go func() { done <- s.Shutdown(context.Background()) }()
		response, body := c.readResponse()
		must.Eq(t, "/a", body)
		must.True(t, response.Close)
		must.NoError(t, <-done)
	})
}

// Guards against requests that run on after their caller has left, because the
// close is behind bytes that the server does not read yet: a body that waits for
// admission, or requests beyond those that run at once.
func TestDisconnectBehindUnreadBytesCancelsRequests(t *testing.T) {
	for name, sent := range map[string]string{
		"body":     "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 70000\r\n\r\n" + strings.Repeat("b", 70_000),
		"requests": strings.Repeat("GET /a HTTP/1.1\r\nHost: h\r\n\r\n", 18),
	} {
		t.Run(name, func(t *testing.T) {
			started, canceled := make(chan struct{}, 18), make(chan struct{}, 18)
			wait := func(_ http.ResponseWriter, r *http.Request) {
				started <- struct{}{}
				<-r.Context().Done()
				canceled <- struct{}{}
			}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			server := pipeline.New(pipeline.Config{
				Handler: http.HandlerFunc(wait),
				Limits:  func() pipeline.Limits { return pipeline.Limits{IdleTimeout: time.Hour} },
			})
			go func() { _ = server.Serve(listener) }()
			conn, err := net.Dial("tcp", listener.Addr().String())
			must.NoError(t, err)
			_, err = io.WriteString(conn, sent)
			must.NoError(t, err)
			<-started
			must.NoError(t, conn.Close())
			select {
			case <-canceled:
			case <-time.After(500 * time.Millisecond):
				t.Error("the requests were not canceled within half a second")
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
			defer cancel()
			_ = server.Shutdown(ctx) // cancels what is left
		})
	}
}

// TestBodyOverLimit sends bodies over the limit, with and without a stated length.
// It guards against a request that runs although its body is too long.
func TestBodyOverLimit(t *testing.T) {
	var runs, completed atomic.Int32
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		if _, err := io.ReadAll(r.Body); err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		completed.Add(1)
	})
	server := pipeline.New(pipeline.Config{
		Handler: handler, Limits: func() pipeline.Limits { return pipeline.Limits{MaxBodyBytes: 10} },
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Shutdown(t.Context()) }()
	send := func(request string) int {
		conn, err := net.Dial("tcp", listener.Addr().String())
		must.NoError(t, err)
		defer conn.Close()
		_, err = io.WriteString(conn, request)
		must.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		must.NoError(t, err)
		return response.StatusCode
	}
	const head = "POST / HTTP/1.1\r\nHost: h\r\n"
	must.Eq(t, http.StatusRequestEntityTooLarge, send(head+"Content-Length: 11\r\n\r\n01234567890"))
	must.Eq(t, 0, runs.Load())
	must.Eq(t, http.StatusBadGateway, send(head+"Transfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n0\r\n\r\n"))
	must.Eq(t, 0, completed.Load())
	must.Eq(t, http.StatusOK, send(head+"Content-Length: 10\r\n\r\n0123456789"))
	must.Eq(t, http.StatusOK, send(head+"Transfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\n0\r\n\r\n"))
}
