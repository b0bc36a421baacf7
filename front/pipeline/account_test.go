package pipeline_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/controller"
	decide "github.com/marigoldshelf/marigoldshelf/decide/clientload"
	"github.com/marigoldshelf/marigoldshelf/front/clientload"
	"github.com/marigoldshelf/marigoldshelf/front/pipeline"
	"github.com/marigoldshelf/marigoldshelf/tables"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// exchangeLimited sends bytes to a server with the given limits and returns the
// responses until the connection ends or there are want, and the number of
// requests that ran and that ran at once.
func exchangeLimited(t *testing.T, limits decide.Limits, sent string, want int) (responses []*http.Response, runs, most int32) {
	t.Helper()
	var count, running, highest atomic.Int32
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		count.Add(1)
		highest.Store(max(highest.Load(), running.Add(1)))
		running.Add(-1)
	})
	board := tables.New(blackboard.New(blackboard.PanicOnNested()))
	ledger := clientload.New(controller.NewPool(clock.System{}, 1), board, clock.System{}, limits, func(verdict.Reason) {})
	server := pipeline.New(pipeline.Config{
		Handler: handler, Limits: func() pipeline.Limits { return pipeline.Limits{Connections: 10} }, Ledger: ledger,
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	must.NoError(t, err)
	_, err = io.WriteString(conn, sent)
	must.NoError(t, err)
	reader := bufio.NewReader(conn)
	for len(responses) < want {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			break
		}
		responses = append(responses, response)
	}
	must.NoError(t, conn.Close())
	must.NoError(t, server.Shutdown(t.Context()))
	must.Eq(t, decide.Loads{}, board.ClientLoad.Load(), must.Sprint("everything is returned"))
	return responses, count.Load(), highest.Load()
}

const limitedRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// TestRequestWithoutMemoryIsRefused guards against a refused request that runs, or
// that gets no answer.
func TestRequestWithoutMemoryIsRefused(t *testing.T) {
	limits := decide.Limits{TotalBytes: 1 << 20, ConnectionBytes: 60 << 10}
	responses, runs, _ := exchangeLimited(t, limits, limitedRequest, 1)
	must.SliceLen(t, 1, responses)
	must.Eq(t, http.StatusServiceUnavailable, responses[0].StatusCode)
	must.Eq(t, "1", responses[0].Header.Get("Retry-After"))
	must.Eq(t, 0, runs)
}

// TestRequestsWaitForMemory guards against the refusal of requests that only have
// to wait for earlier ones of their connection.
func TestRequestsWaitForMemory(t *testing.T) {
	limits := decide.Limits{TotalBytes: 1 << 20, ConnectionBytes: 100 << 10}
	responses, runs, most := exchangeLimited(t, limits, strings.Repeat(limitedRequest, 20), 20)
	must.SliceLen(t, 20, responses)
	for _, response := range responses {
		must.Eq(t, http.StatusOK, response.StatusCode)
	}
	must.Eq(t, 20, runs)
	must.Eq(t, 1, most)
}

// TestHeaderLines guards against a head with more lines than the limit that runs.
func TestHeaderLines(t *testing.T) {
	limits := decide.Limits{TotalBytes: 8 << 20, ConnectionBytes: 4 << 20, HeaderLines: 100}
	sent := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\n", 200) + "\r\n"
	responses, runs, _ := exchangeLimited(t, limits, sent, 1)
	must.SliceLen(t, 1, responses)
	must.Eq(t, http.StatusRequestHeaderFieldsTooLarge, responses[0].StatusCode)
	must.Eq(t, 0, runs)
}
