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

// bodyIdle is the setting's default.
const bodyIdle = 30 * time.Second

// stalled is an upload of which head comes, and then nothing.
func stalled(t *testing.T, run, head string) (upload bubble.Request, end func()) {
	t.Helper()
	body, sender := io.Pipe()
	go io.Copy(sender, strings.NewReader(head))
	return bubble.Request{
		Method: http.MethodPost, HostName: "desk.example", Path: "/upload/" + run, Run: run,
		Stream: body, Timeout: 5 * time.Minute,
	}, func() { sender.Close() }
}

// stalls is how many uploads of each kind stall at once: more than the backend
// servers have slots for uploads.
const stalls = 8

// TestSlowSenderIsRefusedAndHoldsNoSlot stalls uploads, short and long ones,
// of announced and unknown length, and bookings with a key; others go on.
func TestSlowSenderIsRefusedAndHoldsNoSlot(t *testing.T) {
	short, long := "half a photo", strings.Repeat("photo ", 30_000)
	for name, c := range map[string]struct {
		head   string
		length int64
		keyed  bool
		whole  bool // nothing can have left the first node
	}{
		"short":               {head: short, whole: true},
		"short-announced":     {head: short, length: 1000, whole: true},
		"long":                {head: long},
		"long-announced":      {head: long, length: 1 << 20},
		"keyed":               {head: short, keyed: true, whole: true},
		"keyed-and-announced": {head: short, length: 1000, keyed: true, whole: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, _ := started(t)
				defer f.Close()
				answers := make(chan bubble.Answer)
				for range stalls {
					upload, end := stalled(t, name, c.head)
					defer end()
					upload.Length = c.length
					if c.keyed {
						upload.Key = name
						upload.Path = "/booking/" + name
					}
					go func() { answers <- f.Call("fes-1", upload) }()
				}
				time.Sleep(time.Second)
				must.Eq(t, http.StatusOK, f.Call("fes-1", lookup("beside")).Status)
				begun := time.Now()
				for range stalls {
					checkStalled(t, <-answers, c.whole)
				}
				must.Less(t, 2*bodyIdle, time.Since(begun))
				must.Zero(t, f.Runs(name))
			})
		})
	}
}

// checkStalled checks the answer to an upload that stalled. A long one may have
// been begun by a backend server: then it is told so, or its connection ends.
func checkStalled(t *testing.T, a bubble.Answer, whole bool) {
	t.Helper()
	if !whole {
		must.True(t, a.Err != nil || a.Status != http.StatusOK)
		return
	}
	must.NoError(t, a.Err)
	must.Eq(t, http.StatusRequestTimeout, a.Status)
	must.Eq(t, string(verdict.SlowSender), a.Reason)
	must.Eq(t, verdict.NotRun.String(), a.Verdict)
}
