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

// TestAddedLatency logs the latency that the two nodes on the path add to a
// request, compared with a request sent directly to the backend server, and the
// CPU time that the nodes use. For comparison it also logs the latency that two
// minimal forwarders add. It checks no bound, so it is built only with
// go test -tags measure.
func TestAddedLatency(t *testing.T) {
	fleet := newServingFleet(t)
	entry, quote := fleet.Nodes["fes-1"], fleet.Nodes["fes-2"]
	const count, interval = 2000, 2 * time.Millisecond
	forwarder := startForwarder(t, startForwarder(t, quote.BackendAddress))
	measureLatencies(t, entry.Callers, 200, interval)
	for range 3 {
		direct := measureLatencies(t, quote.BackendAddress, count, interval)
		forwarded := measureLatencies(t, forwarder, count, interval)
		cpuBefore := cpuTime(t, entry) + cpuTime(t, quote)
		viaNodes := measureLatencies(t, entry.Callers, count, interval)
		cpuUsed := cpuTime(t, entry) + cpuTime(t, quote) - cpuBefore
		addedAt := func(quantile float64) time.Duration {
			i := int(quantile * count)
			return viaNodes[i] - direct[i]
		}
		t.Logf("two minimal forwarders add p50 %v p99 %v", forwarded[count/2]-direct[count/2],
			forwarded[count*99/100]-direct[count*99/100])
		t.Logf("two nodes add p50 %v p99 %v (direct p50 %v p99 %v), CPU time of both nodes %v per request",
			addedAt(0.5), addedAt(0.99), direct[count/2], direct[count*99/100], cpuUsed/count)
	}
}

// startForwarder starts a minimal HTTP forwarder, which sends each request to
// target and copies the response, and returns its address.
func startForwarder(t *testing.T, target string) string {
	t.Helper()
	transport := hop.NewTransport(network.System{}, 0)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+target+r.URL.Path, nil)
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

// measureLatencies sends count requests one after another, one every interval,
// and returns their latencies in ascending order.
func measureLatencies(t *testing.T, address string, count int, interval time.Duration) []time.Duration {
	t.Helper()
	latencies := make([]time.Duration, 0, count)
	ticker := time.NewTicker(interval)
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
		latencies = append(latencies, time.Since(start))
		response.Body.Close()
	}
	slices.Sort(latencies)
	return latencies
}

// cpuTime returns the user and system CPU time that a node has used, with a
// resolution of 10 ms, the clock tick of /proc.
func cpuTime(t *testing.T, n *process.Node) time.Duration {
	t.Helper()
	stat, err := os.ReadFile("/proc/" + strconv.Itoa(n.NodeProcess.PID()) + "/stat")
	must.NoError(t, err)
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}
