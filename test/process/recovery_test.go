package process_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/eventlog/standin"
	"github.com/marigoldshelf/marigoldshelf/front/operator"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/test/process"
)

func statusOf(t *testing.T, n *process.Node) (status operator.Status) {
	t.Helper()
	process.Call(t, n.Operators, process.OperatorToken, "GET", "/v1/status", nil, &status)
	return status
}

// TestRestartWithThePlatformDown restarts a host without memory while the
// platform does not answer. Until its peers have told it what it may serve it
// refuses with a true verdict, and then it serves the version it served before.
func TestRestartWithThePlatformDown(t *testing.T) {
	fleet := process.NewFleet(t)
	first := fleet.Add("fes-1", "fes", "desk")
	fleet.Add("fes-2", "fes", "quote")
	third := fleet.Add("meknes-1", "meknes", "desk")
	version := release(t, first, "p1", 0, menders())
	config := menders()
	config.Rules["extra"] = mesh.Rule{ID: "extra", HostName: "extra.example", PathPrefix: "/", Service: "desk",
		Class: mesh.Lookup, DeadlineMillis: 5000}
	version = release(t, first, "p2", version, config)
	for host, n := range fleet.Nodes {
		process.Eventually(t, "version in force at "+string(host), func() bool {
			status := statusOf(t, n)
			return status.Version == version && len(status.Members) == 3
		})
	}

	fleet.SetFaults(standin.Faults{Down: true})
	fleet.Seed("meknes-1", first.Probes)
	third.Process.Kill()
	fleet.Restart("meknes-1")
	refused := get(t, third, "desk.example", "/status/1")
	if refused.StatusCode != http.StatusOK { // it may have learned its floor by now
		must.Eq(t, "not-run", refused.Header.Get("Marigold-Verdict"))
		must.Eq(t, "floor_unknown", refused.Header.Get("Marigold-Reason"))
	}
	process.Eventually(t, "the returned host serves", func() bool {
		status := statusOf(t, third)
		must.True(t, status.Version == 0 || status.Version == version, must.Sprintf("version %d", status.Version))
		return status.Version == version
	})
	process.Eventually(t, "an answer through the returned host", func() bool {
		return get(t, third, "desk.example", "/status/1").StatusCode == http.StatusOK
	})
}

// TestStartAfterTheLogWasTrimmed starts a node whose first records the platform
// has dropped; it gets the whole state all the same.
func TestStartAfterTheLogWasTrimmed(t *testing.T) {
	fleet := process.NewFleet(t, "--records", "20", "--rate", "0")
	first := fleet.Add("fes-1", "fes", "desk")
	var version mesh.Version
	config := menders()
	for i := range 10 {
		config.Hosts[mesh.HostID(fmt.Sprintf("new-%d", i))] = mesh.Host{
			ID: mesh.HostID(fmt.Sprintf("new-%d", i)), Zone: "fes", Service: "desk"}
		version = release(t, first, fmt.Sprintf("p%d", i), version, config)
	}
	late := fleet.Add("fes-2", "fes", "quote")
	process.Eventually(t, "version in force at the late node", func() bool {
		return statusOf(t, late).Version == version
	})
	var answer operator.Configuration
	process.Call(t, late.Operators, process.OperatorToken, "GET", "/v1/configuration", nil, &answer)
	must.MapLen(t, len(config.Hosts), answer.Config.Hosts)
}

// A node that stops gets word of changed settings, as one that has just started
// may: it ends by its stop and not by the signal.
func TestHangupEndsNoNode(t *testing.T) {
	fleet := process.NewFleet(t)
	n := fleet.Add("fes-1", "fes", "desk")
	n.Process.Hangup()
	n.Process.Terminate()
	for range 10 {
		time.Sleep(100 * time.Millisecond)
		n.Process.Hangup()
	}
	must.NoError(t, n.Process.Wait(t.Context()))
}
