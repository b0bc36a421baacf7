package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/marigoldshelf/marigoldshelf/platform/standin"
)

const (
	// endlessTimeout is the timeout of the routes that RouteTo returns.
	endlessTimeout = 2 * time.Second
	// finalBound is how long after the timeout a final answer is due at the latest.
	finalBound = 500 * time.Millisecond
	// endlessDeadline is how long the callers wait.
	endlessDeadline = 5 * time.Second
	// endlessEvery is the interval between bytes of a body without end.
	endlessEvery = 20 * time.Millisecond
)

// runEndless plays a faulty backend server of which some answers have a body
// without end. The rule allows the node half a second after the route's timeout
// for the final answer, or for the end of the connection. Eight requests without
// one, and over a quarter of those that last longer than the timeout, break it.
//
// Half of the callers send one request at a time; the others send a second one
// before the first is answered.
func runEndless(f *fleet, trouble bool) (broken bool, err error) {
	handle := func(b *backend, w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(names.ID)
		if !b.work(r, 50*time.Millisecond) {
			return
		}
		if !trouble || !strings.HasSuffix(id, "-bad") || b.host != f.hosts[1] {
			f.add("backend %s answers %s", b.host.name, id)
			b.answer(w, "answer to "+id)
			return
		}
		f.add("backend %s answers %s without end", b.host.name, id)
		w.Header().Set(names.Signature, b.reports.Instance)
		chunk := strings.Repeat("#", 4<<10)
		control := http.NewResponseController(w)
		for r.Context().Err() == nil {
			if _, err := io.WriteString(w, chunk); err != nil || control.Flush() != nil {
				break
			}
			time.Sleep(endlessEvery)
		}
		f.add("backend %s ends %s: its caller has left", b.host.name, id)
	}
	if err := f.start(6, handle, standin.RouteTo("studio", "/read/", "idempotent")); err != nil {
		return false, err
	}
	var t tally
	var group sync.WaitGroup
	for i := range 240 {
		h := f.hosts[i%len(f.hosts)]
		group.Go(func() { f.sendPair(h, i, &t) })
		time.Sleep(80 * time.Millisecond)
	}
	group.Wait()
	f.result("answered in time %d, lasted longer than the timeout %d, of these without an end half a second later %d (behind another answer: %d)",
		t.inTime, t.long, t.open, t.openBehind)
	return t.open >= 8 && 4*t.open > t.long, nil
}

// tally counts requests.
type tally struct {
	mu                             sync.Mutex
	inTime, long, open, openBehind int
}

// add counts a request that ended at the given time, by an answer or by the end of
// its connection.
func (t *tally) add(sent, ended time.Time, behind bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	lasted := ended.Sub(sent)
	if lasted <= endlessTimeout {
		t.inTime++
		return
	}
	t.long++
	if lasted > endlessTimeout+finalBound {
		t.open++
		if behind {
			t.openBehind++
		}
	}
}

// sendPair sends a request, and for every second one another request behind it on
// the connection. The faulty backend server spoils every fourth first request.
func (f *fleet) sendPair(h *host, i int, t *tally) {
	first := request{method: http.MethodGet, path: "/read/x", id: fmt.Sprintf("r%d", i), deadline: endlessDeadline}
	if i%8 < 2 {
		first.id += "-bad"
	}
	second := request{method: http.MethodGet, path: "/read/x", id: fmt.Sprintf("r%d-behind", i), deadline: endlessDeadline}
	requests := []request{first}
	if i%2 == 1 {
		requests = append(requests, second)
	}
	c, err := h.dial()
	if err != nil {
		return
	}
	defer c.Close()
	sent := time.Now()
	_ = c.SetDeadline(sent.Add(endlessDeadline))
	for _, q := range requests {
		f.add("caller at %s sends %s", h.name, q.id)
		_, _ = io.WriteString(c, q.text())
	}
	reader := bufio.NewReader(c)
	for n, q := range requests {
		a := answer{at: time.Now()}
		if n == 0 || time.Since(sent) < endlessDeadline {
			a = readAnswer(reader, q.method)
		}
		f.add("caller at %s: %s has status %d, complete %t, after %.3f s", h.name, q.id, a.status, a.complete, a.at.Sub(sent).Seconds())
		t.add(sent, a.at, n > 0)
	}
}
