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

func nodeStatus(t *testing.T, n *process.Node) (status operator.Status) {
	t.Helper()
	process.CallOperatorAPI(t, n.Operators, process.OperatorToken, "GET", "/v1/status", nil, &status)
	return status
}

// TestRestartDuringPlatformOutage restarts a node, which loses its state, while the
// platform is down. Until its peers give it the version floor it must refuse
// callers with the verdict not-run, and then serve the newest released version.
// Without the floor it could serve an older version than before.
func TestRestartDuringPlatformOutage(t *testing.T) {
	fleet := process.NewFleet(t)
	first := fleet.Add("fes-1", "fes", "desk")
	fleet.Add("fes-2", "fes", "quote")
	third := fleet.Add("meknes-1", "meknes", "desk")
	version := release(t, first, "p1", 0, testConfig())
	config := testConfig()
	config.Rules["extra"] = mesh.Rule{ID: "extra", HostName: "extra.example", PathPrefix: "/", Service: "desk",
		Class: mesh.Lookup, DeadlineMillis: 5000}
	version = release(t, first, "p2", version, config)
	for host, n := range fleet.Nodes {
		process.Eventually(t, "version in force at "+string(host), func() bool {
			status := nodeStatus(t, n)
			return status.Version == version && len(status.Members) == 3
		})
	}

	fleet.SetFaults(standin.Faults{Down: true})
	fleet.SetSeeds("meknes-1", first.Probes)
	third.NodeProcess.Kill()
	fleet.Restart("meknes-1")
	response := get(t, third, "desk.example", "/status/1")
	if response.StatusCode != http.StatusOK { // 200 when the node already has its floor
		must.Eq(t, "not-run", response.Header.Get("Marigold-Verdict"))
		must.Eq(t, "floor_unknown", response.Header.Get("Marigold-Reason"))
	}
	process.Eventually(t, "version in force at the restarted node", func() bool {
		status := nodeStatus(t, third)
		must.True(t, status.Version == 0 || status.Version == version, must.Sprintf("version %d", status.Version))
		return status.Version == version
	})
	process.Eventually(t, "status 200 through the restarted node", func() bool {
		return get(t, third, "desk.example", "/status/1").StatusCode == http.StatusOK
	})
}

// TestStartAfterLogTrimmed starts a node after the platform has dropped the oldest
// records of the log. The node cannot rebuild the configuration from the log
// alone, and must still get all of it.
func TestStartAfterLogTrimmed(t *testing.T) {
	fleet := process.NewFleet(t, "--records", "20", "--rate", "0")
	first := fleet.Add("fes-1", "fes", "desk")
	var version mesh.Version
	config := testConfig()
	for i := range 10 {
		config.Hosts[mesh.HostID(fmt.Sprintf("new-%d", i))] = mesh.Host{
			ID: mesh.HostID(fmt.Sprintf("new-%d", i)), Zone: "fes", Service: "desk"}
		version = release(t, first, fmt.Sprintf("p%d", i), version, config)
	}
	last := fleet.Add("fes-2", "fes", "quote")
	process.Eventually(t, "version in force at the node started last", func() bool {
		return nodeStatus(t, last).Version == version
	})
	var configuration operator.Configuration
	process.CallOperatorAPI(t, last.Operators, process.OperatorToken, "GET", "/v1/configuration", nil, &configuration)
	must.MapLen(t, len(config.Hosts), configuration.Config.Hosts)
}

// TestHangupDoesNotKillNode sends SIGHUP to a node right after its start and during
// a planned stop. The default action of the signal would end the process without
// a clean stop; the node must exit with status 0.
func TestHangupDoesNotKillNode(t *testing.T) {
	fleet := process.NewFleet(t)
	n := fleet.Add("fes-1", "fes", "desk")
	n.NodeProcess.Hangup()
	n.NodeProcess.Terminate()
	for range 10 {
		time.Sleep(100 * time.Millisecond)
		n.NodeProcess.Hangup()
	}
	must.NoError(t, n.NodeProcess.Wait(t.Context()))
}
