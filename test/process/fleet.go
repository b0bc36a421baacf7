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

// patience bounds every wait for something that happens on its own.
const patience = 60 * time.Second

// Fleet is a platform stand-in and some nodes with their backend servers.
type Fleet struct {
	t        *testing.T
	programs string
	Platform string
	Nodes    map[mesh.HostID]*Node
}

// Node is one host of a fleet.
type Node struct {
	node.Addresses
	Backend string
	// BackendProcess is the host's backend server.
	BackendProcess *Process
	Process        *Process
	file           string
}

// NewFleet builds the programs and starts the platform's stand-in with the
// arguments given.
func NewFleet(t *testing.T, platformArgs ...string) *Fleet {
	f := &Fleet{t: t, Nodes: make(map[mesh.HostID]*Node)}
	f.programs = Programs(t, "marigoldd", "platform-standin", "backend-standin")
	var address struct{ Address string }
	Start(t, &address, filepath.Join(f.programs, "platform-standin"), platformArgs...)
	f.Platform = address.Address
	return f
}

// Add starts a host's backend server and node.
func (f *Fleet) Add(host mesh.HostID, zone mesh.Zone, service mesh.ServiceName) *Node {
	f.t.Helper()
	var backend struct{ Address string }
	backendProcess := Start(f.t, &backend, filepath.Join(f.programs, "backend-standin"), "--name", string(host))
	s := settings.Settings{
		Host:     host,
		Zone:     zone,
		Listen:   settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0"},
		Peers:    settings.Peers{Secret: peersSecret},
		Backend:  settings.Backend{Service: service, Address: backend.Address, Slots: 6, NotRunHeader: "X-Not-Run"},
		Platform: settings.Platform{URL: "http://" + f.Platform},
		Logins: []settings.Credential{
			{Name: "op", Role: change.Operator, Token: OperatorToken},
			{Name: "cu", Role: change.CustomerRole, Customer: customer, Token: CustomerToken},
		},
	}
	data, err := json.Marshal(s)
	must.NoError(f.t, err)
	file := filepath.Join(f.t.TempDir(), string(host)+".json")
	must.NoError(f.t, os.WriteFile(file, data, 0o600))
	n := &Node{Backend: backend.Address, BackendProcess: backendProcess, file: file}
	f.Nodes[host] = n
	f.Restart(host)
	return n
}

// Restart starts the node of a host, anew if it ran before.
func (f *Fleet) Restart(host mesh.HostID) {
	f.t.Helper()
	n := f.Nodes[host]
	n.Process = Start(f.t, &n.Addresses, filepath.Join(f.programs, "marigoldd"), n.file)
}

// Seed gives the node of a host the probe addresses of others to join through
// at its next start.
func (f *Fleet) Seed(host mesh.HostID, addresses ...string) {
	f.t.Helper()
	n := f.Nodes[host]
	data, err := os.ReadFile(n.file)
	must.NoError(f.t, err)
	var s settings.Settings
	must.NoError(f.t, json.Unmarshal(data, &s))
	s.Peers.Seeds = addresses
	data, err = json.Marshal(s)
	must.NoError(f.t, err)
	must.NoError(f.t, os.WriteFile(n.file, data, 0o600))
}

// SetFaults makes the platform fail in a way from now on.
func (f *Fleet) SetFaults(faults standin.Faults) {
	f.t.Helper()
	data, err := json.Marshal(faults)
	must.NoError(f.t, err)
	request, err := http.NewRequest(http.MethodPut, "http://"+f.Platform+"/faults", bytes.NewReader(data))
	must.NoError(f.t, err)
	response, err := http.DefaultClient.Do(request)
	must.NoError(f.t, err)
	response.Body.Close()
	must.Eq(f.t, http.StatusNoContent, response.StatusCode)
}

// Call sends a request of an operator or customer and decodes its answer.
func Call(t *testing.T, address, token, method, path string, body, answer any) int {
	t.Helper()
	data, err := json.Marshal(body)
	must.NoError(t, err)
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(data))
	must.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(request)
	must.NoError(t, err)
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	if answer != nil {
		must.NoError(t, json.Unmarshal(raw, answer), must.Sprintf("answer %s", raw))
	}
	return response.StatusCode
}

// Eventually waits until holds returns true.
func Eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("never came about: %s", what)
}
