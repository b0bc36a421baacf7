package process_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/settings"
	"github.com/marigoldshelf/marigoldshelf/test/process"
)

// TestStopWithSilentConnections stops a node while connections are open on which
// nothing was sent, as another node opens them ahead of its requests. It guards against
// a stop that waits for them and ends with a failure.
func TestStopWithSilentConnections(t *testing.T) {
	fleet := process.NewFleet(t)
	fleet.Traffic.StopWithin = settings.Duration(2 * time.Second)
	n := fleet.Add("fes-1", "fes", "desk")
	process.Eventually(t, "health check", func() bool {
		response, err := http.Get("http://" + n.Operators + "/healthz")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	n.NodeProcess.Terminate()
	for _, address := range []string{n.Callers, n.Peers, n.Operators} {
		conn, err := net.Dial("tcp", address)
		must.NoError(t, err)
		defer conn.Close()
	}
	must.NoError(t, n.NodeProcess.Wait(t.Context()))
}
