package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/marigoldshelf/marigoldshelf/platform/standin"
)

// clockStep is how far the time of day of a host jumps back.
const clockStep = 2400 * time.Millisecond

// runRestart: a backend server ends and starts again under its identifier, after the
// time of day of its host has jumped back, so that it states an earlier start than
// before. Its node acknowledges its later departure and goes on sending requests.
func runRestart(r *Record, trouble bool) (broken bool, err error) {
	specs := []HostSpec{
		{"fes", "repair-desk", 6, 100 * time.Millisecond},
		{"meknes", "repair-desk", 6, 100 * time.Millisecond},
		{"tangier", "quote-bench", 6, 100 * time.Millisecond},
	}
	f, err := StartFleet(specs, standin.RouteTo("repair-desk", "/book/", "non_idempotent"), standin.RouteTo("repair-desk", "/read/", "idempotent"))
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		return false, err
	}
	h := f.Hosts[0]
	first := h.Backend
	for started := time.Now(); !first.Heartbeat(h.reports); time.Sleep(50 * time.Millisecond) {
		if time.Since(started) > 20*time.Second {
			return false, errors.New("no heartbeat was acknowledged")
		}
	}
	// It starts anew, so that its first heartbeat is acknowledged at once.
	if first, err = restart(h, 0); err != nil {
		return false, err
	}
	if !first.Heartbeat(h.reports) {
		return false, errors.New("the first heartbeat was not acknowledged")
	}
	time.Sleep(time.Second)
	step := time.Duration(0)
	if trouble {
		step = clockStep
	}
	again, err := restart(h, step)
	if err != nil {
		return false, err
	}
	r.Print("the backend server of %s has started again as %s; the start that it states is %d ms after the one before", h.Name, again.Instance, again.StartedAtMillis-first.StartedAtMillis)
	if err := f.AwaitServing(30*time.Second, "/read/1"); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // the machines are in touch
	r.Print("all nodes serve")
	var log Log
	var group sync.WaitGroup
	end := time.Now().Add(10 * time.Second)
	for _, from := range f.Hosts[1:] {
		for n := range 3 {
			group.Go(func() {
				c := &Client{Host: from, Name: fmt.Sprintf("%s-%d", from.Name, n)}
				defer c.Close()
				for time.Now().Before(end) {
					log.Add(c.Send(Request{Method: http.MethodPost, Target: "/book/1", Body: []byte("a mender visit"), Timeout: 5 * time.Second}))
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(time.Second)
	again.SetState("draining")
	for !again.Heartbeat(h.reports) {
		time.Sleep(200 * time.Millisecond)
	}
	acknowledgedAt := time.Now()
	r.Print("it has reported draining, acknowledged")
	group.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	again.Deregister(ctx, http.DefaultClient, h.reports)
	late := 0
	for _, host := range f.Hosts {
		for _, a := range host.Backend.Arrivals() {
			r.Line("%s %s ran %s of request %s", a.At.Format("05.000"), a.Instance, a.Target, a.ID)
			if host == h && a.At.After(acknowledgedAt.Add(drainTime)) {
				late++
			}
		}
	}
	for _, a := range log.Answers() {
		r.Line("%s", a)
	}
	r.Print("%d requests reached the backend server that had left, later than %v after the acknowledgement, within %.1f s", late, drainTime, end.Sub(acknowledgedAt).Seconds())
	return late > 0, nil
}

// restart ends the backend server of a host and starts it again under its identifier,
// with a clock that has jumped back by step.
func restart(h *Host, step time.Duration) (*Backend, error) {
	h.Backend.Close()
	b, err := StartBackend(h, h.Backend.Instance, h.Backend.Address, time.Now().Add(-step).UnixMilli())
	if err == nil {
		h.Backend = b
	}
	return b, err
}
