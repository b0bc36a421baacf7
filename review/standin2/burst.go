package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/marigoldshelf/marigoldshelf/platform/standin"
)

// runBurst: many users come at once at one host. Its node closes connections of
// ordinary callers whose requests run at backend servers.
func runBurst(r *Record, trouble bool) (broken bool, err error) {
	specs := []HostSpec{
		{"oslo-a", "storefront", 64, 500 * time.Millisecond},
		{"oslo-b", "storefront", 64, 500 * time.Millisecond},
		{"oslo-c", "storefront", 64, 500 * time.Millisecond},
	}
	buy := standin.RouteTo("storefront", "/buy/", "non_idempotent")
	f, err := StartFleet(specs, buy, standin.RouteTo("storefront", "/read/", "idempotent"))
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		return false, err
	}
	if err := f.AwaitServing(30*time.Second, "/read/1"); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // the machines are in touch
	r.Print("all nodes serve")
	var log Log
	var group sync.WaitGroup
	end := time.Now().Add(12 * time.Second)
	purchase := Request{Method: http.MethodPost, Target: "/buy/1", Body: bytes.Repeat([]byte("x"), 300), Chunked: true, Timeout: 5 * time.Second}
	run := func(h *Host, name string, from, until time.Time) {
		group.Go(func() {
			time.Sleep(time.Until(from))
			c := &Client{Host: h, Name: name}
			defer c.Close()
			for time.Now().Before(until) {
				a := c.Send(purchase)
				log.Add(a)
				if a.Status != http.StatusOK {
					time.Sleep(250 * time.Millisecond)
				}
			}
		})
	}
	now := time.Now()
	clients := []int{69, 75, 70} // of the three zones of glimt-mesh
	for i, h := range f.Hosts {
		for n := range clients[i] {
			// Clients arrive spread over a second.
			run(h, fmt.Sprintf("c-%s-%d", h.Spec.Zone, n), now.Add(time.Duration(n)*time.Second/time.Duration(clients[i])), end)
		}
	}
	const factor, burstTime = 1.94, 2800 * time.Millisecond
	burstAt := now.Add(5 * time.Second)
	if trouble {
		h, base := f.Hosts[1], float64(clients[1])
		more := int(factor*base) - clients[1]
		for n := range more {
			run(h, fmt.Sprintf("burst-%d", n), burstAt, burstAt.Add(burstTime))
		}
		r.Print("a burst of %d more clients comes to %s from %.1f s to %.1f s", more, h.Name, burstAt.Sub(r.start).Seconds(), burstAt.Add(burstTime).Sub(r.start).Seconds())
	}
	group.Wait()
	return judgeLost(r, f, log.Answers()), nil
}

// judgeLost checks the rule LOST: a request from a kept connection is passed on to a
// sound backend server and its connection is closed without an answer, more than
// three times at one machine.
func judgeLost(r *Record, f *Fleet, answers []Answer) (broken bool) {
	arrived := make(map[string]int)
	for _, h := range f.Hosts {
		for _, a := range h.Backend.Arrivals() {
			arrived[a.ID]++
		}
	}
	kept, fresh := make(map[string]int), make(map[string]int) // by host
	statuses := make(map[int]int)
	for _, a := range answers {
		statuses[a.Status]++
		r.Line("%s; reached a backend server: %v", a, arrived[a.ID] > 0)
		switch {
		case !a.Closed || arrived[a.ID] == 0:
		case a.Kept:
			kept[a.Host]++
		default:
			fresh[a.Host]++
		}
	}
	r.Print("answers by status (0: none): %v", statuses)
	for _, h := range f.Hosts {
		r.Print("%s: alive %v, peak memory %d MB; connections closed without an answer to a request that had reached a backend server: %d kept, %d new",
			h.Name, h.Alive(), h.PeakMemory()>>20, kept[h.Name], fresh[h.Name])
		broken = broken || kept[h.Name] > 3
	}
	return broken
}
