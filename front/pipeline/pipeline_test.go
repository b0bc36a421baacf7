package pipeline_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/front/pipeline"
	"github.com/marigoldshelf/marigoldshelf/internal/memnet"
)

// caller is one connection to a server in a bubble.
type caller struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (c caller) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c.conn, text)
	must.NoError(c.t, err)
}

func (c caller) get(paths ...string) {
	for _, path := range paths {
		c.send("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n")
	}
}

// answer reads the next answer and its body.
func (c caller) answer() (*http.Response, string) {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	must.NoError(c.t, err)
	body, err := io.ReadAll(response.Body)
	must.NoError(c.t, err)
	return response, string(body)
}

// ended reports whether the server closed the connection without more bytes.
func (c caller) ended() bool {
	_, err := c.reader.ReadByte()
	return err != nil
}

// serve runs a test against a server in a bubble of virtual time.
func serve(t *testing.T, limits pipeline.Limits, h http.HandlerFunc, test func(caller, *pipeline.Server)) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond, 1)
		listener, err := network.Host("10.0.0.1").Listen("10.0.0.1:80")
		must.NoError(t, err)
		server := pipeline.New(h, func() pipeline.Limits { return limits })
		go func() { _ = server.Serve(listener) }()
		conn, err := network.Host("10.0.0.2").DialContext(t.Context(), "tcp", "10.0.0.1:80")
		must.NoError(t, err)
		test(caller{t, conn, bufio.NewReader(conn)}, server)
		_ = conn.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		must.NoError(t, server.Shutdown(ctx))
	})
}

// echo answers with the path, after the time that the query names.
func echo(w http.ResponseWriter, r *http.Request) {
	pause, err := time.ParseDuration(r.URL.Query().Get("after"))
	if err == nil {
		time.Sleep(pause)
	}
	_, _ = io.WriteString(w, r.URL.Path)
}

func TestRequestsRunAtOnceAndAreAnsweredInOrder(t *testing.T) {
	serve(t, pipeline.Limits{}, echo, func(c caller, _ *pipeline.Server) {
		began := time.Now()
		c.get("/a?after=300ms", "/b?after=100ms", "/c?after=300ms")
		for _, want := range []string{"/a", "/b", "/c"} {
			_, body := c.answer()
			must.Eq(t, want, body)
		}
		must.Less(t, 400*time.Millisecond, time.Since(began), must.Sprint("they waited for each other"))
	})
}

// A caller sends the requests behind a closing answer again, whatever they
// are, so none of them may have been read.
func TestAnswerClosesOnlyWhereNothingWasReadBehindIt(t *testing.T) {
	ran := make(chan string, 8)
	handler := func(w http.ResponseWriter, r *http.Request) {
		ran <- r.URL.Path
		w.Header().Set("Connection", "close")
		echo(w, r)
	}
	serve(t, pipeline.Limits{}, handler, func(c caller, _ *pipeline.Server) {
		c.get("/a?after=50ms", "/b?after=10ms")
		first, _ := c.answer()
		must.False(t, first.Close)
		second, body := c.answer()
		must.Eq(t, "/b", body)
		must.True(t, second.Close)
		must.True(t, c.ended())
		must.Eq(t, 2, len(ran))
	})
}

func TestBodyEndsWhereTheNextRequestBegins(t *testing.T) {
	handler := func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		must.NoError(t, err)
		_, _ = io.WriteString(w, r.URL.Path+":"+string(body))
	}
	serve(t, pipeline.Limits{}, handler, func(c caller, _ *pipeline.Server) {
		c.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nonePOST /b HTTP/1.1\r\nHost: h\r\n" +
			"Transfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\n")
		c.get("/c")
		for _, want := range []string{"/a:one", "/b:two", "/c:"} {
			_, body := c.answer()
			must.Eq(t, want, body)
		}
	})
}

func TestAnswerBeforeTheBodyIsInClosesTheConnection(t *testing.T) {
	refuse := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	serve(t, pipeline.Limits{}, refuse, func(c caller, _ *pipeline.Server) {
		c.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nGET /")
		answer, _ := c.answer()
		must.Eq(t, http.StatusServiceUnavailable, answer.StatusCode)
		must.True(t, answer.Close)
		must.True(t, c.ended(), must.Sprint("the body's rest is no request"))
	})
}

func TestCallerThatLeavesCancelsItsRequests(t *testing.T) {
	gone := make(chan struct{})
	wait := func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(gone)
	}
	serve(t, pipeline.Limits{IdleTimeout: time.Hour}, wait, func(c caller, _ *pipeline.Server) {
		c.get("/a")
		time.Sleep(time.Second)
		must.NoError(t, c.conn.Close())
		select {
		case <-gone:
		case <-time.After(100 * time.Millisecond):
			t.Fatal("the request goes on without its caller")
		}
	})
}

func TestIdleConnectionsEndAndBusyOnesDoNot(t *testing.T) {
	serve(t, pipeline.Limits{IdleTimeout: time.Second}, echo, func(c caller, _ *pipeline.Server) {
		c.get("/slow?after=5s")
		_, body := c.answer()
		must.Eq(t, "/slow", body)
		began := time.Now()
		must.True(t, c.ended())
		must.Between(t, 900*time.Millisecond, time.Since(began), 1100*time.Millisecond)
	})
}

func TestLongOrSlowHeadIsRefused(t *testing.T) {
	limits := pipeline.Limits{HeaderBytes: 1 << 10, HeaderTimeout: time.Second}
	serve(t, limits, echo, func(c caller, _ *pipeline.Server) {
		c.send("GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 2<<10))
		answer, _ := c.answer()
		must.Eq(t, http.StatusRequestHeaderFieldsTooLarge, answer.StatusCode)
	})
	serve(t, limits, echo, func(c caller, _ *pipeline.Server) {
		c.send("GET / HTTP/1.1\r\n")
		answer, _ := c.answer()
		must.Eq(t, http.StatusRequestTimeout, answer.StatusCode)
	})
}

func TestAnswerThatBreaksOffNeverLooksWhole(t *testing.T) {
	breaksOff := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "part")
		if r.URL.Path == "/sent" {
			must.NoError(t, http.NewResponseController(w).Flush())
		}
		panic(http.ErrAbortHandler)
	}
	serve(t, pipeline.Limits{}, breaksOff, func(c caller, _ *pipeline.Server) {
		c.get("/held")
		answer, body := c.answer()
		must.Eq(t, http.StatusBadGateway, answer.StatusCode)
		must.Eq(t, "", body)
		c.get("/sent")
		response, err := http.ReadResponse(c.reader, nil)
		must.NoError(t, err)
		_, err = io.ReadAll(response.Body)
		must.Error(t, err)
	})
}

func TestShutdownLetsRequestsEndAndClosesIdleConnections(t *testing.T) {
	serve(t, pipeline.Limits{}, echo, func(c caller, s *pipeline.Server) {
		c.get("/a?after=500ms")
		time.Sleep(100 * time.Millisecond)
		done := make(chan error)
		go func() { done <- s.Shutdown(context.Background()) }()
		answer, body := c.answer()
		must.Eq(t, "/a", body)
		must.True(t, answer.Close)
		must.NoError(t, <-done)
	})
}
