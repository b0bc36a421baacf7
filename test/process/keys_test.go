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

// TestKeyRunsOnce sends bookings under one key at nodes in two zones, at once
// and after a holder of the key was killed.
func TestKeyRunsOnce(t *testing.T) {
	fleet := process.NewFleet(t)
	first := fleet.Add("fes-1", "fes", "desk")
	second := fleet.Add("meknes-1", "meknes", "desk")
	third := fleet.Add("fes-2", "fes", "quote")
	release(t, first, "p1", 0, menders())
	process.Eventually(t, "a keyed booking", func() bool {
		return book(t, first, "warm-up", "warm-up", "?delay_ms=0").StatusCode == http.StatusOK &&
			book(t, second, "warm-up-2", "warm-up-2", "?delay_ms=0").StatusCode == http.StatusOK
	})

	var both sync.WaitGroup
	for _, n := range []*process.Node{first, second} {
		both.Go(func() { book(t, n, "cup-1", "cup-1", "?delay_ms=300") })
	}
	both.Wait()
	must.Eq(t, 1, runs(t, fleet, "cup-1"))
	repeated := book(t, second, "cup-1", "cup-1", "?delay_ms=300")
	must.Eq(t, http.StatusOK, repeated.StatusCode)
	must.Eq(t, "true", repeated.Header.Get("Idempotency-Replayed"))
	reused := book(t, second, "cup-1", "cup-1", "?delay_ms=1")
	must.Eq(t, http.StatusUnprocessableEntity, reused.StatusCode)

	logCost(t, first)
	third.Process.Kill()
	for range 20 {
		answer := book(t, second, "cup-1", "cup-1", "?delay_ms=300")
		must.NotEq(t, "not-run", answer.Header.Get("Marigold-Verdict"))
	}
	must.Eq(t, 1, runs(t, fleet, "cup-1"))
	process.Eventually(t, "the answer of the first run again", func() bool {
		return book(t, second, "cup-1", "cup-1", "?delay_ms=300").StatusCode == http.StatusOK
	})
	must.Eq(t, 1, runs(t, fleet, "cup-1"))
}

// logCost writes down how long bookings with and without a key take, one after
// the other by turns. It is a measurement, and no check.
func logCost(t *testing.T, n *process.Node) {
	const bookings = 200
	plain := make([]time.Duration, bookings)
	keyed := make([]time.Duration, bookings)
	for i := range bookings {
		key := "cost-" + strconv.Itoa(i)
		begin := time.Now()
		book(t, n, "", key, "")
		middle := time.Now()
		must.Eq(t, http.StatusOK, book(t, n, key, key, "").StatusCode)
		plain[i], keyed[i] = middle.Sub(begin), time.Since(middle)
	}
	slices.Sort(plain)
	slices.Sort(keyed)
	for _, p := range []int{50, 99} {
		at := bookings * p / 100
		t.Logf("p%d: without key %v, with key %v", p, plain[at], keyed[at])
	}
}

// book sends a booking under a key and returns the answer, its body read.
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

// runs counts how often the backend servers together ran a booking.
func runs(t *testing.T, f *process.Fleet, run string) (total int) {
	t.Helper()
	for _, n := range f.Nodes {
		response, err := http.Get("http://" + n.Backend + "/standin/runs?run=" + run)
		must.NoError(t, err)
		var count int
		must.NoError(t, json.NewDecoder(response.Body).Decode(&count))
		response.Body.Close()
		total += count
	}
	return total
}
