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

// TestSlowSenderIsRefusedAndHoldsNoSlot stalls uploads, short and long ones,
// at as many requests as the backend servers have slots for them; others go on.
func TestSlowSenderIsRefusedAndHoldsNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := started(t)
		defer f.Close()
		for name, head := range map[string]string{"short": "half a photo", "long": strings.Repeat("photo ", 30_000)} {
			answers := make(chan bubble.Answer)
			for range 8 {
				upload, end := stalled(t, name, head)
				defer end()
				go func() { answers <- f.Call("fes-1", upload) }()
			}
			time.Sleep(time.Second)
			must.Eq(t, http.StatusOK, f.Call("fes-1", lookup("beside-"+name)).Status)
			begun := time.Now()
			for range 8 {
				a := <-answers
				// A long one may have been begun by a backend server: then it is
				// told so, or its connection ends.
				if a.Err == nil {
					must.NotEq(t, http.StatusOK, a.Status)
				}
				if name == "short" {
					must.NoError(t, a.Err)
					must.Eq(t, http.StatusRequestTimeout, a.Status)
					must.Eq(t, string(verdict.SlowSender), a.Reason)
					must.Eq(t, verdict.NotRun.String(), a.Verdict)
				}
			}
			must.Less(t, 2*bodyIdle, time.Since(begun))
			must.Zero(t, f.Runs(name))
		}
	})
}
