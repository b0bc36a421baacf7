package peer_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/decide/admit"
	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
	"github.com/marigoldshelf/marigoldshelf/front/peer"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// countingTransport counts the requests to the backend server.
type countingTransport int

func (c *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	*c++
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: http.NoBody, Request: r}, nil
}

// Guards against a process that acts on a grant that has run out: it is stopped
// for seconds after the request got its slot, and the caller has repeated the
// request elsewhere by then. The refusal must say that the request has not run.
func TestGrantThatHasRunOutIsNotUsed(t *testing.T) {
	for name, pause := range map[string]time.Duration{"in time": 0, "paused": 3 * time.Second} {
		virtual := clock.NewVirtual(time.Unix(1_700_000_000, 0))
		board := tables.New(blackboard.New(blackboard.PanicOnNested()))
		sent := new(countingTransport)
		handler := &peer.Handler{
			Tables: board, Clock: virtual, Host: "h", Service: "desk", BackendAddress: "10.0.0.1:80",
			Dialect: hop.DefaultDialect{}, Transport: sent, IdleTimeout: time.Second, Count: func(verdict.Reason) {},
		}
		// The admission point grants the request, and the process is held up
		// before it goes on.
		board.Admissions.Watch(func(id string) {
			go board.Board.Do(func(tx *blackboard.Tx) {
				row, found := board.Admissions.Get(tx, id)
				if found && row.State == admit.Waiting {
					virtual.Advance(pause)
					row.State, row.Granted = admit.Granted, row.Arrived
					board.Admissions.Put(tx, id, row)
				}
			}, board.Admissions.Write())
		})
		r := httptest.NewRequest(http.MethodPost, "/book", nil)
		hop.Request{AttemptID: "a.0", Target: "h", Service: "desk", Class: mesh.Booking, Timeout: time.Second}.Write(r.Header)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		info := hop.ReadResponseInfo(w.Header())
		if pause == 0 {
			must.Eq(t, 1, int(*sent), must.Sprint(name))
			continue
		}
		must.Eq(t, 0, int(*sent), must.Sprint(name))
		must.Eq(t, verdict.NotRun, info.Verdict)
		must.Eq(t, verdict.DeadlineExceeded, info.Reason)
	}
}
