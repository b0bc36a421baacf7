package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/marigoldshelf/marigoldshelf/platform/standin"
)

// runHeads: clients send requests of legal size with very many short header lines,
// more at once than the node has memory for. The node drops a part of a head and goes
// on with the rest.
func runHeads(r *Record, trouble bool) (broken bool, err error) {
	specs := []HostSpec{
		{"oslo-a", "storefront", 12, 180 * time.Millisecond},
		{"oslo-b", "storefront", 12, 180 * time.Millisecond},
		{"oslo-c", "storefront", 12, 180 * time.Millisecond},
	}
	f, err := StartFleet(specs, standin.RouteTo("storefront", "/buy/", "non_idempotent"), standin.RouteTo("storefront", "/read/", "idempotent"))
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
	clients := 60
	if !trouble {
		clients = 6
	}
	r.Print("%d clients send purchases with heads of 15 KB to %s", clients, f.Hosts[0].Name)
	// The line with the length of the body is in the middle of the head.
	head := Request{Method: http.MethodPost, Target: "/buy/1", Timeout: 4 * time.Second, Extra: headerLines(0, 7000), ExtraAfter: headerLines(2000, 8000)}
	var log Log
	var group sync.WaitGroup
	var mu sync.Mutex
	bodies := make(map[string]string) // by ID
	end := time.Now().Add(10 * time.Second)
	for n := range clients {
		group.Go(func() {
			c := &Client{Host: f.Hosts[0], Name: fmt.Sprintf("c%d", n)}
			defer c.Close()
			for i := 1; time.Now().Before(end); i++ {
				request := head
				// The text of a body is the client's own affair, and no request.
				request.Body = fmt.Appendf(nil, "POST /buy/2 HTTP/1.1\r\nHost: %s\r\n%sContent-Length: 0\r\n\r\n",
					hostName, standin.CallerHeaders(fmt.Sprintf("text-%d-%d", n, i), 4*time.Second))
				a := c.Send(request)
				log.Add(a)
				mu.Lock()
				bodies[a.ID] = string(request.Body)
				mu.Unlock()
				if a.Status != http.StatusOK {
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
	group.Wait()
	return judgeUnasked(r, f, log.Answers(), bodies), nil
}

// headerLines returns short header lines with the given total length. first is the
// number of the first name.
func headerLines(first, length int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var text strings.Builder
	for n := first; text.Len() < length; n++ {
		name := ""
		for rest := n; name == "" || rest > 0; rest /= len(letters) {
			name += string(letters[rest%len(letters)])
		}
		text.WriteString(name + ":\r\n")
	}
	return text.String()
}

// promisesNotRun reports whether a status promises that a request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// judgeUnasked checks the rules UNASKED (a backend server runs a request that no
// client sent, or with another body), MIXED and REFUSED.
func judgeUnasked(r *Record, f *Fleet, answers []Answer, bodies map[string]string) (broken bool) {
	runs := make(map[string]int)
	unsent, changed := 0, 0
	for _, h := range f.Hosts {
		for _, a := range h.Backend.Arrivals() {
			if a.Method != http.MethodPost {
				continue // a probe before the case
			}
			runs[a.ID]++
			body, sent := bodies[a.ID]
			r.Line("%s %s ran %s %s of request %q with a body of %d bytes", a.At.Format("05.000"), a.Instance, a.Method, a.Target, a.ID, len(a.Body))
			if !sent {
				r.Print("%s ran a request that no client sent: %s %s, ID %q", a.Instance, a.Method, a.Target, a.ID)
				unsent++
			} else if body != a.Body {
				changed++
			}
		}
	}
	statuses := make(map[int]int)
	foreign, refused, total := 0, 0, 0
	for _, a := range answers {
		statuses[a.Status]++
		total += runs[a.ID]
		r.Line("%s", a)
		if a.Foreign {
			foreign++
		}
		if promisesNotRun(a.Status) && runs[a.ID] > 0 {
			refused++
		}
	}
	r.Print("answers by status (0: none): %v", statuses)
	r.Print("%d sent requests ran, %d of them with another body; %d requests ran that no client sent", total, changed, unsent)
	r.Print("%d successes belong to another request; %d requests ran and were answered as not run", foreign, refused)
	for _, h := range f.Hosts {
		r.Print("%s: alive %v, peak memory %d MB", h.Name, h.Alive(), h.PeakMemory()>>20)
	}
	return unsent+changed+foreign+refused > 0
}
