package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/marigoldshelf/marigoldshelf/platform/standin"
)

// runPath: clients send requests whose path has a vertical bar, which browsers send
// as it is. The node sends it on with another path.
func runPath(r *Record, trouble bool) (broken bool, err error) {
	specs := []HostSpec{
		{"oslo-a", "storefront", 12, 20 * time.Millisecond},
		{"oslo-b", "storefront", 12, 20 * time.Millisecond},
	}
	f, err := StartFleet(specs, standin.RouteTo("storefront", "/read/", "idempotent"), standin.RouteTo("storefront", "/buy/", "non_idempotent"))
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		return false, err
	}
	if err := f.AwaitServing(30*time.Second, "/read/1"); err != nil {
		return false, err
	}
	r.Print("all nodes serve")
	separator := "%7C"
	if trouble {
		separator = "|"
	}
	c := &Client{Host: f.Hosts[0], Name: "c"}
	defer c.Close()
	targets := make(map[string]string) // by ID
	for n := range 40 {
		request := Request{Method: http.MethodGet, Target: fmt.Sprintf("/read/pack%s%d", separator, n), Timeout: 2 * time.Second}
		if n%2 == 1 {
			request = Request{Method: http.MethodPost, Target: fmt.Sprintf("/buy/pack%s%d", separator, n), Body: []byte("x"), Timeout: 2 * time.Second}
		}
		a := c.Send(request)
		targets[a.ID] = request.Target
		r.Line("%s, sent with path %s", a, request.Target)
	}
	runs, changed := 0, 0
	for _, h := range f.Hosts {
		for _, a := range h.Backend.Arrivals() {
			target, sent := targets[a.ID]
			if !sent {
				continue // a probe before the case
			}
			runs++
			r.Line("%s ran request %s with path %s", a.Instance, a.ID, a.Target)
			if target != a.Target {
				changed++
			}
		}
	}
	r.Print("%d requests ran, %d of them with another path than was sent", runs, changed)
	return changed > 0, nil
}
