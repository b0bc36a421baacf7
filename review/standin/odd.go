package main

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/marigoldshelf/marigoldshelf/platform/standin"
)

// drainServes is how long the backend server serves on after the acknowledgement
// of its drain.
const drainServes = 8 * time.Second

// runOddReport plays one report from another writer, which lacks fields, among
// those of a backend server that then drains as planned. The odd report names no
// backend server to use, and the others hold, so no request may reach the backend
// server later than the bound of drain after the acknowledgement.
func runOddReport(f *fleet, trouble bool) (broken bool, err error) {
	var mu sync.Mutex
	var bindsAt time.Time
	late := 0
	leaving := f.hosts[1]
	handle := func(b *backend, w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		tooLate := b.host == leaving && !bindsAt.IsZero() && time.Now().After(bindsAt)
		if tooLate {
			late++
		}
		mu.Unlock()
		f.add("backend %s runs %s%s", b.host.name, r.Header.Get(names.ID), map[bool]string{true: ": too late"}[tooLate])
		if b.work(r, 20*time.Millisecond) {
			b.answer(w, "answer")
		}
	}
	if err := f.start(6, handle, standin.RouteTo("studio", "/book/", "non_idempotent")); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for i := range 2 {
		group.Go(func() { f.callSteadily(ctx, f.hosts[2*i], "/book/x") })
	}
	defer group.Wait()
	defer stop()
	b := leaving.backend
	if trouble {
		f.add("another writer's report, acknowledged %t", b.send(oddReport(b)))
	}
	time.Sleep(reportInterval + 500*time.Millisecond)
	b.setLeaving()
	b.reports.SetState("draining")
	for !b.send(b.reports.ComposeReport()) {
		time.Sleep(100 * time.Millisecond)
	}
	acknowledged := time.Now()
	f.add("node %s acknowledged that its backend server is draining", leaving.name)
	mu.Lock()
	bindsAt = acknowledged.Add(drainTime)
	mu.Unlock()
	time.Sleep(drainServes)
	mu.Lock()
	defer mu.Unlock()
	f.result("no request may arrive from %s on; %d arrived", f.at(bindsAt), late)
	return late > 0, nil
}

// oddReport returns a report of the same instance that lacks the zone, the version,
// the remaining warm-up and the start time. Its sequence numbers are the other
// writer's.
func oddReport(b *backend) func(context.Context, *http.Client, string) bool {
	return func(ctx context.Context, client *http.Client, address string) bool {
		body, err := json.Marshal(map[string]any{
			"service": b.host.service, "address": b.host.ports["backend"], "slots": 6, "state": "ready", "sequence": 5000,
		})
		if err != nil {
			return false
		}
		r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+"/instances/"+b.reports.Instance, strings.NewReader(string(body)))
		if err != nil {
			return false
		}
		response, err := client.Do(r)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	}
}
