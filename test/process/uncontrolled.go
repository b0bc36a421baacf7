package process

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/platform/standin"
)

// StoreFleet is a set of node processes with platform.kind "store". The store and
// the backend servers run in the test.
type StoreFleet struct {
	program  string
	storeURL string
}

// NewStoreFleet starts a store whose configuration has the given routes. Its nodes
// run the given program.
func NewStoreFleet(t *testing.T, program string, routes ...standin.Route) *StoreFleet {
	t.Helper()
	store := standin.NewStore()
	must.NoError(t, store.Publish(3, routes...))
	server := httptest.NewServer(store)
	t.Cleanup(server.CloseClientConnections)
	return &StoreFleet{program: program, storeURL: server.URL}
}

// StoreNode is a node process of a StoreFleet.
type StoreNode struct {
	Callers, Peers, Operators, Reports, Readiness string
	Backend                                       *standin.Backend
	command                                       *exec.Cmd
	exited                                        chan struct{} // closed when the process has ended
}

// StartStoreNode starts a fleet of one node from the given program whose
// configuration routes everything to one backend server with many slots.
// clientSettings is the object "clients" of the settings; nil omits it.
func StartStoreNode(t *testing.T, program string, serviceTime time.Duration, clientSettings map[string]any) *StoreNode {
	t.Helper()
	const service = "desk"
	f := NewStoreFleet(t, program, standin.RouteTo(service, "/", "lookup"))
	return f.Add(t, "fes-1", service, serviceTime, clientSettings)
}

// Add starts the node of a host, and its backend server with many slots.
// clientSettings is the object "clients" of the settings; nil omits it.
func (f *StoreFleet) Add(t *testing.T, host, service string, serviceTime time.Duration, clientSettings map[string]any) *StoreNode {
	t.Helper()
	backendServer := httptest.NewUnstartedServer(nil)
	address := backendServer.Listener.Addr().String()
	free := freeAddresses(t, 5)
	n := &StoreNode{
		Callers: free[0], Reports: free[1], Readiness: free[2], Peers: free[3], Operators: free[4], exited: make(chan struct{}),
		Backend: standin.NewBackend("i-"+host, service, address, "fes", 400, serviceTime),
	}
	backendServer.Config.Handler = n.Backend
	backendServer.Start()
	t.Cleanup(backendServer.CloseClientConnections)
	s := map[string]any{
		"host": host, "zone": "fes",
		"listen": map[string]string{
			"callers": n.Callers, "peers": n.Peers, "operators": n.Operators,
			"reports": n.Reports, "readiness": n.Readiness,
		},
		"backend":  map[string]any{"service": service, "address": address},
		"platform": map[string]string{"kind": "store", "url": f.storeURL},
	}
	if clientSettings != nil {
		s["clients"] = clientSettings
	}
	data, err := json.Marshal(s)
	must.NoError(t, err)
	file := filepath.Join(t.TempDir(), "settings.json")
	must.NoError(t, os.WriteFile(file, data, 0o600))
	n.command = exec.Command(f.program, file)
	n.command.Stderr = os.Stderr
	must.NoError(t, n.command.Start())
	go func() {
		_ = n.command.Wait() // Alive reports the end
		close(n.exited)
	}()
	stop := make(chan struct{})
	var reports sync.WaitGroup
	reports.Go(func() { n.sendReports(stop) })
	t.Cleanup(func() {
		close(stop)
		reports.Wait()
		_ = n.command.Process.Kill()
		<-n.exited
	})
	return n
}

func (n *StoreNode) sendReports(stop <-chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	for {
		n.Backend.Report(context.Background(), client, n.Reports)
		select {
		case <-stop:
			return
		case <-time.After(300 * time.Millisecond):
		}
	}
}

// Alive reports whether the process runs.
func (n *StoreNode) Alive() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// PeakMemory returns the largest resident memory that the process has had, in
// bytes.
func (n *StoreNode) PeakMemory(t *testing.T) int {
	t.Helper()
	return peakMemory(t, n.command.Process.Pid)
}

// Descriptors returns the number of open descriptors of the process.
func (n *StoreNode) Descriptors(t *testing.T) int {
	t.Helper()
	return descriptors(t, n.command.Process.Pid)
}

// PeakMemory returns the largest resident memory that the process has had, in
// bytes.
func (p *Process) PeakMemory(t *testing.T) int {
	t.Helper()
	return peakMemory(t, p.PID())
}

// Descriptors returns the number of open descriptors of the process.
func (p *Process) Descriptors(t *testing.T) int {
	t.Helper()
	return descriptors(t, p.PID())
}

// Alive reports whether the process runs.
func (p *Process) Alive() bool { return p.command.Process.Signal(syscall.Signal(0)) == nil }

func peakMemory(t *testing.T, pid int) int {
	t.Helper()
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	must.NoError(t, err)
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kilobytes, err := strconv.Atoi(fields[1])
			must.NoError(t, err)
			return kilobytes << 10
		}
	}
	t.Fatal("the status of the process has no VmHWM: it has ended")
	return 0
}

func descriptors(t *testing.T, pid int) int {
	t.Helper()
	entries, err := os.ReadDir("/proc/" + strconv.Itoa(pid) + "/fd")
	must.NoError(t, err)
	return len(entries)
}

// listenIP is the loopback address that nodes listen on. Connections within the
// machine come from 127.0.0.1 and do not take its ports.
const listenIP = "127.0.77.1"

// freeAddresses returns different addresses of listenIP whose ports are free.
func freeAddresses(t *testing.T, count int) (addresses []string) {
	t.Helper()
	for range count {
		l, err := net.Listen("tcp", listenIP+":0")
		must.NoError(t, err)
		defer l.Close() // once all are chosen, so that no port is chosen twice
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}
