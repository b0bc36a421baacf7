package hop

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// releaseTimeout bounds the time for which an abandoned request counts as running.
// A backend server drops a request when its connection closes, but learns of the
// close only when it is scheduled: hosts with 0.16 of a core are stopped for most
// of each 100 ms.
const releaseTimeout = 250 * time.Millisecond

// ReleaseTracker tells when the backend server has dropped an abandoned request: one
// whose response has not ended. A backend server that resets connections when it is
// full must not be sent another request before that.
type ReleaseTracker struct {
	pending atomic.Bool
	group   sync.WaitGroup
}

// releaseTrackerKey is the context key of a ReleaseTracker.
type releaseTrackerKey struct{}

// TrackRelease returns a context with which a Pool reports to the tracker when
// requests are released.
func TrackRelease(ctx context.Context) (context.Context, *ReleaseTracker) {
	t := &ReleaseTracker{}
	return context.WithValue(ctx, releaseTrackerKey{}, t), t
}

// releaseTrackerOf returns the tracker of a context, or nil.
func releaseTrackerOf(ctx context.Context) *ReleaseTracker {
	t, _ := ctx.Value(releaseTrackerKey{}).(*ReleaseTracker)
	return t
}

// Pending reports whether the backend server possibly still runs a request. It is
// called after RoundTrip has failed or the response body was closed.
func (t *ReleaseTracker) Pending() bool { return t.pending.Load() }

// Wait blocks until the backend server runs the request no longer.
func (t *ReleaseTracker) Wait() {
	t.group.Wait()
	t.pending.Store(false)
}

// interrupt ends all reads and writes on the connection and tells the backend
// server that no response is expected.
func (c *poolConn) interrupt() {
	c.interrupted.Do(func() {
		halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
		if !ok || c.SetDeadline(time.Unix(1, 0)) != nil || halfCloser.CloseWrite() != nil {
			_ = c.Close()
		}
	})
}

// abandon closes a connection whose request has not ended. It first waits in the
// background, up to releaseTimeout, until the backend server closes its side, which
// it does when it has dropped the request.
func (p *Pool) abandon(c *poolConn, tracker *ReleaseTracker) {
	c.interrupt()
	if tracker == nil || c.SetReadDeadline(time.Now().Add(releaseTimeout)) != nil {
		p.drop(c)
		return
	}
	c.draining.Store(true)
	tracker.pending.Store(true)
	tracker.group.Go(func() {
		var discarded [512]byte
		for {
			if _, err := c.Read(discarded[:]); err != nil {
				break
			}
		}
		p.drop(c)
	})
}
