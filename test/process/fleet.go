package process

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/eventlog/standin"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/node"
	"github.com/marigoldshelf/marigoldshelf/settings"
)

// The credentials of a test fleet.
const (
	OperatorToken = "operator-secret-0001"
	CustomerToken = "customer-secret-0001"
	peersSecret   = "peers-secret-0001"
	customer      = mesh.Customer("menders")
)

// eventuallyTimeout bounds the wait of Eventually.
const eventuallyTimeout = 60 * time.Second

// Fleet is a fake platform and a set of nodes with their fake backend servers,
// each a process of its own on the loopback interface.
type Fleet struct {
	t               *testing.T
	programDir      string
	PlatformAddress string // address of the platform
	// Clients and Traffic are settings of the nodes that Add adds.
	Clients settings.Clients
	Traffic settings.Traffic
	Nodes   map[mesh.HostID]*Node
}

// Node is one host of a fleet: a node and its backend server.
type Node struct {
	node.Addresses
	BackendAddress string // address of the backend server
	BackendProcess *Process
	NodeProcess    *Process // process of the node
	settingsFile   string
}

// NewFleet builds the programs and starts platform-standin with the given
// arguments.
func NewFleet(t *testing.T, platformArgs ...string) *Fleet {
	f := &Fleet{t: t, Nodes: make(map[mesh.HostID]*Node)}
	f.programDir = BuildPrograms(t, "marigoldd", "platform-standin", "backend-standin")
	var address struct{ Address string }
	Start(t, &address, filepath.Join(f.programDir, "platform-standin"), platformArgs...)
	f.PlatformAddress = address.Address
	return f
}

// Add writes the settings of a host and starts its backend server and node.
func (f *Fleet) Add(host mesh.HostID, zone mesh.Zone, service mesh.ServiceName) *Node {
	f.t.Helper()
	var backend struct{ Address string }
	backendProcess := Start(f.t, &backend, filepath.Join(f.programDir, "backend-standin"), "--name", string(host))
	s := settings.Settings{
		Host:     host,
		Zone:     zone,
		Listen:   settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0"},
		Peers:    settings.Peers{Secret: peersSecret},
		Backend:  settings.Backend{Service: service, Address: backend.Address, Slots: 6, NotRunHeader: "X-Not-Run"},
		Platform: settings.Platform{URL: "http://" + f.PlatformAddress},
		Clients:  f.Clients,
		Traffic:  f.Traffic,
		Credentials: []settings.Credential{
			{Name: "op", Role: change.Operator, Token: OperatorToken},
			{Name: "cu", Role: change.CustomerRole, Customer: customer, Token: CustomerToken},
		},
	}
	data, err := json.Marshal(s)
	must.NoError(f.t, err)
	settingsFile := filepath.Join(f.t.TempDir(), string(host)+".json")
	must.NoError(f.t, os.WriteFile(settingsFile, data, 0o600))
	n := &Node{BackendAddress: backend.Address, BackendProcess: backendProcess, settingsFile: settingsFile}
	f.Nodes[host] = n
	f.Restart(host)
	return n
}

// Restart starts the node process of a host. The caller must have ended a
// previous process.
func (f *Fleet) Restart(host mesh.HostID) {
	f.t.Helper()
	n := f.Nodes[host]
	n.NodeProcess = Start(f.t, &n.Addresses, filepath.Join(f.programDir, "marigoldd"), n.settingsFile)
}

// SetSeeds sets the probe addresses of the peers through which the node of a host
// joins the fleet at its next start.
func (f *Fleet) SetSeeds(host mesh.HostID, addresses ...string) {
	f.t.Helper()
	n := f.Nodes[host]
	data, err := os.ReadFile(n.settingsFile)
	must.NoError(f.t, err)
	var s settings.Settings
	must.NoError(f.t, json.Unmarshal(data, &s))
	s.Peers.Seeds = addresses
	data, err = json.Marshal(s)
	must.NoError(f.t, err)
	must.NoError(f.t, os.WriteFile(n.settingsFile, data, 0o600))
}

// SetFaults replaces the faults that the platform simulates.
func (f *Fleet) SetFaults(faults standin.Faults) {
	f.t.Helper()
	data, err := json.Marshal(faults)
	must.NoError(f.t, err)
	request, err := http.NewRequest(http.MethodPut, "http://"+f.PlatformAddress+"/faults", bytes.NewReader(data))
	must.NoError(f.t, err)
	response, err := http.DefaultClient.Do(request)
	must.NoError(f.t, err)
	response.Body.Close()
	must.Eq(f.t, http.StatusNoContent, response.StatusCode)
}

// CallOperatorAPI sends a JSON request to the operators' listener at address and
// decodes the response body into decoded unless decoded is nil. It returns the
// HTTP status.
func CallOperatorAPI(t *testing.T, address, token, method, path string, body, decoded any) int {
	t.Helper()
	data, err := json.Marshal(body)
	must.NoError(t, err)
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(data))
	must.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(request)
	must.NoError(t, err)
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	if decoded != nil {
		must.NoError(t, json.Unmarshal(responseBody, decoded), must.Sprintf("response body %s", responseBody))
	}
	return response.StatusCode
}

// Eventually polls until condition returns true. It fails the test after
// eventuallyTimeout.
func Eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(eventuallyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting for: %s", what)
}
