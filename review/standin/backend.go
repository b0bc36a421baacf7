package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/marigoldshelf/marigoldshelf/platform/standin"
)

//go:embed names.json
var namesFile []byte

// names are the header names of the users' protocol.
var names = func() (n struct{ ID, Deadline, Instance, Signature, HealthInstance string }) {
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic(err)
	}
	return n
}()

// backend is a backend server. It reports to its node like platform/standin's,
// and hands each request that is meant for it to handle.
type backend struct {
	host    *host
	reports *standin.Backend
	server  *http.Server
	handle  func(b *backend, w http.ResponseWriter, r *http.Request)

	mu          sync.Mutex
	leaving     bool
	stopReports context.CancelFunc
}

func startBackend(h *host, slots int, handle func(b *backend, w http.ResponseWriter, r *http.Request)) (*backend, error) {
	l, err := net.Listen("tcp", h.ports["backend"])
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	b := &backend{
		host: h, handle: handle, stopReports: cancel,
		reports: standin.NewBackend("i-"+h.name, h.service, h.ports["backend"], h.zone, slots, 0),
	}
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(l) }()
	go b.report(ctx)
	return b, nil
}

// report sends reports to the node until ctx ends.
func (b *backend) report(ctx context.Context) {
	for ctx.Err() == nil {
		b.send(b.reports.ComposeReport())
		select {
		case <-ctx.Done():
		case <-time.After(reportInterval):
		}
	}
}

// send sends a report and returns whether the node acknowledged it.
func (b *backend) send(report func(context.Context, *http.Client, string) bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return report(ctx, http.DefaultClient, b.host.ports["reports"])
}

func (b *backend) setLeaving() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = true
}

func (b *backend) isLeaving() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leaving
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set(names.HealthInstance, b.reports.Instance)
		if b.isLeaving() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	w.Header().Set(names.ID, r.Header.Get(names.ID))
	if expected := r.Header.Get(names.Instance); expected != "" && expected != b.reports.Instance {
		w.Header().Set(names.HealthInstance, b.reports.Instance)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.handle(b, w, r)
}

// work takes d, and ends early at the request's deadline or when its connection
// closes. It returns whether the work was completed.
func (b *backend) work(r *http.Request, d time.Duration) bool {
	millis, _ := strconv.Atoi(r.Header.Get(names.Deadline))
	select {
	case <-time.After(d):
		return true
	case <-time.After(time.Duration(millis) * time.Millisecond):
	case <-r.Context().Done():
	}
	return false
}

// answer sends a signed answer.
func (b *backend) answer(w http.ResponseWriter, body string) {
	w.Header().Set(names.Signature, b.reports.Instance)
	_, _ = io.WriteString(w, body) // fails only when the caller has left
}

func (b *backend) close() {
	b.stopReports()
	_ = b.server.Close()
}
