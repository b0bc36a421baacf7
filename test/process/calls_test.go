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

// callsFleet is two hosts of the desk and one of quotes, all serving.
func callsFleet(t *testing.T) *process.Fleet {
	t.Helper()
	fleet := process.NewFleet(t)
	first := fleet.Add("fes-1", "fes", "desk")
	fleet.Add("meknes-1", "meknes", "desk")
	fleet.Add("fes-2", "fes", "quote")
	release(t, first, "p1", 0, menders())
	for host, n := range fleet.Nodes {
		process.Eventually(t, "answers of both services through "+string(host), func() bool {
			return get(t, n, "desk.example", "/status").StatusCode == http.StatusOK &&
				get(t, n, "quote.example", "/").StatusCode == http.StatusOK
		})
	}
	return fleet
}

// send sends a request of its own connection, and reads the whole answer.
func send(n *process.Node, method, hostName, path, run string) (*http.Response, string, error) {
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

// TestBookingWhoseHostDies kills a node, and then a backend server, that
// bookings are at. None of them is told to be not run, and none runs twice.
func TestBookingWhoseHostDies(t *testing.T) {
	fleet := callsFleet(t)
	entry := fleet.Nodes["fes-2"]
	bookUntilDeath(t, fleet, entry, "node", fleet.Nodes["meknes-1"].Process.Kill)
	bookUntilDeath(t, fleet, entry, "backend", func() {
		fleet.Nodes["fes-1"].BackendProcess.Kill()
		delete(fleet.Nodes, "fes-1") // its count died with it
	})
}

// bookUntilDeath sends bookings, kills something once they all run, and checks
// what their callers are told.
func bookUntilDeath(t *testing.T, fleet *process.Fleet, entry *process.Node, name string, kill func()) {
	t.Helper()
	const bookings = 5
	verdicts := make([]string, bookings)
	var group sync.WaitGroup
	for i := range bookings {
		group.Go(func() {
			response, _, err := send(entry, "POST", "desk.example", "/book?delay_ms=1500", name+strconv.Itoa(i))
			if err == nil {
				verdicts[i] = response.Header.Get("Marigold-Verdict")
			}
		})
	}
	process.Eventually(t, "bookings under way", func() bool {
		under := 0
		for i := range bookings {
			under += runs(t, fleet, name+strconv.Itoa(i))
		}
		return under == bookings
	})
	kill()
	group.Wait()
	for i, verdict := range verdicts {
		must.SliceContains(t, []string{"ran", "may-have-run"}, verdict)
		must.LessEq(t, 1, runs(t, fleet, name+strconv.Itoa(i)))
	}
	if name == "backend" {
		must.SliceContains(t, verdicts, "may-have-run")
	}
}

// TestAnswersOfBackends passes answers that are cut short, forged, with a
// trailer, or shed: none is taken for what it is not.
func TestAnswersOfBackends(t *testing.T) {
	fleet := callsFleet(t)
	n := fleet.Nodes["fes-1"]
	for _, cut := range []string{"length", "chunks"} {
		_, _, err := send(n, "GET", "desk.example", "/status?cut="+cut, "")
		must.Error(t, err, must.Sprint(cut))
	}
	forged, _, err := send(n, "POST", "desk.example", "/book?forge=1", "forged")
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, forged.StatusCode)
	must.Eq(t, "ran", forged.Header.Get("Marigold-Verdict"))
	must.Eq(t, "", forged.Header.Get("Marigold-Reason"))
	trailed, _, err := send(n, "GET", "desk.example", "/status?trailer=1", "")
	must.NoError(t, err)
	must.Eq(t, 64, len(trailed.Trailer.Get("X-Sum")))
	// Both backend servers promise that a shed request was not run.
	shed, _, err := send(n, "POST", "desk.example", "/book?shed=1", "shed")
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, shed.StatusCode)
	must.Eq(t, "not-run", shed.Header.Get("Marigold-Verdict"))
	must.Eq(t, "backend_shed", shed.Header.Get("Marigold-Reason"))
	must.Eq(t, "1", shed.Header.Get("Marigold-Retries-Exhausted"))
}

// TestTerminatedNodesEndAnUpload terminates the nodes at both ends of an
// upload that is half sent.
func TestTerminatedNodesEndAnUpload(t *testing.T) {
	fleet := callsFleet(t)
	reader, writer := io.Pipe()
	request, err := http.NewRequest(http.MethodPost, "http://"+fleet.Nodes["fes-1"].Callers+"/photos", reader)
	must.NoError(t, err)
	request.Host = "quote.example"
	request.Header.Set("X-Run", "upload")
	answers := make(chan *http.Response, 1)
	go func() {
		response, _ := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
		answers <- response
	}()
	half := strings.Repeat("a dented cup ", 20_000)
	_, err = io.WriteString(writer, half)
	must.NoError(t, err)
	process.Eventually(t, "the upload under way", func() bool { return runs(t, fleet, "upload") == 1 })
	for _, host := range []mesh.HostID{"fes-1", "fes-2"} {
		fleet.Nodes[host].Process.Terminate()
	}
	time.Sleep(3 * time.Second) // longer than a stop takes that waits for nothing
	_, err = io.WriteString(writer, half)
	must.NoError(t, err)
	must.NoError(t, writer.Close())
	response := <-answers
	must.NotNil(t, response)
	body, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	must.StrContains(t, string(body), `"Bytes":`+strconv.Itoa(2*len(half)))
	for _, host := range []mesh.HostID{"fes-1", "fes-2"} {
		must.NoError(t, fleet.Nodes[host].Process.Wait(t.Context()))
	}
}
