package process_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/front/operator"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/test/process"
)

// testConfig returns a configuration of two services on three hosts.
func testConfig() mesh.Config {
	return mesh.Config{
		Services: map[mesh.ServiceName]mesh.Service{
			"desk":  {Name: "desk", Customer: "menders"},
			"quote": {Name: "quote", Customer: "menders"},
		},
		Hosts: map[mesh.HostID]mesh.Host{
			"fes-1":    {ID: "fes-1", Zone: "fes", Service: "desk"},
			"fes-2":    {ID: "fes-2", Zone: "fes", Service: "quote"},
			"meknes-1": {ID: "meknes-1", Zone: "meknes", Service: "desk"},
		},
		Rules: map[string]mesh.Rule{
			"status": {ID: "status", HostName: "desk.example", PathPrefix: "/status", Service: "desk",
				Class: mesh.Lookup, DeadlineMillis: 5000, Retries: 2},
			"book": {ID: "book", HostName: "desk.example", PathPrefix: "/book", Service: "desk",
				Class: mesh.Booking, DeadlineMillis: 5000, Retries: 2},
			"photos": {ID: "photos", HostName: "quote.example", PathPrefix: "/", Service: "quote",
				Class: mesh.Upload, DeadlineMillis: 60000, Retries: 1},
		},
	}
}

// release proposes, approves and releases a configuration at one node and returns
// its version. It checks that a release before the approval gets status 409.
func release(t *testing.T, n *process.Node, id string, base mesh.Version, c mesh.Config) mesh.Version {
	t.Helper()
	request := operator.ProposeRequest{ID: id, Base: base, Config: c}
	var submitted operator.SubmitResponse
	status := process.CallOperatorAPI(t, n.Operators, process.OperatorToken, "POST", "/v1/proposals", request, &submitted)
	must.Eq(t, http.StatusOK, status, must.Sprintf("%+v", submitted.Outcome))
	var proposals []change.Proposal
	process.CallOperatorAPI(t, n.Operators, process.OperatorToken, "GET", "/v1/proposals", nil, &proposals)
	digest := ""
	for _, p := range proposals {
		if p.ID == id {
			digest = p.Digest
		}
	}
	path := "/v1/proposals/" + id
	decision := operator.ProposalActionRequest{Digest: digest}
	must.Eq(t, http.StatusConflict, process.CallOperatorAPI(t, n.Operators, process.OperatorToken, "POST", path+"/release", decision, &submitted))
	must.Eq(t, http.StatusOK, process.CallOperatorAPI(t, n.Operators, process.CustomerToken, "POST", path+"/approve", decision, &submitted))
	must.Eq(t, http.StatusOK, process.CallOperatorAPI(t, n.Operators, process.OperatorToken, "POST", path+"/release", decision, &submitted))
	return submitted.Outcome.Version
}

// TestEndToEnd runs the whole path with separate processes: a configuration is
// proposed, approved by the customer and released, every node puts it in force,
// and callers get complete responses through any node. A host name without a rule
// is refused with status 404 and the verdict not-run.
func TestEndToEnd(t *testing.T) {
	fleet := process.NewFleet(t)
	first := fleet.Add("fes-1", "fes", "desk")
	fleet.Add("fes-2", "fes", "quote")
	fleet.Add("meknes-1", "meknes", "desk")
	version := release(t, first, "p1", 0, testConfig())

	for host, n := range fleet.Nodes {
		process.Eventually(t, "version in force and three members at "+string(host), func() bool {
			var status operator.Status
			process.CallOperatorAPI(t, n.Operators, process.OperatorToken, "GET", "/v1/status", nil, &status)
			return status.Version == version && len(status.Members) == 3
		})
	}
	photo := strings.Repeat("a dented cup ", 100_000)
	for host, n := range fleet.Nodes {
		process.Eventually(t, "status 200 through "+string(host), func() bool {
			return get(t, n, "desk.example", "/status/7").StatusCode == http.StatusOK
		})
		response := post(t, n, "quote.example", "/photos", photo)
		sum := sha256.Sum256([]byte(photo))
		must.Eq(t, hex.EncodeToString(sum[:]), response.SHA256)
		must.Eq(t, "fes-2", response.Backend)
	}
	refused := get(t, first, "elsewhere.example", "/")
	must.Eq(t, http.StatusNotFound, refused.StatusCode)
	must.Eq(t, "not-run", refused.Header.Get("Marigold-Verdict"))
}

func get(t *testing.T, n *process.Node, hostName, path string) *http.Response {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+n.Callers+path, nil)
	must.NoError(t, err)
	request.Host = hostName
	response, err := http.DefaultClient.Do(request)
	must.NoError(t, err)
	response.Body.Close()
	return response
}

// backendResponse is the response body of backend-standin.
type backendResponse struct {
	Backend string
	Bytes   int64
	SHA256  string
}

func post(t *testing.T, n *process.Node, hostName, path, body string) (decoded backendResponse) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+n.Callers+path, strings.NewReader(body))
	must.NoError(t, err)
	request.Host = hostName
	response, err := http.DefaultClient.Do(request)
	must.NoError(t, err)
	defer response.Body.Close()
	must.Eq(t, http.StatusOK, response.StatusCode)
	must.NoError(t, json.NewDecoder(response.Body).Decode(&decoded))
	return decoded
}
