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

// Load sends callers' requests into the fleet at a steady pace while faults
// happen, and checks at the end what must hold for each of them.
type Load struct {
	fleet *Fleet
	group sync.WaitGroup
	stop  chan struct{}

	mu    sync.Mutex
	tries []try
}

// try is one request and what came of it.
type try struct {
	request Request
	answer  Answer
	at      mesh.HostID
	started time.Time
}

// StartLoad sends one request to each of the hosts every interval, for the
// service and class given, until Check.
func (f *Fleet) StartLoad(service mesh.ServiceName, class mesh.Class, interval time.Duration, hosts ...mesh.HostID) *Load {
	l := &Load{fleet: f, stop: make(chan struct{})}
	for _, id := range hosts {
		l.group.Go(func() { l.send(id, service, class, interval) })
	}
	return l
}

func (l *Load) send(at mesh.HostID, service mesh.ServiceName, class mesh.Class, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-ticker.C:
			l.group.Go(func() { l.one(at, service, class, number) })
		case <-l.stop:
			return
		}
	}
}

func (l *Load) one(at mesh.HostID, service mesh.ServiceName, class mesh.Class, number int) {
	run := fmt.Sprintf("%s-%s-%s-%d", service, class, at, number)
	t := try{at: at, started: time.Now(), request: Request{
		Method:   http.MethodPost,
		HostName: string(service) + ".example",
		Path:     "/" + string(class) + "/" + run,
		Body:     strings.Repeat(run+" ", 20),
		Run:      run,
	}}
	t.answer = l.fleet.Call(at, t.request)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tries = append(l.tries, t)
}

// Outcome counts what came of a load.
type Outcome struct {
	Answered, NotRun, MayHaveRun, NoAnswer int
	// Reasons counts the refusals by reason.
	Reasons map[string]int
}

// Check ends the load and checks each request: a whole answer is its own, one
// that was told not to have run did not, and a booking ran at most once.
func (l *Load) Check(class mesh.Class) Outcome {
	close(l.stop)
	l.group.Wait()
	t := l.fleet.t
	o := Outcome{Reasons: make(map[string]int)}
	for _, tried := range l.tries {
		runs := l.fleet.Runs(tried.request.Run)
		if class == mesh.Booking || class == mesh.Upload {
			must.LessEq(t, 1, runs, must.Sprintf("%s ran %d times", tried.request.Run, runs))
		}
		a := tried.answer
		switch {
		case a.Err != nil:
			o.NoAnswer++
		case a.Status == http.StatusOK:
			o.Answered++
			must.Eq(t, tried.request.Body, a.Body, must.Sprintf("%s got another's answer", tried.request.Run))
			must.Positive(t, runs, must.Sprintf("%s was answered but did not run", tried.request.Run))
		case a.Verdict == verdict.NotRun.String():
			o.NotRun++
			o.Reasons[a.Reason]++
			must.Zero(t, runs, must.Sprintf("%s was told %s but ran", tried.request.Run, a.Reason))
		default:
			o.MayHaveRun++
			o.Reasons[a.Reason]++
		}
	}
	return o
}

// AnsweredSince counts the requests that began at or after an instant, and
// those of them that were answered.
func (l *Load) AnsweredSince(start time.Time) (answered, sent int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, tried := range l.tries {
		if tried.started.Before(start) {
			continue
		}
		sent++
		if tried.answer.Err == nil && tried.answer.Status == http.StatusOK {
			answered++
		}
	}
	return answered, sent
}

// Runs returns how often a request ran on all backend servers together.
func (f *Fleet) Runs(run string) (runs int) {
	for _, h := range f.Hosts {
		runs += h.Backend.Runs(run)
	}
	return runs
}
