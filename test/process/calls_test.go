package process_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/test/process"
)

// newServingFleet returns a fleet of two hosts of the service desk and one of the
// service quote, whose nodes all answer callers of both services.
func newServingFleet(t *testing.T) *process.Fleet {
	t.Helper()
	fleet := process.NewFleet(t)
	first := fleet.Add("fes-1", "fes", "desk")
	fleet.Add("meknes-1", "meknes", "desk")
	fleet.Add("fes-2", "fes", "quote")
	release(t, first, "p1", 0, testConfig())
	for host, n := range fleet.Nodes {
		process.Eventually(t, "status 200 for both services through "+string(host), func() bool {
			return get(t, n, "desk.example", "/status").StatusCode == http.StatusOK &&
				get(t, n, "quote.example", "/").StatusCode == http.StatusOK
		})
	}
	return fleet
}

// sendRequest sends a request on a new connection and reads the whole response.
func sendRequest(n *process.Node, method, hostName, path, run string) (*http.Response, string, error) {
	request, err := http.NewRequest(method, "http://"+n.Callers+path, strings.NewReader(""))
	if err != nil {
		return nil, "", err
	}
	request.Host = hostName
	request.Header.Set("X-Run", run)
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// TestBookingsWhenProcessDies kills a node, and then a backend server, while
// bookings run there. Their execution has started, so a verdict of not-run would
// be false, and a retry would run a booking twice.
func TestBookingsWhenProcessDies(t *testing.T) {
	fleet := newServingFleet(t)
	entry := fleet.Nodes["fes-2"]
	bookAndKill(t, fleet, entry, "node", fleet.Nodes["meknes-1"].NodeProcess.Kill)
	bookAndKill(t, fleet, entry, "backend", func() {
		fleet.Nodes["fes-1"].BackendProcess.Kill()
		delete(fleet.Nodes, "fes-1") // its run counts are lost
	})
}

// bookAndKill sends bookings, calls kill once all of them are running, and checks
// the verdicts and the run counts. name is the prefix of the run IDs; for backend
// at least one verdict must be may-have-run.
func bookAndKill(t *testing.T, fleet *process.Fleet, entry *process.Node, name string, kill func()) {
	t.Helper()
	const bookings = 5
	verdicts := make([]string, bookings)
	var group sync.WaitGroup
	for i := range bookings {
		group.Go(func() {
			response, _, err := sendRequest(entry, "POST", "desk.example", "/book?delay_ms=1500", name+strconv.Itoa(i))
			if err == nil {
				verdicts[i] = response.Header.Get("Marigold-Verdict")
			}
		})
	}
	process.Eventually(t, "all bookings running", func() bool {
		running := 0
		for i := range bookings {
			running += runCount(t, fleet, name+strconv.Itoa(i))
		}
		return running == bookings
	})
	kill()
	group.Wait()
	for i, verdict := range verdicts {
		must.SliceContains(t, []string{"ran", "may-have-run"}, verdict)
		must.LessEq(t, 1, runCount(t, fleet, name+strconv.Itoa(i)))
	}
	if name == "backend" {
		must.SliceContains(t, verdicts, "may-have-run")
	}
}

// TestBackendResponses passes unusual responses of backend servers to the caller.
// A truncated response must not look complete, verdict headers set by a backend
// server must not be taken for the node's, trailers must arrive, and a shed request
// must have the verdict not-run.
func TestBackendResponses(t *testing.T) {
	fleet := newServingFleet(t)
	n := fleet.Nodes["fes-1"]
	for _, framing := range []string{"length", "chunks"} {
		_, _, err := sendRequest(n, "GET", "desk.example", "/status?cut="+framing, "")
		must.Error(t, err, must.Sprint(framing))
	}
	forged, _, err := sendRequest(n, "POST", "desk.example", "/book?forge=1", "forged")
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, forged.StatusCode)
	must.Eq(t, "ran", forged.Header.Get("Marigold-Verdict"))
	must.Eq(t, "", forged.Header.Get("Marigold-Reason"))
	withTrailer, _, err := sendRequest(n, "GET", "desk.example", "/status?trailer=1", "")
	must.NoError(t, err)
	must.Eq(t, 64, len(withTrailer.Trailer.Get("X-Sum")))
	// Both backend servers shed the request: status 503 with X-Not-Run.
	shed, _, err := sendRequest(n, "POST", "desk.example", "/book?shed=1", "shed")
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, shed.StatusCode)
	must.Eq(t, "not-run", shed.Header.Get("Marigold-Verdict"))
	must.Eq(t, "backend_shed", shed.Header.Get("Marigold-Reason"))
	must.Eq(t, "1", shed.Header.Get("Marigold-Retries-Exhausted"))
}

// TestTerminatedNodesCompleteUpload sends SIGTERM to both nodes on the path of an
// upload that is half sent. Each must complete the upload before it exits.
func TestTerminatedNodesCompleteUpload(t *testing.T) {
	fleet := newServingFleet(t)
	reader, writer := io.Pipe()
	request, err := http.NewRequest(http.MethodPost, "http://"+fleet.Nodes["fes-1"].Callers+"/photos", reader)
	must.NoError(t, err)
	request.Host = "quote.example"
	request.Header.Set("X-Run", "upload")
	responses := make(chan *http.Response, 1)
	go func() {
		response, _ := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
		responses <- response
	}()
	half := strings.Repeat("a dented cup ", 20_000)
	_, err = io.WriteString(writer, half)
	must.NoError(t, err)
	process.Eventually(t, "the upload running", func() bool { return runCount(t, fleet, "upload") == 1 })
	for _, host := range []mesh.HostID{"fes-1", "fes-2"} {
		fleet.Nodes[host].NodeProcess.Terminate()
	}
	time.Sleep(3 * time.Second) // longer than the stop of an idle node takes
	_, err = io.WriteString(writer, half)
	must.NoError(t, err)
	must.NoError(t, writer.Close())
	response := <-responses
	must.NotNil(t, response)
	body, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	must.StrContains(t, string(body), `"Bytes":`+strconv.Itoa(2*len(half)))
	for _, host := range []mesh.HostID{"fes-1", "fes-2"} {
		must.NoError(t, fleet.Nodes[host].NodeProcess.Wait(t.Context()))
	}
}
