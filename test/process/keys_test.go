package process_test

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/test/process"
)

// TestKeyRunsOnce sends bookings with one idempotency key through nodes in two
// zones, first in parallel and again after the third node, which can hold the
// key's record, was killed. The booking must run once; a second primary, or a
// record lost with the node, would run it again.
func TestKeyRunsOnce(t *testing.T) {
	fleet := process.NewFleet(t)
	first := fleet.Add("fes-1", "fes", "desk")
	second := fleet.Add("meknes-1", "meknes", "desk")
	third := fleet.Add("fes-2", "fes", "quote")
	release(t, first, "p1", 0, testConfig())
	process.Eventually(t, "status 200 for bookings with a key", func() bool {
		return book(t, first, "warm-up", "warm-up", "?delay_ms=0").StatusCode == http.StatusOK &&
			book(t, second, "warm-up-2", "warm-up-2", "?delay_ms=0").StatusCode == http.StatusOK
	})

	var group sync.WaitGroup
	for _, n := range []*process.Node{first, second} {
		group.Go(func() { book(t, n, "cup-1", "cup-1", "?delay_ms=300") })
	}
	group.Wait()
	must.Eq(t, 1, runCount(t, fleet, "cup-1"))
	replayed := book(t, second, "cup-1", "cup-1", "?delay_ms=300")
	must.Eq(t, http.StatusOK, replayed.StatusCode)
	must.Eq(t, "true", replayed.Header.Get("Idempotency-Replayed"))
	reused := book(t, second, "cup-1", "cup-1", "?delay_ms=1")
	must.Eq(t, http.StatusUnprocessableEntity, reused.StatusCode)

	logKeyLatency(t, first)
	third.NodeProcess.Kill()
	for range 20 {
		response := book(t, second, "cup-1", "cup-1", "?delay_ms=300")
		must.NotEq(t, "not-run", response.Header.Get("Marigold-Verdict"))
	}
	must.Eq(t, 1, runCount(t, fleet, "cup-1"))
	process.Eventually(t, "status 200 for the booking repeated after a node died", func() bool {
		return book(t, second, "cup-1", "cup-1", "?delay_ms=300").StatusCode == http.StatusOK
	})
	must.Eq(t, 1, runCount(t, fleet, "cup-1"))
}

// logKeyLatency logs the latencies of bookings with and without a key, which it
// sends one after another in alternation. It checks no bound on them.
func logKeyLatency(t *testing.T, n *process.Node) {
	const bookings = 200
	plain := make([]time.Duration, bookings)
	keyed := make([]time.Duration, bookings)
	for i := range bookings {
		key := "cost-" + strconv.Itoa(i)
		start := time.Now()
		book(t, n, "", key, "")
		middle := time.Now()
		must.Eq(t, http.StatusOK, book(t, n, key, key, "").StatusCode)
		plain[i], keyed[i] = middle.Sub(start), time.Since(middle)
	}
	slices.Sort(plain)
	slices.Sort(keyed)
	for _, p := range []int{50, 99} {
		at := bookings * p / 100
		t.Logf("p%d: without key %v, with key %v", p, plain[at], keyed[at])
	}
}

// book sends a booking with an idempotency key, or without one when key is empty,
// and returns the response after it has read the body.
func book(t *testing.T, n *process.Node, key, run, query string) *http.Response {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+n.Callers+"/book"+query, strings.NewReader("a cup"))
	must.NoError(t, err)
	request.Host = "desk.example"
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	request.Header.Set("X-Run", run)
	response, err := http.DefaultClient.Do(request)
	must.NoError(t, err)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	must.NoError(t, err)
	return response
}

// runCount returns the number of executions of a request on all backend servers.
func runCount(t *testing.T, f *process.Fleet, run string) (total int) {
	t.Helper()
	for _, n := range f.Nodes {
		response, err := http.Get("http://" + n.BackendAddress + "/standin/runs?run=" + run)
		must.NoError(t, err)
		var count int
		must.NoError(t, json.NewDecoder(response.Body).Decode(&count))
		response.Body.Close()
		total += count
	}
	return total
}
