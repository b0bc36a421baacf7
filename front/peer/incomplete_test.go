package peer_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/admit"
	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/network"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// startResetting starts a backend server that answers each upload after its first
// bytes with a part of a body without a length, and then ends the connection.
func startResetting(t *testing.T, protocol, part string, end func(*net.TCPConn)) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.ReadFull(conn, make([]byte, 1000))
				_, _ = io.WriteString(conn, protocol+" 200 OK\r\n\r\n"+part)
				time.Sleep(30 * time.Millisecond)
				end(conn.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against the part of a response that reaches the caller's node as a complete
// one, because its connection ended while the upload was being written. A part that
// is longer than the buffer for short bodies is streamed before its end is known.
func TestPartOfAResponseToAnUploadIsNotComplete(t *testing.T) {
	ends := map[string]func(*net.TCPConn){
		"reset": func(c *net.TCPConn) {
			_ = c.SetLinger(0)
			_ = c.Close()
		},
		"close":      func(c *net.TCPConn) { _ = c.Close() },
		"half-close": func(c *net.TCPConn) { _ = c.CloseWrite() },
	}
	transports := map[string]func() http.RoundTripper{
		"pool":      func() http.RoundTripper { return &hop.Pool{Network: network.System{}} },
		"transport": func() http.RoundTripper { return hop.NewTransport(network.System{}, 0) },
	}
	for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for end, endConnection := range ends {
			for name, newTransport := range transports {
				for _, partBytes := range []int{4, 100 << 10} {
					t.Run(fmt.Sprint(protocol, " ", end, " ", name, " ", partBytes), func(t *testing.T) {
						h := newHeldHandler()
						h.Transport = newTransport()
						h.BackendAddress = startResetting(t, protocol, strings.Repeat("p", partBytes), endConnection)
						h.Tables.Admissions.Watch(func(id string) {
							go h.Tables.Board.Do(func(tx *blackboard.Tx) {
								if row, found := h.Tables.Admissions.Get(tx, id); found && row.State == admit.Waiting {
									row.State, row.Granted = admit.Granted, row.Arrived
									h.Tables.Admissions.Put(tx, id, row)
								}
							}, h.Tables.Admissions.Write())
						})
						server := httptest.NewServer(h)
						defer server.Close()
						requirePartIsIncomplete(t, server.URL)
					})
				}
			}
		}
	}
}

// requirePartIsIncomplete sends an upload without end to a node and requires that
// the answer is a failure or breaks off.
func requirePartIsIncomplete(t *testing.T, url string) {
	t.Helper()
	source, sink := io.Pipe()
	defer source.Close()
	go func() {
		block := bytes.Repeat([]byte("u"), 32<<10)
		for {
			if _, err := sink.Write(block); err != nil {
				return
			}
		}
	}()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/book", source)
	must.NoError(t, err)
	hop.Request{AttemptID: "a.0", Target: "h", Service: "desk", Class: mesh.Booking, Timeout: 4 * time.Second}.Write(r.Header)
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return // the connection ended without an answer
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return
	}
	info := hop.ReadResponseInfo(response.Header)
	must.Eq(t, verdict.MayHaveRun, info.Verdict, must.Sprintf("status %d with %d bytes", response.StatusCode, len(data)))
	must.NotEq(t, verdict.DeadlineExceeded, info.Reason)
}
