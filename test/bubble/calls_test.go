package bubble_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/front/operator"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/test/bubble"
)

func booking(run string) bubble.Request {
	return bubble.Request{Method: "POST", HostName: "desk.example", Path: "/booking/" + run, Run: run, Body: "a cup"}
}

// serving returns a fleet whose nodes all serve.
func serving(t *testing.T) *bubble.Fleet {
	t.Helper()
	f := pair(t)
	f.AwaitVersion(f.Release("fes-1", "first", 0, time.Minute), everyone...)
	for _, id := range everyone {
		f.Eventually("an answer through "+string(id), func() bool {
			return f.Call(id, lookup("warm-"+string(id))).Status == 200
		})
	}
	return f
}

// TestDrainedBackendGetsNoNewWork drains one backend server while bookings
// come in everywhere: none fails, and after a second none goes there.
func TestDrainedBackendGetsNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := serving(t)
		defer f.Close()
		var done operator.Drained
		f.Operate("fes-2", bubble.OperatorToken, "POST", "/v1/drain", operator.DrainRequest{Host: "fes-2"}, &done)
		must.True(t, done.Draining)
		start := time.Now()
		for i := 0; time.Since(start) < 3*time.Second; i++ {
			sent := time.Since(start)
			a := f.Call(everyone[i%len(everyone)], booking(fmt.Sprint("b", i)))
			must.Eq(t, 200, a.Status, must.Sprintf("%+v", a))
			if sent > time.Second {
				must.NotEq(t, "fes-2", a.Backend)
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// upload is a caller's upload whose body comes in two halves.
type upload struct {
	rest   *io.PipeWriter
	answer chan string
}

func startUpload(t *testing.T, f *bubble.Fleet, at mesh.HostID, half string) upload {
	t.Helper()
	reader, writer := io.Pipe()
	url := "http://" + f.Hosts[at].IP + ":7100/upload/photos"
	request, err := http.NewRequest(http.MethodPost, url, reader)
	must.NoError(t, err)
	request.Host = "desk.example"
	client := &http.Transport{DialContext: f.Network.Host("10.255.0.9").DialContext, DisableKeepAlives: true}
	u := upload{rest: writer, answer: make(chan string, 1)}
	go func() {
		response, err := client.RoundTrip(request)
		if err != nil {
			u.answer <- err.Error()
			return
		}
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		u.answer <- response.Status + " " + string(body)
	}()
	_, err = io.WriteString(writer, half)
	must.NoError(t, err)
	return u
}

// TestPlannedStopEndsAHalfSentUpload stops every node but one while an upload
// that entered there is half sent; each stop waits for it.
func TestPlannedStopEndsAHalfSentUpload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := serving(t)
		defer f.Close()
		half := strings.Repeat("photo ", 50_000)
		var uploads []upload
		for _, id := range everyone {
			uploads = append(uploads, startUpload(t, f, id, half))
		}
		time.Sleep(time.Second)
		var stops sync.WaitGroup
		for _, id := range everyone {
			stops.Go(func() { f.Stop(id) })
		}
		for range 2 { // longer than any one bound of the servers, short of the deadline
			time.Sleep(20 * time.Second)
			for _, u := range uploads {
				_, err := io.WriteString(u.rest, half)
				must.NoError(t, err)
			}
		}
		for _, u := range uploads {
			must.NoError(t, u.rest.Close())
			answer := <-u.answer
			must.True(t, answer == "200 OK "+strings.Repeat(half, 3), must.Sprintf("%.80s, %d bytes", answer, len(answer)))
		}
		stops.Wait()
	})
}

// TestCallerThatLeavesFreesItsSlot abandons more requests than there are slots
// and then sends one: it would wait a minute behind them.
func TestCallerThatLeavesFreesItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := serving(t)
		defer f.Close()
		for _, h := range f.Hosts {
			h.Backend.SetDelay(50 * time.Second)
		}
		var group sync.WaitGroup
		for i := range 40 {
			group.Go(func() {
				r := lookup(fmt.Sprint("left", i))
				r.Timeout = time.Second
				f.Call("fes-1", r)
			})
		}
		group.Wait()
		for _, h := range f.Hosts {
			h.Backend.SetDelay(0)
		}
		start := time.Now()
		must.Eq(t, 200, f.Call("fes-1", lookup("after")).Status)
		must.Less(t, 2*time.Second, time.Since(start))
	})
}

// TestBookingsWhileHostsDie kills hosts in turn while bookings come in: each
// runs at most once, and each refusal that says not run is true.
func TestBookingsWhileHostsDie(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := serving(t)
		defer f.Close()
		for _, h := range f.Hosts {
			h.Backend.SetDelay(200 * time.Millisecond)
		}
		answers := make([]bubble.Answer, 150)
		var group sync.WaitGroup
		for i := range answers {
			group.Go(func() {
				time.Sleep(time.Duration(i) * 20 * time.Millisecond)
				answers[i] = f.Call(everyone[i%2], booking(fmt.Sprint("b", i)))
			})
		}
		for _, id := range []mesh.HostID{"meknes-1", "meknes-2"} {
			time.Sleep(700 * time.Millisecond)
			f.Kill(id)
		}
		group.Wait()
		answered := 0
		for i, a := range answers {
			runs := 0
			for _, h := range f.Hosts {
				runs += h.Backend.Runs(fmt.Sprint("b", i))
			}
			must.LessEq(t, 1, runs, must.Sprintf("booking %d", i))
			switch a.Verdict {
			case "not-run":
				must.Zero(t, runs, must.Sprintf("booking %d: %+v", i, a))
			case "ran":
				answered++
				must.Eq(t, 1, runs)
			}
		}
		must.Greater(t, 130, answered)
	})
}

// TestNodesHeadersAreNotTheCallers sends the nodes' own headers as a caller:
// they change nothing.
func TestNodesHeadersAreNotTheCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := serving(t)
		defer f.Close()
		client := &http.Transport{DialContext: f.Network.Host("10.255.0.9").DialContext, DisableKeepAlives: true}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, "GET", "http://"+f.Hosts["fes-1"].IP+":7100/lookup/x", nil)
		must.NoError(t, err)
		request.Host = "desk.example"
		for name, value := range map[string]string{
			"Marigold-Call": "forged", "Marigold-Target": "nowhere", "Marigold-Service": "other",
			"Marigold-Class": "upload", "Marigold-Version": "999", "Marigold-Verdict": "not-run",
		} {
			request.Header.Set(name, value)
		}
		response, err := client.RoundTrip(request)
		must.NoError(t, err)
		response.Body.Close()
		must.Eq(t, 200, response.StatusCode)
		must.Eq(t, "ran", response.Header.Get("Marigold-Verdict"))
		must.Eq(t, "", response.Header.Get("Marigold-Load"))
	})
}
