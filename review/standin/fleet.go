package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/marigoldshelf/marigoldshelf/platform/standin"
)

const (
	// reportInterval is the heartbeat interval of the sample settings.
	reportInterval = 1500 * time.Millisecond
	// drainTime, stability and grace are the bounds drain, stabilityWindow and
	// grace of the sample settings.
	drainTime = 2 * time.Second
	stability = 3 * time.Second
	grace     = "6s"
	// readyTimeout limits the start of the whole deployment.
	readyTimeout = 20 * time.Second
)

// record writes what happens to a file, each line with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, values...)...)
}

// result adds a line and prints it.
func (r *record) result(format string, values ...any) {
	r.add(format, values...)
	fmt.Printf(format+"\n", values...)
}

// at returns t as the seconds since the start.
func (r *record) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(r.start).Seconds()) }

func (r *record) close() { _ = r.file.Close() }

// fleet is a deployment of three hosts in two zones: one of the service shop and
// two of the service studio.
type fleet struct {
	*record
	program, folder string
	store           *standin.Store
	storeServer     *http.Server
	storeURL        string
	hosts           []*host
}

// host is a node's process and the backend server beside it.
type host struct {
	fleet               *fleet
	name, zone, service string
	ports               map[string]string // IP:port by purpose
	backend             *backend

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

var errNotReady = errors.New("the deployment did not become ready")

func startFleet(program string, r *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	// Loopback addresses of their own keep the nodes' ports apart from those that
	// the callers' connections get.
	network := fmt.Sprintf("127.%d.%d.", 64+rand.IntN(128), rand.IntN(256))
	l, err := net.Listen("tcp", network+"100:0")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, program: program, folder: folder, store: standin.NewStore(), storeURL: "http://" + l.Addr().String()}
	f.storeServer = &http.Server{Handler: f.store}
	go func() { _ = f.storeServer.Serve(l) }()
	for i, place := range [][2]string{{"zone-a", "shop"}, {"zone-a", "studio"}, {"zone-b", "studio"}} {
		h := &host{fleet: f, name: fmt.Sprintf("sidecar-%d", i+1), zone: place[0], service: place[1]}
		if h.ports, err = freePorts(network+strconv.Itoa(i+1), "callers", "peers", "operators", "probes", "readiness", "reports", "backend"); err != nil {
			return nil, err
		}
		f.hosts = append(f.hosts, h)
	}
	return f, nil
}

// freePorts returns an address with a free port of an IP for each purpose.
func freePorts(ip string, purposes ...string) (map[string]string, error) {
	ports := make(map[string]string)
	for _, purpose := range purposes {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports[purpose] = l.Addr().String()
	}
	return ports, nil
}

// start starts the nodes and the backend servers, publishes the routes, and waits
// until every node is ready and has its backend server's report.
func (f *fleet) start(slots int, handle func(b *backend, w http.ResponseWriter, r *http.Request), routes ...standin.Route) error {
	if err := f.store.Publish(1, routes...); err != nil {
		return err
	}
	for _, h := range f.hosts {
		if err := h.startNode(); err != nil {
			return err
		}
		b, err := startBackend(h, slots, handle)
		if err != nil {
			return err
		}
		h.backend = b
	}
	for _, h := range f.hosts {
		if err := h.awaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(2*reportInterval + time.Second)
	return nil
}

// startNode writes the settings that deploy/settings.json gives and starts the
// command of deploy/system.toml.
func (h *host) startNode() error {
	f := h.fleet
	data, err := json.Marshal(map[string]any{
		"host": h.name, "zone": h.zone, "region": "region-1",
		"listen": map[string]string{
			"callers": h.ports["callers"], "peers": h.ports["peers"], "operators": h.ports["operators"],
			"probes": h.ports["probes"], "readiness": h.ports["readiness"], "reports": h.ports["reports"],
		},
		"backend":  map[string]any{"service": h.service, "address": h.ports["backend"]},
		"platform": map[string]string{"kind": "store", "url": f.storeURL},
		"traffic":  map[string]any{"retry_ratio": 0.2, "retry_extra": 62, "stop_within": grace, "stop_limit_ms": 600000},
	})
	if err != nil {
		return err
	}
	file := filepath.Join(f.folder, h.name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	command := exec.Command(f.program, file)
	log, err := os.OpenFile(filepath.Join(f.folder, h.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.process, h.exited = command, exited
	h.mu.Unlock()
	f.add("node %s started", h.name)
	go func() {
		err := command.Wait()
		f.add("node %s ended: %v", h.name, err)
		close(exited)
	}()
	return nil
}

// kill kills the node's process and waits for its end.
func (h *host) kill() {
	h.mu.Lock()
	process, exited := h.process, h.exited
	h.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Signal(syscall.SIGKILL) // fails only if it has ended
	<-exited
}

func (h *host) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.ports["readiness"]+"/readiness", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (h *host) awaitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if h.isReady() {
			return nil
		}
	}
	return errNotReady
}

func (f *fleet) close() {
	for _, h := range f.hosts {
		h.kill()
		if h.backend != nil {
			h.backend.close()
		}
	}
	_ = f.storeServer.Close()
	_ = os.RemoveAll(f.folder)
}
