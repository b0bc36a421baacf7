package main

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/marigoldshelf/marigoldshelf/platform/standin"
)

// drainTime is the bound drain: no request reaches a backend server later than this
// after its leaving was acknowledged.
const drainTime = 2 * time.Second

// runDrain: a backend server reports that it leaves while an upload is admitted whose
// body has not begun. The node hands it to the backend server when the body comes.
func runDrain(r *Record, trouble bool) (broken bool, err error) {
	specs := []HostSpec{
		{"fes", "quote-bench", 6, 220 * time.Millisecond},
		{"meknes", "quote-bench", 6, 220 * time.Millisecond},
		{"tangier", "repair-desk", 6, 220 * time.Millisecond},
	}
	photos := standin.RouteTo("quote-bench", "/photos/", "upload")
	photos["timeout"] = "5000ms"
	f, err := StartFleet(specs, photos, standin.RouteTo("quote-bench", "/read/", "idempotent"))
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		return false, err
	}
	if err := f.AwaitServing(30*time.Second, "/read/1"); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // the machines are in touch
	r.Print("all nodes serve")
	var log Log
	var group sync.WaitGroup
	for n := range 6 {
		group.Go(func() {
			c := &Client{Host: f.Hosts[2], Name: "photos-" + string(rune('a'+n))}
			defer c.Close()
			log.Add(c.Send(Request{
				Method: http.MethodPost, Target: "/photos/1", Body: bytes.Repeat([]byte("p"), 200_000),
				BodyDelay: 3 * time.Second, Timeout: 5 * time.Second,
			}))
		})
	}
	time.Sleep(300 * time.Millisecond)
	leaving := f.Hosts[0].Backend
	var acknowledgedAt time.Time
	if trouble {
		leaving.SetState("draining")
		for acknowledgedAt.IsZero() {
			if leaving.Heartbeat(f.Hosts[0].reports) {
				acknowledgedAt = time.Now()
			}
		}
		r.Print("the backend server of %s has reported draining, acknowledged", f.Hosts[0].Name)
		time.AfterFunc(7*time.Second, func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			leaving.Deregister(ctx, http.DefaultClient, f.Hosts[0].reports)
		})
	}
	group.Wait()
	for _, a := range log.Answers() {
		r.Print("%s", a)
	}
	for _, h := range f.Hosts {
		for _, a := range h.Backend.Arrivals() {
			r.Line("%s request %s reached %s", a.At.Format("15:04:05.000"), a.ID, a.Instance)
			if late := a.At.Sub(acknowledgedAt.Add(drainTime)); trouble && h == f.Hosts[0] && late > 0 {
				r.Print("request %s reached the leaving backend server %d ms after the acknowledgement, %d ms after drain", a.ID, (late + drainTime).Milliseconds(), late.Milliseconds())
				broken = true
			}
		}
	}
	return broken, nil
}
