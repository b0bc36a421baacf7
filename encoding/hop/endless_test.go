package hop_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
	"github.com/marigoldshelf/marigoldshelf/network"
)

// maxEndlessAllocBytes is what one request may allocate while a server sends
// bytes without end: its buffers and one head of the largest size, a few times.
const maxEndlessAllocBytes = 2 << 20

// endlessBlock is the size of the repeated part of an endless response.
const endlessBlock = 32 << 10

// startEndless starts a server that answers each request with start, and then
// with repeated until the connection ends. written counts its bytes; ended is
// closed when its first connection has ended.
func startEndless(t *testing.T, start, repeated string) (address string, written *atomic.Int64, ended chan struct{}) {
	block := []byte(strings.Repeat(repeated, endlessBlock/len(repeated)+1))
	written, ended = &atomic.Int64{}, make(chan struct{})
	s := startScripted(t, func(_ string, _ io.Reader, c net.Conn) bool {
		defer close(ended)
		if _, err := io.WriteString(c, start); err != nil {
			return false
		}
		for {
			n, err := c.Write(block)
			written.Add(int64(n))
			if err != nil {
				return false
			}
		}
	})
	return s.address, written, ended
}

// allocatedBytes returns the bytes that the process has allocated so far.
func allocatedBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}

// Guards against a node that dies of one backend server in trouble: the head of
// its response does not end, and a reader without a limit keeps all of it.
func TestEndlessHeadIsCutOff(t *testing.T) {
	for name, c := range map[string]struct{ start, repeated string }{
		"header lines":      {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
		"one line":          {"HTTP/1.1 200 OK\r\nX-A: ", "b"},
		"status line":       {"HTTP/1.1 200 ", "b"},
		"no line at all":    {"", "\x00"},
		"empty lines":       {"", "\r\n"},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
		"other responses":   {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address, _, ended := startEndless(t, c.start, c.repeated)
			before := allocatedBytes()
			started := time.Now()
			_, failure := roundTrip(t, newPool(), &scriptedServer{address: address}, "a", nil)
			must.NotNil(t, failure)
			must.Less(t, 4*time.Second, time.Since(started), must.Sprint("cut off by its size and not by the deadline"))
			<-ended
			must.Less(t, maxEndlessAllocBytes, allocatedBytes()-before)
		})
	}
}

// Guards against the same in a body: chunk extensions and trailers are read by
// the HTTP library and belong to no body byte, so nothing that counts body bytes
// limits them.
func TestEndlessChunkFramingIsCutOff(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct{ start, repeated string }{
		"chunk extension":       {head + "1;x=", "y"},
		"many chunk extensions": {head, "1;" + strings.Repeat("y", 2000) + "\r\nz\r\n"},
		"chunk size":            {head, "0"},
		"trailers":              {head + "0\r\n", "X-A: b\r\n"},
		"one trailer":           {head + "0\r\nX-A: ", "b"},
	} {
		t.Run(name, func(t *testing.T) {
			address, _, ended := startEndless(t, c.start, c.repeated)
			before := allocatedBytes()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			response, failure := get(ctx, t, newPool(), address)
			must.Nil(t, failure)
			_, err := io.Copy(io.Discard, response.Body)
			must.Error(t, err)
			must.Nil(t, ctx.Err(), must.Sprint("cut off by its size and not by the deadline"))
			_ = response.Body.Close()
			<-ended
			must.Less(t, maxEndlessAllocBytes, allocatedBytes()-before)
		})
	}
}

// Guards against holding a body without end in memory, and against reading on
// after its caller has gone.
func TestEndlessBodyIsStreamedAndEndsWithItsCaller(t *testing.T) {
	for name, start := range map[string]string{
		"until the connection ends": "HTTP/1.1 200 OK\r\nId: a\r\n\r\n",
		"longer than any memory":    "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9000000000000\r\n\r\n",
		"chunked":                   "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n7fffffffffff\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address, written, ended := startEndless(t, start, "b")
			before := allocatedBytes()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			response, failure := get(ctx, t, newPool(), address)
			must.Nil(t, failure)
			must.Nil(t, hop.BufferShortBody(response))
			n, err := io.Copy(io.Discard, io.LimitReader(response.Body, 64<<20))
			must.NoError(t, err)
			must.Eq(t, 64<<20, n)
			must.Less(t, maxEndlessAllocBytes, allocatedBytes()-before)
			cancel()
			<-ended
			must.Less(t, 128<<20, written.Load())
			_, err = io.Copy(io.Discard, response.Body)
			must.Error(t, err, must.Sprint("a body that was cut off is not complete"))
			_ = response.Body.Close()
		})
	}
}

// get sends a request with the ID a.
func get(ctx context.Context, t *testing.T, p *hop.Pool, address string) (*http.Response, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", nil)
	must.NoError(t, err)
	r.Header.Set("Id", "a")
	response, failure := hop.Send(p, r)
	if failure != nil {
		return nil, failure
	}
	return response, nil
}

// Guards against the same between nodes and toward the store, whose client is
// that of NewTransport.
func TestTransportCutsOffAnEndlessHead(t *testing.T) {
	for name, c := range map[string]struct{ start, repeated string }{
		"header lines":      {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
		"one line":          {"HTTP/1.1 200 OK\r\nX-A: ", "b"},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address, _, ended := startEndless(t, c.start, c.repeated)
			before := allocatedBytes()
			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/", nil)
			must.NoError(t, err)
			response, failure := hop.Send(hop.NewTransport(network.System{}, 0), r)
			must.NotNil(t, failure)
			must.Nil(t, response)
			<-ended
			must.Less(t, maxEndlessAllocBytes, allocatedBytes()-before)
		})
	}
}
