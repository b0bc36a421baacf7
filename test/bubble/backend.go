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
	// HeaderRun names a request, so that its runs can be counted.
	HeaderRun = "X-Run"
)

// Backend is a stand-in of a backend server. It answers with its own name and
// counts the runs of each request; it keeps the counts when its host dies.
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

// SetDelay makes every answer take that long.
func (b *Backend) SetDelay(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.delay = d
}

// Runs returns how often each request ran.
func (b *Backend) Runs(run string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[run]
}

// ServeHTTP runs one request: it reads the whole body, counts the run, takes
// its time, and answers with its name and the body's length.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	b.mu.Lock()
	b.runs[r.Header.Get(HeaderRun)]++
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
