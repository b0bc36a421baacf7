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
	return bubble.Request{Method: "POST", HostName: "desk.example", Path: "/booking/" + run, RunID: run, Body: "a cup"}
}

// newMinuteDeadlineFleet returns a two-zone fleet whose nodes all answer
// callers. Every rule has a deadline of one minute.
func newMinuteDeadlineFleet(t *testing.T) *bubble.Fleet {
	t.Helper()
	f := newTwoZoneFleet(t)
	f.AwaitVersion(f.Release("fes-1", "first", 0, time.Minute), allHosts...)
	for _, id := range allHosts {
		f.Eventually("status 200 through "+string(id), func() bool {
			return f.Call(id, lookup("warm-"+string(id))).Status == 200
		})
	}
	return f
}

// TestDrainedBackendGetsNoNewWork drains one backend server while bookings
// arrive at every node. No booking fails, and none sent more than a second after
// the drain reaches that server.
func TestDrainedBackendGetsNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMinuteDeadlineFleet(t)
		defer f.Close()
		var drained operator.DrainResponse
		f.CallOperatorAPI("fes-2", bubble.OperatorToken, "POST", "/v1/drain", operator.DrainRequest{Host: "fes-2"}, &drained)
		must.True(t, drained.Draining)
		start := time.Now()
		for i := 0; time.Since(start) < 3*time.Second; i++ {
			sentAfter := time.Since(start)
			a := f.Call(allHosts[i%len(allHosts)], booking(fmt.Sprint("b", i)))
			must.Eq(t, 200, a.Status, must.Sprintf("%+v", a))
			if sentAfter > time.Second {
				must.NotEq(t, "fes-2", a.Backend)
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// upload is an upload in progress whose body the test writes in parts.
type upload struct {
	body   *io.PipeWriter
	result chan string // "STATUS BODY" of the response, or the error
}

func startUpload(t *testing.T, f *bubble.Fleet, at mesh.HostID, firstPart string) upload {
	t.Helper()
	reader, writer := io.Pipe()
	url := "http://" + f.Hosts[at].IP + ":7100/upload/photos"
	request, err := http.NewRequest(http.MethodPost, url, reader)
	must.NoError(t, err)
	request.Host = "desk.example"
	client := &http.Transport{DialContext: f.Network.Host("10.255.0.9").DialContext, DisableKeepAlives: true}
	u := upload{body: writer, result: make(chan string, 1)}
	go func() {
		response, err := client.RoundTrip(request)
		if err != nil {
			u.result <- err.Error()
			return
		}
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		u.result <- response.Status + " " + string(body)
	}()
	_, err = io.WriteString(writer, firstPart)
	must.NoError(t, err)
	return u
}

// TestPlannedStopCompletesUploads stops all nodes while an upload through each
// of them is incomplete. A node that stops before the upload through it has
// ended would truncate it; every upload must get its complete response.
func TestPlannedStopCompletesUploads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMinuteDeadlineFleet(t)
		defer f.Close()
		part := strings.Repeat("photo ", 50_000)
		var uploads []upload
		for _, id := range allHosts {
			uploads = append(uploads, startUpload(t, f, id, part))
		}
		time.Sleep(time.Second)
		var stops sync.WaitGroup
		for _, id := range allHosts {
			stops.Go(func() { f.Stop(id) })
		}
		for range 2 { // 40 s: longer than any timeout of the servers, within the deadline
			time.Sleep(20 * time.Second)
			for _, u := range uploads {
				_, err := io.WriteString(u.body, part)
				must.NoError(t, err)
			}
		}
		for _, u := range uploads {
			must.NoError(t, u.body.Close())
			result := <-u.result
			must.True(t, result == "200 OK "+strings.Repeat(part, 3), must.Sprintf("%.80s, %d bytes", result, len(result)))
		}
		stops.Wait()
	})
}

// TestCancelledRequestsFreeTheirSlots cancels more requests than the backend
// servers have slots, each of which would run for 50 seconds, and then sends one
// more. If the cancelled requests kept their slots, it would wait behind them.
func TestCancelledRequestsFreeTheirSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMinuteDeadlineFleet(t)
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

// TestBookingsRunAtMostOnceWhileHostsDie kills two hosts in turn while bookings
// arrive. No booking runs twice, and none with the verdict not-run has run: a
// node that retries a booking lost with its host would run it twice.
func TestBookingsRunAtMostOnceWhileHostsDie(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMinuteDeadlineFleet(t)
		defer f.Close()
		for _, h := range f.Hosts {
			h.Backend.SetDelay(200 * time.Millisecond)
		}
		responses := make([]bubble.Response, 150)
		var group sync.WaitGroup
		for i := range responses {
			group.Go(func() {
				time.Sleep(time.Duration(i) * 20 * time.Millisecond)
				responses[i] = f.Call(allHosts[i%2], booking(fmt.Sprint("b", i)))
			})
		}
		for _, id := range []mesh.HostID{"meknes-1", "meknes-2"} {
			time.Sleep(700 * time.Millisecond)
			f.Kill(id)
		}
		group.Wait()
		answered := 0
		for i, a := range responses {
			runs := 0
			for _, h := range f.Hosts {
				runs += h.Backend.RunCount(fmt.Sprint("b", i))
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

// TestInternalHeadersFromCallerAreIgnored sends the headers that nodes use among
// themselves in a caller's request. They must not affect routing or the verdict,
// and the response must not contain internal headers.
func TestInternalHeadersFromCallerAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMinuteDeadlineFleet(t)
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
