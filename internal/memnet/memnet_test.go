package memnet_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/internal/memnet"
	"github.com/marigoldshelf/marigoldshelf/network"
)

var _ network.Network = (*memnet.Host)(nil)

// serve runs an HTTP server on the listener that echoes request bodies; it is
// closed when the test ends.
func serve(t *testing.T, l net.Listener) {
	t.Helper()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(w, r.Body)
	})}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
}

// Requests time out while the hosts are partitioned, a request made before the
// partition heals completes after it, and requests to a killed host fail.
func TestHTTPAcrossAPartitionThatHeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(time.Millisecond, 1)
		l, err := n.Host("10.0.0.2").Listen("10.0.0.2:80")
		must.NoError(t, err)
		serve(t, l)
		transport := &http.Transport{DialContext: n.Host("10.0.0.1").DialContext}
		defer transport.CloseIdleConnections()
		get := func(timeout time.Duration) error {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, "GET", "http://10.0.0.2:80/", nil)
			must.NoError(t, err)
			response, err := transport.RoundTrip(request)
			if err == nil {
				response.Body.Close()
			}
			return err
		}
		must.NoError(t, get(time.Second))
		n.SetPartition(func(from, to string) bool { return from == "10.0.0.1" })
		must.ErrorIs(t, get(time.Second), context.DeadlineExceeded)
		time.AfterFunc(time.Second, func() { n.SetPartition(nil) })
		must.NoError(t, get(2*time.Second))
		n.KillHost("10.0.0.2")
		must.Error(t, get(time.Second))
	})
}

// All datagrams arrive without faults, about half at a loss rate of 0.5, and
// none across a partition.
func TestDatagramsAreDroppedByLossAndPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(time.Millisecond, 1)
		a, err := n.Host("10.0.0.1").ListenPacket("10.0.0.1:0")
		must.NoError(t, err)
		b, err := n.Host("10.0.0.2").ListenPacket("10.0.0.2:0")
		must.NoError(t, err)
		count := func() (received int) {
			for range 200 {
				_, err := a.WriteTo([]byte("x"), b.LocalAddr())
				must.NoError(t, err)
			}
			must.NoError(t, b.SetReadDeadline(time.Now().Add(time.Second)))
			for {
				if _, _, err := b.ReadFrom(make([]byte, 10)); err != nil {
					return received
				}
				received++
			}
		}
		must.Eq(t, 200, count())
		n.SetLossRate(0.5)
		must.Between(t, 60, count(), 140)
		n.SetLossRate(0)
		n.SetPartition(func(_, to string) bool { return to == "10.0.0.2" })
		must.Zero(t, count())
	})
}
