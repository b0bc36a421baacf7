package bubble_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/test/bubble"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// bodyIdleTimeout is the default of the setting body_idle_ms.
const bodyIdleTimeout = 30 * time.Second

// newStalledUpload returns an upload whose body stalls after head, and a function
// that ends the body.
func newStalledUpload(t *testing.T, run, head string) (upload bubble.Request, end func()) {
	t.Helper()
	body, writer := io.Pipe()
	go io.Copy(writer, strings.NewReader(head))
	return bubble.Request{
		Method: http.MethodPost, HostName: "desk.example", Path: "/upload/" + run, RunID: run,
		BodyReader: body, Timeout: 5 * time.Minute,
	}, func() { writer.Close() }
}

// stalledUploads is the number of uploads that stall at once, more than the
// backend servers have slots for uploads.
const stalledUploads = 8

// TestSlowSenderIsRefusedAndHoldsNoSlot stalls the bodies of short and long
// uploads with known and unknown length, and of bookings with a key. If they held
// the slots of the backend servers, a lookup sent meanwhile would wait; and
// without an idle timeout they would never end.
func TestSlowSenderIsRefusedAndHoldsNoSlot(t *testing.T) {
	shortHead, longHead := "half a photo", strings.Repeat("photo ", 30_000)
	for name, c := range map[string]struct {
		head   string
		length int64
		keyed  bool
		notRun bool // the first node has forwarded nothing
	}{
		"short":               {head: shortHead, notRun: true},
		"short-announced":     {head: shortHead, length: 1000, notRun: true},
		"long":                {head: longHead},
		"long-announced":      {head: longHead, length: 1 << 20},
		"keyed":               {head: shortHead, keyed: true, notRun: true},
		"keyed-and-announced": {head: shortHead, length: 1000, keyed: true, notRun: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, _ := newServingFleet(t)
				defer f.Close()
				responses := make(chan bubble.Response)
				for range stalledUploads {
					upload, end := newStalledUpload(t, name, c.head)
					defer end()
					upload.ContentLength = c.length
					if c.keyed {
						upload.IdempotencyKey = name
						upload.Path = "/booking/" + name
					}
					go func() { responses <- f.Call("fes-1", upload) }()
				}
				time.Sleep(time.Second)
				must.Eq(t, http.StatusOK, f.Call("fes-1", lookup("beside")).Status)
				start := time.Now()
				for range stalledUploads {
					checkStalled(t, <-responses, c.notRun)
				}
				must.Less(t, 2*bodyIdleTimeout, time.Since(start))
				must.Zero(t, f.RunCount(name))
			})
		})
	}
}

// checkStalled checks the response to a stalled upload. With notRun set it must be
// refused as not run. Otherwise a backend server can have started to read it, and
// any other status than 200 or a closed connection is allowed.
func checkStalled(t *testing.T, a bubble.Response, notRun bool) {
	t.Helper()
	if !notRun {
		must.True(t, a.Err != nil || a.Status != http.StatusOK)
		return
	}
	must.NoError(t, a.Err)
	must.Eq(t, http.StatusRequestTimeout, a.Status)
	must.Eq(t, string(verdict.SlowSender), a.Reason)
	must.Eq(t, verdict.NotRun.String(), a.Verdict)
}
