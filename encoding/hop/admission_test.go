package hop_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
	"github.com/marigoldshelf/marigoldshelf/network"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// startSilent starts a server that reads the head of a request, admits it if asked
// to, and then says nothing.
func startSilent(t *testing.T, admits bool) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { c.Close() })
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil && admits {
			_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
		}
	}()
	return l.Addr().String()
}

// Guards against a booking that is answered 504 though the node that it was sent to
// was cut off and never admitted it: the caller could not send it again.
func TestRequestWithoutAdmissionHasNotRun(t *testing.T) {
	for _, c := range []struct {
		admits  bool
		verdict verdict.Verdict
		reason  verdict.Reason
	}{
		{false, verdict.NotRun, verdict.NotAdmitted},
		{true, verdict.MayHaveRun, verdict.DeadlineExceeded},
	} {
		ctx, _, cancel := hop.WithDeadline(t.Context(), 400*time.Millisecond)
		defer cancel()
		admission, stop := hop.WithAdmissionTimeout(ctx, 100*time.Millisecond)
		defer stop()
		r, err := http.NewRequestWithContext(admission, http.MethodPost, "http://"+startSilent(t, c.admits)+"/", strings.NewReader("order"))
		must.NoError(t, err)
		r.Header.Set("Expect", "100-continue")
		_, failure := hop.Send(hop.NewTransport(network.System{}, 0), r)
		must.NotNil(t, failure)
		must.Eq(t, c.verdict, failure.Verdict)
		must.Eq(t, c.reason, failure.Reason)
	}
}

// Guards against a limit on the admission that ends a request after its response.
func TestAdmissionTimeoutEndsWithTheResponse(t *testing.T) {
	ctx, stop := hop.WithAdmissionTimeout(context.Background(), 20*time.Millisecond)
	stop()
	time.Sleep(60 * time.Millisecond)
	must.NoError(t, ctx.Err())
}

// Guards against a request without a body that counts as not run because its caller
// sent Expect: it runs without a body to wait for.
func TestExpectOfTheCallerIsNotPassedOn(t *testing.T) {
	to := make(http.Header)
	hop.CopyHeaders(to, http.Header{"Expect": {"100-continue"}, "X-Other": {"1"}})
	must.Eq(t, http.Header{"X-Other": {"1"}}, to)
	r, err := http.NewRequest(http.MethodPost, "http://"+startSilent(t, false)+"/", nil)
	must.NoError(t, err)
	r.Header.Set("Expect", "100-continue")
	must.False(t, hop.IsSentOnAdmission(r))
}
