//go:build measure

package process_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
	"github.com/marigoldshelf/marigoldshelf/network"
	"github.com/marigoldshelf/marigoldshelf/test/process"
)

// TestAddedTime reports what two nodes add to a call, against going straight
// to the backend server, and their processor time. It measures and judges
// nothing, so it is built only when asked: go test -tags measure.
func TestAddedTime(t *testing.T) {
	fleet := callsFleet(t)
	entry, quote := fleet.Nodes["fes-1"], fleet.Nodes["fes-2"]
	const count, gap = 2000, 2 * time.Millisecond
	bare := forwarder(t, forwarder(t, quote.Backend))
	timed(t, entry.Callers, 200, gap)
	for range 3 {
		straight := timed(t, quote.Backend, count, gap)
		relayed := timed(t, bare, count, gap)
		before := processorTime(t, entry) + processorTime(t, quote)
		through := timed(t, entry.Callers, count, gap)
		used := processorTime(t, entry) + processorTime(t, quote) - before
		at := func(q float64) time.Duration {
			i := int(q * count)
			return through[i] - straight[i]
		}
		t.Logf("two bare forwarders add p50 %v p99 %v", relayed[count/2]-straight[count/2],
			relayed[count*99/100]-straight[count*99/100])
		t.Logf("added p50 %v p99 %v (straight p50 %v p99 %v), processor time of both nodes %v a call",
			at(0.5), at(0.99), straight[count/2], straight[count*99/100], used/count)
	}
}

// forwarder is the least that a hop can be: a server that sends each request
// on and copies the answer. It returns its address.
func forwarder(t *testing.T, to string) string {
	t.Helper()
	transport := hop.NewTransport(network.System{}, 0)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+to+r.URL.Path, nil)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		response, err := transport.RoundTrip(request)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer response.Body.Close()
		w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(w, response.Body)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
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
