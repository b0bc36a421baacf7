package pipeline_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/controllers/clients"
	decide "github.com/marigoldshelf/marigoldshelf/decide/clientload"
	"github.com/marigoldshelf/marigoldshelf/front/clientload"
	"github.com/marigoldshelf/marigoldshelf/front/pipeline"
	"github.com/marigoldshelf/marigoldshelf/tables"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// startLimited starts a server whose clients hold at most total bytes, with the
// controller that closes connections, and returns its address.
func startLimited(t *testing.T, total int64, c pipeline.Config) (address string) {
	t.Helper()
	// Callers have five eighths.
	limits := decide.Limits{TotalBytes: total / 5 * 8, ConnectionBytes: total, HeaderLines: 10_000}
	board := tables.New(blackboard.New(blackboard.PanicOnNested()))
	pool := controller.NewPool(clock.System{}, 2)
	c.Ledger = clientload.New(pool, board, clock.System{}, limits, func(verdict.Reason) {})
	clients.Register(pool, board, limits)
	c.Limits = func() pipeline.Limits { return pipeline.Limits{Connections: 100} }
	server := pipeline.New(c)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		pool.Run(ctx)
	}()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		must.NoError(t, server.Shutdown(context.Background()))
		cancel()
		<-done
	})
	return listener.Addr().String()
}

// dialClient opens a connection and sends bytes on it.
func dialClient(t *testing.T, address, sent string) client {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	must.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	c := client{t, conn, bufio.NewReader(conn)}
	c.send(sent)
	return c
}

// Guards against running requests that are cut to make room for others: in a burst of
// ordinary callers all hold the same, and those that run hold it longest.
func TestRunningRequestsAreNotCut(t *testing.T) {
	release := make(chan struct{})
	var started = make(chan struct{}, 100)
	address := startLimited(t, 1<<20, pipeline.Config{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		started <- struct{}{}
		<-release
	})})
	request := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	var running []client
	for range 5 {
		running = append(running, dialClient(t, address, request))
		<-started
	}
	time.Sleep(1100 * time.Millisecond) // longer than a client is given to send a request
	refused := 0
	for range 40 {
		c := dialClient(t, address, request)
		_ = c.conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if response, err := http.ReadResponse(c.reader, nil); err == nil {
			must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
			refused++
			continue
		}
		_ = c.conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		running = append(running, c)
	}
	must.Positive(t, refused)
	close(release)
	for _, c := range running {
		response, _ := c.readResponse()
		must.Eq(t, http.StatusOK, response.StatusCode)
	}
}

// Guards against clients that stall with a part of a request and keep ordinary callers
// out until a timeout. The stalled request has not run, and its client is told so.
func TestStalledClientsGiveWay(t *testing.T) {
	address := startLimited(t, 1<<20, pipeline.Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
		}
	})})
	for name, part := range map[string]string{
		"head":            "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("A: b\r\n", 300),
		"body":            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\nabc",
		"body in chunks":  "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n7530\r\n" + strings.Repeat("b", 20_000),
		"between headers": "GET / HTTP/1.1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var stalled []client
			for range 20 {
				stalled = append(stalled, dialClient(t, address, part))
			}
			for end := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
				must.True(t, time.Now().Before(end), must.Sprint("an ordinary caller is kept out"))
				c := dialClient(t, address, limitedRequest)
				if response, _ := c.readResponse(); response.StatusCode == http.StatusOK {
					break
				}
			}
			for _, c := range stalled {
				_ = c.conn.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
				if response, err := http.ReadResponse(c.reader, nil); err == nil {
					must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
				}
				_ = c.conn.Close()
			}
		})
	}
}

// Guards against a request that is refused because its body in chunks finds no memory,
// and whose sender is told something else.
func TestBodyWithoutMemoryIsRefused(t *testing.T) {
	address := startLimited(t, 120<<10, pipeline.Config{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.ReadAll(r.Body); err != nil {
				w.WriteHeader(http.StatusBadRequest)
			}
		}),
		AddRefusalHeaders: func(h http.Header, reason verdict.Reason) { h.Set("Reason", string(reason)) },
	})
	c := dialClient(t, address, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nea60\r\n"+strings.Repeat("b", 60_000)+"\r\n0\r\n\r\n")
	response, _ := c.readResponse()
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	must.Eq(t, "client_memory", response.Header.Get("Reason"))
	must.Eq(t, "1", response.Header.Get("Retry-After"))
	must.True(t, c.isClosed())
}

// Guards against a proper request that is called malformed because a part of its head
// finds no memory in the middle of a line.
func TestHeadWithoutMemoryIsNotMalformed(t *testing.T) {
	head := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat(strings.Repeat("b", 1000)+": 1\r\n", 15) + "\r\n"
	for _, total := range []int64{84 << 10, 92 << 10, 100 << 10} {
		address := startLimited(t, total, pipeline.Config{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})})
		response, _ := dialClient(t, address, head).readResponse()
		must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	}
}

// Guards against a process that ends because a handler panics for one request.
func TestPanicEndsOnlyItsRequest(t *testing.T) {
	panics := make(chan any, 1)
	address := startLimited(t, 1<<20, pipeline.Config{
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/bad" {
				panic("bad request")
			}
		}),
		OnPanic: func(value any, _ []byte) { panics <- value },
	})
	c := dialClient(t, address, "GET /bad HTTP/1.1\r\nHost: h\r\n\r\n")
	response, _ := c.readResponse()
	must.Eq(t, http.StatusBadGateway, response.StatusCode)
	must.Eq(t, "bad request", (<-panics).(string))
	c.get("/good")
	response, _ = c.readResponse()
	must.Eq(t, http.StatusOK, response.StatusCode)
}
