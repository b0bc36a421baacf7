package admit_test

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/admit"
	"github.com/marigoldshelf/marigoldshelf/decide/call"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// The load of TestFirstTriesGoBeforeRepeatedOnes: lookups of 250 ms with an
// objective of twice that, at 110 % of what nine slots can serve, from callers
// that come back once after a refusal.
const (
	returnSlots      = 9
	returnService    = 250 * time.Millisecond
	returnObjective  = 500 * time.Millisecond
	returnDeadline   = 1500 * time.Millisecond
	returnDuration   = 30 * time.Second
	returnLoad       = 1.1
	returnRetryAfter = 400 * time.Millisecond
)

// returning is a caller's request in the simulation.
type returning struct {
	at       time.Time // of the event
	kind     int       // 0 arrives, 1 ends its service
	id       string
	began    time.Time // of the first try
	patience time.Duration
	tries    int
	service  time.Duration
}

type returningHeap []*returning

func (h returningHeap) Len() int           { return len(h) }
func (h returningHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h returningHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *returningHeap) Push(x any)        { *h = append(*h, x.(*returning)) }
func (h *returningHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// simulateReturns runs the load and returns the ratio of the callers that were
// answered within the objective from their first try. waitedBefore estimates the
// time that a caller has waited before, from its remaining deadline.
func simulateReturns(waitedBefore func(time.Duration) time.Duration) (inTime float64) {
	random := rand.New(rand.NewPCG(1, 1))
	limits := admit.Limits{Slots: returnSlots, Queue: returnSlots, PriorityOnly: true}
	events := &returningHeap{}
	for at := time.Duration(0); at < returnDuration; {
		at += time.Duration(random.ExpFloat64() * float64(returnService) / returnSlots / returnLoad)
		heap.Push(events, &returning{
			at: start.Add(at), began: start.Add(at), tries: 1,
			patience: returnDeadline - time.Duration(random.Float64()*0.15*float64(returnDeadline)),
			service:  returnService/2 + time.Duration(random.ExpFloat64()*float64(returnService)/2),
		})
	}
	callers := float64(events.Len())
	requests := make(map[string]admit.Request)
	byID := make(map[string]*returning)
	next := 0
	for events.Len() > 0 {
		e := heap.Pop(events).(*returning)
		now := e.at
		if e.kind == 1 {
			limits.ServiceTimes = limits.ServiceTimes.ObserveDuration(mesh.Lookup, e.service)
			if now.Sub(e.began) <= returnObjective {
				inTime++
			}
			delete(requests, e.id)
		} else {
			next++
			e.id = strconv.Itoa(next)
			byID[e.id] = e
			remaining := e.patience - now.Sub(e.began)
			requests[e.id] = admit.Request{
				ID: e.id, Class: mesh.Lookup, State: admit.Waiting, Arrived: now, Deadline: now.Add(remaining),
				Objective: now.Add(returnObjective - waitedBefore(remaining)),
			}
		}
		all := make([]admit.Request, 0, len(requests))
		for _, r := range requests {
			all = append(all, r)
		}
		for _, changed := range admit.Decide(now, limits, all) {
			e := byID[changed.ID]
			requests[changed.ID] = changed
			switch changed.State {
			case admit.Granted:
				e.at, e.kind = now.Add(e.service), 1
				heap.Push(events, e)
			case admit.Refused:
				delete(requests, changed.ID)
				if e.tries == 1 {
					e.at, e.tries = now.Add(returnRetryAfter), 2
					heap.Push(events, e)
				}
			}
		}
	}
	return inTime / callers
}

// A service at 110 % for half a minute. Callers that were refused come back, and
// when they compete as equals with those that come for the first time, they take
// the slots of callers that could still be answered in time: the refusal of one
// moment makes nearly everybody late. Counting the objective from the first try
// puts first tries before repeated ones.
func TestFirstTriesGoBeforeRepeatedOnes(t *testing.T) {
	asEquals := simulateReturns(func(time.Duration) time.Duration { return 0 })
	var route call.RouteState
	inOrder := simulateReturns(func(remaining time.Duration) time.Duration {
		waited := route.WaitedBefore(remaining)
		route = route.Observe(remaining, false)
		return waited
	})
	t.Logf("answered in time: %.2f as equals, %.2f with first tries first", asEquals, inOrder)
	must.Greater(t, asEquals+0.1, inOrder)
	must.Greater(t, 0.7, inOrder)
}
