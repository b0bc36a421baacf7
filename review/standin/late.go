package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/marigoldshelf/marigoldshelf/platform/standin"
)

const (
	// servesAfterDeparture is how long the leaving backend server serves on: the
	// bound of drain, and some seconds.
	servesAfterDeparture = 12 * time.Second
	// nodeDowntime is the time from the node's kill to its start.
	nodeDowntime = 500 * time.Millisecond
)

// runLateReports plays a backend server that deregisters without draining and
// serves on. Its node is killed after it has acknowledged that, and started again.
// Two reports that the backend server sent before it deregistered arrive late, at
// the new process. After that no request may reach the backend server.
func runLateReports(f *fleet, trouble bool) (broken bool, err error) {
	var mu sync.Mutex
	var bindsAt time.Time // from when on no request may arrive
	late := 0
	leaving := (*backend)(nil)
	handle := func(b *backend, w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		tooLate := b == leaving && !bindsAt.IsZero() && time.Now().After(bindsAt)
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
		// Callers of the two hosts that nothing happens to.
		group.Go(func() { f.callSteadily(ctx, f.hosts[2*i], "/book/x") })
	}
	defer group.Wait()
	defer stop()
	h := f.hosts[1]
	b := h.backend

	// The heartbeats of this moment and of the next one are delayed on their way.
	b.stopReports()
	first := b.reports.ComposeReport()
	time.Sleep(reportInterval)
	second := b.reports.ComposeReport()
	time.Sleep(reportInterval / 2)
	b.setLeaving()
	if !b.send(b.reports.Deregister) {
		return false, fmt.Errorf("the departure was not acknowledged")
	}
	acknowledged := time.Now()
	f.add("node %s acknowledged the departure of its backend server", h.name)
	binding := acknowledged.Add(drainTime)
	if trouble {
		time.Sleep(200 * time.Millisecond)
		h.kill()
		time.Sleep(nodeDowntime)
		if err := h.startNode(); err != nil {
			return false, err
		}
		// The new process is in touch once it has run for the stability window.
		if inTouch := time.Now().Add(stability); inTouch.After(binding) {
			binding = inTouch
		}
		if err := h.awaitReady(); err != nil {
			return false, err
		}
	}
	mu.Lock()
	leaving, bindsAt = b, binding
	mu.Unlock()
	time.Sleep(500 * time.Millisecond)
	f.add("late report 1 arrives at %s, acknowledged %t", h.name, b.send(first))
	time.Sleep(500 * time.Millisecond)
	f.add("late report 2 arrives at %s, acknowledged %t", h.name, b.send(second))
	time.Sleep(time.Until(acknowledged.Add(servesAfterDeparture)))
	mu.Lock()
	defer mu.Unlock()
	f.result("no request may arrive from %s on; %d arrived", f.at(bindsAt), late)
	return late > 0, nil
}
