package hop_test

import (
	"bytes"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
)

// lockedBuffer collects a server's error log. It is safe for concurrent use.
type lockedBuffer struct {
	mu  sync.Mutex
	log bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.log.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.log.String()
}

// TestEarlyResponseDoesNotPanicServer responds to requests whose bodies the
// handler has not read, and sends more requests with the same client. net/http's
// server panics on a reused connection when a full-duplex handler leaves a body
// unread.
func TestEarlyResponseDoesNotPanicServer(t *testing.T) {
	var errorLog lockedBuffer
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w = hop.EnableFullDuplex(w, r)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	server.Config.ErrorLog = log.New(&errorLog, "", 0)
	server.Start()
	defer server.Close()
	for range 20 {
		for _, body := range []io.Reader{
			strings.NewReader("short"),
			strings.NewReader(strings.Repeat("long ", 40_000)),
			io.MultiReader(strings.NewReader("of unknown length")),
			nil,
		} {
			response, err := server.Client().Post(server.URL, "text/plain", body)
			if err != nil {
				continue // the server closed a connection before the body was sent
			}
			must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
			response.Body.Close()
		}
	}
	server.Close()
	must.Eq(t, "", errorLog.String())
}
