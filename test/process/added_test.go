//go:build measure

package process_test

import (
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/test/process"
)

// TestAddedTime reports what two nodes add to a call, against going straight
// to the backend server, and their processor time. It measures and judges
// nothing, so it is built only when asked: go test -tags measure.
func TestAddedTime(t *testing.T) {
	fleet := callsFleet(t)
	entry, quote := fleet.Nodes["fes-1"], fleet.Nodes["fes-2"]
	const count, gap = 2000, 2 * time.Millisecond
	timed(t, entry.Callers, 200, gap)
	for range 3 {
		straight := timed(t, quote.Backend, count, gap)
		before := processorTime(t, entry) + processorTime(t, quote)
		through := timed(t, entry.Callers, count, gap)
		used := processorTime(t, entry) + processorTime(t, quote) - before
		at := func(q float64) time.Duration {
			i := int(q * count)
			return through[i] - straight[i]
		}
		t.Logf("added p50 %v p99 %v (straight p50 %v p99 %v), processor time of both nodes %v a call",
			at(0.5), at(0.99), straight[count/2], straight[count*99/100], used/count)
	}
}

// timed sends requests one after another and returns their times, sorted.
func timed(t *testing.T, address string, count int, gap time.Duration) []time.Duration {
	t.Helper()
	times := make([]time.Duration, 0, count)
	ticker := time.NewTicker(gap)
	defer ticker.Stop()
	for range count {
		<-ticker.C
		request, err := http.NewRequest(http.MethodGet, "http://"+address+"/added", nil)
		must.NoError(t, err)
		request.Host = "quote.example"
		start := time.Now()
		response, err := http.DefaultTransport.RoundTrip(request)
		must.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		must.NoError(t, err)
		times = append(times, time.Since(start))
		response.Body.Close()
	}
	slices.Sort(times)
	return times
}

// processorTime reads what a node has used so far, in ticks of 10 ms.
func processorTime(t *testing.T, n *process.Node) time.Duration {
	t.Helper()
	stat, err := os.ReadFile("/proc/" + strconv.Itoa(n.Process.ID()) + "/stat")
	must.NoError(t, err)
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}
