package bubble

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// LoadGenerator sends callers' requests to the fleet at a fixed rate. StopAndCheck
// ends it and checks each response against the executions that the backend servers counted.
type LoadGenerator struct {
	fleet *Fleet
	group sync.WaitGroup
	stop  chan struct{}

	mu      sync.Mutex
	results []result
}

// result is one request and its response.
type result struct {
	request  Request
	response Response
	at       mesh.HostID
	started  time.Time
}

// StartLoad sends a request of the given service and class to each of the hosts
// every interval, until StopAndCheck. A request does not wait for the response to the
// previous one.
func (f *Fleet) StartLoad(service mesh.ServiceName, class mesh.Class, interval time.Duration, hosts ...mesh.HostID) *LoadGenerator {
	l := &LoadGenerator{fleet: f, stop: make(chan struct{})}
	for _, id := range hosts {
		l.group.Go(func() { l.sendPeriodically(id, service, class, interval) })
	}
	return l
}

func (l *LoadGenerator) sendPeriodically(at mesh.HostID, service mesh.ServiceName, class mesh.Class, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-ticker.C:
			l.group.Go(func() { l.sendOne(at, service, class, number) })
		case <-l.stop:
			return
		}
	}
}

func (l *LoadGenerator) sendOne(at mesh.HostID, service mesh.ServiceName, class mesh.Class, number int) {
	run := fmt.Sprintf("%s-%s-%s-%d", service, class, at, number)
	r := result{at: at, started: time.Now(), request: Request{
		Method:   http.MethodPost,
		HostName: string(service) + ".example",
		Path:     "/" + string(class) + "/" + run,
		Body:     strings.Repeat(run+" ", 20),
		RunID:    run,
	}}
	r.response = l.fleet.Call(at, r.request)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
}

// Outcome counts the requests of a LoadGenerator by their result.
type Outcome struct {
	Answered, NotRun, MayHaveRun, NoResponse int
	// Reasons counts the NotRun and MayHaveRun responses by reason.
	Reasons map[string]int
}

// StopAndCheck ends the load and checks each request: a response with status 200
// echoes the request's own body, a request with the verdict not-run was not
// executed, and a booking or upload was executed at most once.
func (l *LoadGenerator) StopAndCheck(class mesh.Class) Outcome {
	close(l.stop)
	l.group.Wait()
	t := l.fleet.t
	o := Outcome{Reasons: make(map[string]int)}
	for _, r := range l.results {
		runs := l.fleet.RunCount(r.request.RunID)
		if class == mesh.Booking || class == mesh.Upload {
			must.LessEq(t, 1, runs, must.Sprintf("request %s ran %d times", r.request.RunID, runs))
		}
		a := r.response
		switch {
		case a.Err != nil:
			o.NoResponse++
		case a.Status == http.StatusOK:
			o.Answered++
			must.Eq(t, r.request.Body, a.Body, must.Sprintf("request %s got the response to another request", r.request.RunID))
			must.Positive(t, runs, must.Sprintf("request %s was answered but did not run", r.request.RunID))
		case a.Verdict == verdict.NotRun.String():
			o.NotRun++
			o.Reasons[a.Reason]++
			must.Zero(t, runs, must.Sprintf("request %s was refused as not run (%s) but ran", r.request.RunID, a.Reason))
		default:
			o.MayHaveRun++
			o.Reasons[a.Reason]++
		}
	}
	return o
}

// CountAnsweredSince returns the number of requests sent at or after start, and
// how many of them got a response with status 200. Requests without a result yet
// are not counted.
func (l *LoadGenerator) CountAnsweredSince(start time.Time) (answered, sent int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.results {
		if r.started.Before(start) {
			continue
		}
		sent++
		if r.response.Err == nil && r.response.Status == http.StatusOK {
			answered++
		}
	}
	return answered, sent
}

// RunCount returns the number of executions of a request on all backend servers.
func (f *Fleet) RunCount(run string) (runs int) {
	for _, h := range f.Hosts {
		runs += h.Backend.RunCount(run)
	}
	return runs
}
