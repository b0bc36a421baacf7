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

// startBreaking starts a server that responds to the first request on each
// connection and closes the connection after it has received a second one.
// arrivals counts the received requests.
func startBreaking(t *testing.T) (address string, arrivals *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	arrivals = new(atomic.Int32)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for responded := false; ; responded = true {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					arrivals.Add(1)
					if responded {
						return
					}
					io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			}()
		}
	}()
	return l.Addr().String(), arrivals
}

// newPost returns a POST request with an idempotency key, which net/http resends
// if the body can be rewound.
func newPost(t *testing.T, address string, body io.ReadCloser) *http.Request {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/", nil)
	must.NoError(t, err)
	r.Header.Set("Idempotency-Key", "one")
	r.Body = body
	return r
}

// TestNonReplayableBodyPreventsResending checks that net/http resends a request
// with an idempotency key when a reused connection breaks, and that a
// NonReplayableBody prevents it. A resent request could run twice.
func TestNonReplayableBodyPreventsResending(t *testing.T) {
	cases := []struct {
		body     func() io.ReadCloser
		arrivals int32
	}{
		{func() io.ReadCloser { return http.NoBody }, 3},
		{func() io.ReadCloser { return hop.NonReplayableBody{ReadCloser: io.NopCloser(strings.NewReader(""))} }, 2},
	}
	for _, test := range cases {
		address, arrivals := startBreaking(t)
		transport := hop.NewTransport(network.System{}, 0)
		response, failure := hop.Send(transport, newPost(t, address, test.body()))
		must.Nil(t, failure)
		response.Body.Close()
		_, failure = hop.Send(transport, newPost(t, address, test.body()))
		must.Eq(t, test.arrivals, arrivals.Load())
		if test.arrivals == 2 {
			must.Eq(t, verdict.MayHaveRun, failure.Verdict)
			must.Eq(t, verdict.TransportFailed, failure.Reason)
		}
		transport.CloseIdleConnections()
	}
}

// TestUnsentRequestFailsAsNotRun checks the verdicts of requests that fail when
// connecting, while waiting for a free connection, and after they were sent.
func TestUnsentRequestFailsAsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	closedAddress := l.Addr().String()
	l.Close()
	transport := hop.NewTransport(network.System{}, 1)
	defer transport.CloseIdleConnections()
	_, failure := hop.Send(transport, newPost(t, closedAddress, http.NoBody))
	must.Eq(t, verdict.NotRun, failure.Verdict)
	must.Eq(t, verdict.ConnectFailed, failure.Reason)

	// The only connection is in use: the second request times out while it waits.
	arrived := make(chan struct{})
	release := make(chan struct{})
	l, err = net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(arrived)
		<-release
	})}
	go server.Serve(l)
	defer server.Close()
	first := make(chan *verdict.Error)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		_, failure := hop.Send(transport, newPost(t, l.Addr().String(), http.NoBody).WithContext(ctx))
		first <- failure
	}()
	<-arrived
	waiting, _, cancelWaiting := hop.WithDeadline(t.Context(), time.Millisecond)
	defer cancelWaiting()
	_, failure = hop.Send(transport, newPost(t, l.Addr().String(), http.NoBody).WithContext(waiting))
	must.Eq(t, verdict.NotRun, failure.Verdict)
	must.Eq(t, verdict.DeadlineExceeded, failure.Reason)
	cancel()
	failure = <-first
	must.Eq(t, verdict.MayHaveRun, failure.Verdict)
	must.Eq(t, verdict.CallerCanceled, failure.Reason)
	close(release)
}

func TestCopyHeadersDropsHopByHopAndNodeHeaders(t *testing.T) {
	from := http.Header{
		"Connection": {"X-Private, close"}, "X-Private": {"1"}, "Marigold-Verdict": {"not-run"},
		"Marigold-Call": {"forged"}, "Transfer-Encoding": {"chunked"}, "X-Kept": {"1", "2"},
	}
	to := http.Header{}
	hop.CopyHeaders(to, from)
	must.Eq(t, http.Header{"X-Kept": {"1", "2"}}, to)
}

func TestMalformedNodeHeaders(t *testing.T) {
	good := http.Header{}
	hop.Request{AttemptID: "1", Target: "a", Service: "s", Class: "booking", Version: 3, Timeout: time.Second}.Write(good)
	_, err := hop.ReadRequest(good)
	must.NoError(t, err)
	for name, value := range map[string]string{
		"Marigold-Version": "-1", "Marigold-Timeout-Ms": "99999999999", "Marigold-Class": "other",
	} {
		bad := good.Clone()
		bad.Set(name, value)
		_, err := hop.ReadRequest(bad)
		must.Error(t, err, must.Sprint(name))
	}
	info := hop.ReadResponseInfo(http.Header{"Marigold-Load": {"1/x/3"}, "Marigold-Verdict": {"nonsense"}})
	must.Eq(t, verdict.MayHaveRun, info.Verdict)
	must.Zero(t, info.Load.Slots)
}
