package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/marigoldshelf/marigoldshelf/platform/standin"
)

const (
	// hostName is the host of all routes of standin.RouteTo.
	hostName = "shop.example"
	// heartbeatInterval is that of the example of the settings of a process.
	heartbeatInterval = 1500 * time.Millisecond
	// stopWithin is the time from SIGTERM to SIGKILL.
	stopWithin = 6 * time.Second
	// nodeProgram is built by the line of the deploy file.
	nodeProgram = "target/marigoldd"
)

// started holds the processes that the run started.
var started struct {
	mu        sync.Mutex
	processes []*os.Process
}

// killAll kills all processes that the run started.
func killAll() {
	started.mu.Lock()
	defer started.mu.Unlock()
	for _, p := range started.processes {
		_ = p.Signal(syscall.SIGKILL) // fails only if it has ended
	}
}

// Fleet is a small deployment: the store, and hosts with a node's process and a
// backend server each.
type Fleet struct {
	Store *standin.Store
	Hosts []*Host

	server *http.Server
	url    string
	folder string
}

// HostSpec describes one host.
type HostSpec struct {
	Zone, Service string
	Slots         int
	Work          time.Duration
}

// Host is one host.
type Host struct {
	Name    string
	Spec    HostSpec
	Backend *Backend

	// callers and the others are the addresses of the node's listeners.
	callers, peers, operators, probes, readiness, reports string

	fleet    *Fleet
	settings string
	command  *exec.Cmd
	exited   chan struct{}
}

// StartFleet starts the store, the backend servers and the nodes.
func StartFleet(specs []HostSpec, routes ...standin.Route) (*Fleet, error) {
	f := &Fleet{Store: standin.NewStore()}
	var err error
	if f.folder, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.url = "http://" + l.Addr().String()
	f.server = &http.Server{Handler: f.Store}
	go func() { _ = f.server.Serve(l) }() // returns when the server is closed
	if err := f.Store.Publish(7, routes...); err != nil {
		return f, err
	}
	zones := make([]string, 0, len(specs))
	for _, spec := range specs {
		zones = append(zones, spec.Zone)
	}
	for i, spec := range specs {
		h := &Host{Name: fmt.Sprintf("host-%s-%d", spec.Zone, i+1), Spec: spec, fleet: f}
		f.Hosts = append(f.Hosts, h)
		if err := h.start(i, zones); err != nil {
			return f, err
		}
	}
	for _, h := range f.Hosts {
		if err := h.StartNode(); err != nil {
			return f, err
		}
	}
	return f, nil
}

// Close ends all processes that the fleet started.
func (f *Fleet) Close() {
	for _, h := range f.Hosts {
		if h.Backend != nil {
			h.Backend.Close()
		}
		if h.command != nil {
			h.Kill()
		}
	}
	_ = f.server.Close()
	_ = os.RemoveAll(f.folder)
}

func (h *Host) start(index int, zones []string) error {
	ip := "127.0.0." + strconv.Itoa(11+index)
	addresses := make([]string, 6)
	for i := range addresses {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return err
		}
		defer l.Close() // once all are chosen, so that no port is chosen twice
		addresses[i] = l.Addr().String()
	}
	h.callers, h.peers, h.operators, h.probes, h.readiness, h.reports =
		addresses[0], addresses[1], addresses[2], addresses[3], addresses[4], addresses[5]
	var err error
	if h.Backend, err = StartBackend(h, "i-"+h.Name, ip+":0", time.Now().UnixMilli()); err != nil {
		return err
	}
	h.settings = filepath.Join(h.fleet.folder, h.Name+".json")
	// As the platform renders deploy/settings.json.
	data, err := json.Marshal(map[string]any{
		"host": h.Name, "zone": h.Spec.Zone, "region": "oslo", "zones": unique(zones),
		"listen": map[string]string{
			"callers": h.callers, "peers": h.peers, "operators": h.operators, "probes": h.probes,
			"readiness": h.readiness, "reports": h.reports,
		},
		"backend":  map[string]any{"service": h.Spec.Service, "address": h.Backend.Address},
		"platform": map[string]string{"kind": "store", "url": h.fleet.url},
		"traffic":  map[string]any{"retry_ratio": 0.2, "retry_extra": 62, "stop_within": stopWithin.String(), "stop_limit_ms": 600000},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(h.settings, data, 0o600)
}

func unique(names []string) []string {
	var result []string
	seen := make(map[string]bool)
	for _, name := range names {
		if !seen[name] {
			seen[name] = true
			result = append(result, name)
		}
	}
	return result
}

// StartNode starts the node's process.
func (h *Host) StartNode() error {
	log, err := os.OpenFile(filepath.Join(h.fleet.folder, h.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	h.command = exec.Command(nodeProgram, h.settings)
	h.command.Stdout, h.command.Stderr = log, log
	started.mu.Lock()
	defer started.mu.Unlock()
	if err := h.command.Start(); err != nil {
		return err
	}
	started.processes = append(started.processes, h.command.Process)
	h.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait() // Alive reports the end
		close(exited)
	}(h.command, h.exited)
	return nil
}

// Alive reports whether the node's process runs.
func (h *Host) Alive() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// Kill kills the node's process and waits for its end.
func (h *Host) Kill() {
	_ = h.command.Process.Signal(syscall.SIGKILL) // fails only if it has ended
	<-h.exited
}

// PeakMemory returns the largest resident memory of the node's process in bytes;
// zero if it has ended.
func (h *Host) PeakMemory() int {
	data, _ := os.ReadFile("/proc/" + strconv.Itoa(h.command.Process.Pid) + "/status")
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kilobytes, _ := strconv.Atoi(fields[1])
			return kilobytes << 10
		}
	}
	return 0
}

// IsReady reports whether the node answers its readiness check with 200.
func (h *Host) IsReady() bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.readiness + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitServing waits until all nodes are ready and each serves a request of the
// path several times in a row.
func (f *Fleet) AwaitServing(timeout time.Duration, path string) error {
	deadline := time.Now().Add(timeout)
	for _, h := range f.Hosts {
		served := 0
		for n := 0; served < 2; n++ {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s did not serve in time", h.Name)
			}
			c := &Client{Host: h, Name: fmt.Sprintf("probe-%s-%d", h.Name, n)}
			a := c.Send(Request{Method: http.MethodGet, Target: path, Timeout: 2 * time.Second})
			c.Close()
			if h.IsReady() && a.Status == http.StatusOK {
				served++
				continue
			}
			served = 0
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// Backend is a backend server that records what arrives. It reports to its node.
type Backend struct {
	*standin.Backend

	mu       sync.Mutex
	arrivals []Arrival
	server   *http.Server
	stop     context.CancelFunc
}

// Arrival is a request that reached a backend server.
type Arrival struct {
	ID, Instance, Method, Target string
	At                           time.Time
	Body                         string
}

// StartBackend starts a backend server at an address and its heartbeats. born is
// the start time that it states.
func StartBackend(h *Host, instance, address string, born int64) (*Backend, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	b := &Backend{Backend: standin.NewBackend(instance, h.Spec.Service, l.Addr().String(), h.Spec.Zone, h.Spec.Slots, h.Spec.Work)}
	b.StartedAtMillis = born
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(l) }() // returns when the server is closed
	var ctx context.Context
	ctx, b.stop = context.WithCancel(context.Background())
	go b.sendHeartbeats(ctx, h.reports)
	return b, nil
}

// ServeHTTP implements http.Handler.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/health" {
		a := Arrival{ID: r.Header.Get(headerID), Instance: b.Instance, Method: r.Method, Target: r.RequestURI, At: time.Now()}
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return // the request was given up before its body had arrived
		}
		a.Body = string(data)
		r.Body = io.NopCloser(bytes.NewReader(data))
		b.mu.Lock()
		b.arrivals = append(b.arrivals, a)
		b.mu.Unlock()
	}
	b.Backend.ServeHTTP(w, r)
}

// Arrivals returns all requests that arrived.
func (b *Backend) Arrivals() []Arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Arrival(nil), b.arrivals...)
}

// Heartbeat sends one heartbeat and reports whether it was acknowledged within a
// second.
func (b *Backend) Heartbeat(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return b.Report(ctx, http.DefaultClient, address)
}

func (b *Backend) sendHeartbeats(ctx context.Context, address string) {
	for ctx.Err() == nil {
		interval := heartbeatInterval
		if !b.Heartbeat(address) {
			interval = 200 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// Close ends the backend server without a word, as a crash does.
func (b *Backend) Close() {
	b.stop()
	_ = b.server.Close()
}
