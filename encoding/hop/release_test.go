package hop_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
	"github.com/marigoldshelf/marigoldshelf/network"
)

// Guards against a slot that is never given back, because the backend server does
// not close the connection of a request that was abandoned.
func TestReleaseOfAnAbandonedRequestIsBounded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	tracked, tracker := hop.TrackRelease(ctx)
	r, err := http.NewRequestWithContext(tracked, http.MethodGet, "http://"+listener.Addr().String(), nil)
	must.NoError(t, err)
	_, failure := hop.Send(&hop.Pool{Network: network.System{}}, r)
	must.NotNil(t, failure)
	must.True(t, tracker.Pending())
	released := make(chan struct{})
	go func() {
		tracker.Wait()
		close(released)
	}()
	select {
	case <-released:
	case <-time.After(10 * time.Second):
		t.Fatal("the request is not released")
	}
	must.False(t, tracker.Pending())
}
