package admit_test

import (
	"flag"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/marigoldshelf/marigoldshelf/decide/admit"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

var start = time.Unix(1_700_000_000, 0)

// waiting returns a waiting request with the deadline counted from start.
func waiting(id int, c mesh.Class, deadline time.Duration) admit.Request {
	return admit.Request{
		ID: strconv.Itoa(id), Class: c, Arrived: start, Deadline: start.Add(deadline), State: admit.Waiting,
	}
}

func TestUploadsAndBackgroundNeverHoldEverySlot(t *testing.T) {
	for _, slots := range []int{2, 3, 6, 12} {
		var requests []admit.Request
		for i := range 4 * slots {
			requests = append(requests, waiting(i, []mesh.Class{mesh.Upload, mesh.Background}[i%2], time.Hour))
		}
		granted := 0
		for _, r := range admit.Decide(start, admit.Limits{Slots: slots, Queue: 100}, requests) {
			if r.State == admit.Granted {
				granted++
			}
		}
		must.Positive(t, granted)
		must.Less(t, slots, granted)
	}
}

func TestDrainRefusesWaitingRequests(t *testing.T) {
	requests := []admit.Request{waiting(1, mesh.Booking, time.Hour)}
	changed := admit.Decide(start, admit.Limits{Slots: 6, Queue: 6, Draining: true}, requests)
	must.Len(t, 1, changed)
	must.Eq(t, verdict.Draining, changed[0].Reason)
}

func TestRequestThatCannotMeetItsDeadlineIsRefusedAtOnce(t *testing.T) {
	var times admit.ServiceTimes
	for range 100 {
		times = times.ObserveDuration(mesh.Lookup, time.Second)
	}
	limits := admit.Limits{Slots: 1, Queue: 10, ServiceTimes: times}
	changed := admit.Decide(start, limits, []admit.Request{waiting(1, mesh.Lookup, 100*time.Millisecond)})
	must.Eq(t, verdict.DeadlineTooShort, changed[0].Reason)
	// The first request gets the slot, the second waits one second, and the
	// third would have to wait two.
	var requests []admit.Request
	for i := range 3 {
		requests = append(requests, waiting(i, mesh.Lookup, 2500*time.Millisecond))
	}
	changed = admit.Decide(start, limits, requests)
	must.Len(t, 2, changed)
	must.Eq(t, admit.Granted, changed[0].State)
	must.Eq(t, verdict.DeadlineTooShort, changed[1].Reason)
	must.Positive(t, changed[1].RetryAfter)
}

// TestAdmissionKeepsItsBounds runs random arrivals, ends and drains. It guards
// against more granted or waiting requests than the limits allow, long-running
// requests in every slot, grants during a drain, and waiting past the deadline.
func TestAdmissionKeepsItsBounds(t *testing.T) {
	must.NoError(t, flag.Set("rapid.seed", "1"))
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 12).Draw(t, "slots")
		queue := rapid.IntRange(0, 8).Draw(t, "queue")
		now, draining := start, false
		requests := map[string]admit.Request{}
		nextID := 0
		decide := func() {
			var present []admit.Request
			for i := range nextID {
				if r, found := requests[strconv.Itoa(i)]; found {
					present = append(present, r)
				}
			}
			limits := admit.Limits{Slots: slots, Queue: queue, Draining: draining}
			for _, r := range admit.Decide(now, limits, present) {
				if r.State == admit.Granted && draining {
					t.Fatal("granted while draining")
				}
				requests[r.ID] = r
				if r.State == admit.Refused {
					delete(requests, r.ID)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				r := waiting(nextID, rapid.SampledFrom(mesh.Classes()).Draw(t, "class"), 0)
				r.Arrived, r.Deadline = now, now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "left"))*time.Millisecond)
				requests[r.ID] = r
				nextID++
			},
			"end": func(t *rapid.T) {
				for i := range nextID {
					id := strconv.Itoa(i)
					if requests[id].State == admit.Granted && rapid.Bool().Draw(t, "ends") {
						delete(requests, id)
					}
				}
			},
			"time":  func(*rapid.T) { now = now.Add(100 * time.Millisecond) },
			"drain": func(*rapid.T) { draining = !draining },
			"": func(t *rapid.T) {
				decide()
				count := map[admit.State]int{}
				longRunning := 0
				for _, r := range requests {
					count[r.State]++
					if r.State == admit.Granted && (r.Class == mesh.Upload || r.Class == mesh.Background) {
						longRunning++
					}
					if r.State == admit.Waiting && !now.Before(r.Deadline) {
						t.Fatal("a request waits past its deadline")
					}
				}
				if count[admit.Granted] > slots || count[admit.Waiting] > queue || slots > 1 && longRunning >= slots {
					t.Fatalf("requests by state %v, slots %d, queue limit %d, uploads and background with a slot %d", count, slots, queue, longRunning)
				}
			},
		})
	})
}
