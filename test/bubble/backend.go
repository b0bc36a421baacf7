package bubble

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/network"
)

const (
	backendPort = "9000"
	// RunHeader is the header with a request's run ID, under which the backend
	// servers count its executions.
	RunHeader = "X-Run"
)

// Backend is a fake backend server. It echoes the body of each request and
// counts the executions by run ID. The counts survive a restart.
type Backend struct {
	name   string
	server *http.Server

	mu    sync.Mutex
	runs  map[string]int
	delay time.Duration
}

func startBackend(t *testing.T, n network.Network, name string) *Backend {
	t.Helper()
	b := &Backend{name: name, runs: make(map[string]int)}
	b.restart(t, n)
	return b
}

func (b *Backend) restart(t *testing.T, n network.Network) {
	t.Helper()
	b.close()
	l, err := n.Listen(":" + backendPort)
	must.NoError(t, err)
	server := &http.Server{Handler: b}
	b.server = server
	go server.Serve(l)
}

func (b *Backend) close() {
	if b.server != nil {
		_ = b.server.Close()
	}
}

// SetDelay sets the time between the execution of a request and its response.
// It applies to requests that arrive afterwards.
func (b *Backend) SetDelay(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.delay = d
}

// RunCount returns the number of executions of the request with a run ID.
func (b *Backend) RunCount(run string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[run]
}

// ServeHTTP reads the whole body, counts the execution, waits for the delay and
// responds with the body and the server's name in X-Backend. A request whose
// body is incomplete is aborted and not counted.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	b.mu.Lock()
	b.runs[r.Header.Get(RunHeader)]++
	delay := b.delay
	b.mu.Unlock()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Backend", b.name)
	_, _ = w.Write(body)
}
