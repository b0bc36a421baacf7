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

func waiting(n int, c mesh.Class, deadline time.Duration) admit.Request {
	return admit.Request{
		ID: strconv.Itoa(n), Class: c, Arrived: start, Deadline: start.Add(deadline), State: admit.Waiting,
	}
}

func TestUploadsAndBackgroundNeverHoldEverySlot(t *testing.T) {
	for _, slots := range []int{2, 3, 6, 12} {
		var rows []admit.Request
		for i := range 4 * slots {
			rows = append(rows, waiting(i, []mesh.Class{mesh.Upload, mesh.Background}[i%2], time.Hour))
		}
		granted := 0
		for _, r := range admit.Decide(start, admit.Limits{Slots: slots, Queue: 100}, rows) {
			if r.State == admit.Granted {
				granted++
			}
		}
		must.Positive(t, granted)
		must.Less(t, slots, granted)
	}
}

func TestDrainRefusesThoseThatWait(t *testing.T) {
	rows := []admit.Request{waiting(1, mesh.Booking, time.Hour)}
	changed := admit.Decide(start, admit.Limits{Slots: 6, Queue: 6, Draining: true}, rows)
	must.Len(t, 1, changed)
	must.Eq(t, verdict.Draining, changed[0].Reason)
}

func TestWhatCannotEndInTimeIsRefusedAtOnce(t *testing.T) {
	var times admit.ServiceTimes
	for range 100 {
		times = times.Observe(mesh.Lookup, time.Second)
	}
	limits := admit.Limits{Slots: 1, Queue: 10, Service: times}
	changed := admit.Decide(start, limits, []admit.Request{waiting(1, mesh.Lookup, 100*time.Millisecond)})
	must.Eq(t, verdict.DeadlineTooShort, changed[0].Reason)
	// The first gets the slot, the second may wait a second, the third would
	// have to wait two.
	var rows []admit.Request
	for i := range 3 {
		rows = append(rows, waiting(i, mesh.Lookup, 2500*time.Millisecond))
	}
	changed = admit.Decide(start, limits, rows)
	must.Len(t, 2, changed)
	must.Eq(t, admit.Granted, changed[0].State)
	must.Eq(t, verdict.DeadlineTooShort, changed[1].Reason)
	must.Positive(t, changed[1].RetryAfter)
}

// TestAdmissionKeepsItsBounds drives arrivals, ends and drains against the
// bounds that always hold.
func TestAdmissionKeepsItsBounds(t *testing.T) {
	must.NoError(t, flag.Set("rapid.seed", "1"))
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 12).Draw(t, "slots")
		queue := rapid.IntRange(0, 8).Draw(t, "queue")
		now, draining := start, false
		rows := map[string]admit.Request{}
		next := 0
		step := func() {
			var list []admit.Request
			for i := range next {
				if r, found := rows[strconv.Itoa(i)]; found {
					list = append(list, r)
				}
			}
			limits := admit.Limits{Slots: slots, Queue: queue, Draining: draining}
			for _, r := range admit.Decide(now, limits, list) {
				if r.State == admit.Granted && draining {
					t.Fatal("granted while draining")
				}
				rows[r.ID] = r
				if r.State == admit.Refused {
					delete(rows, r.ID)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				r := waiting(next, rapid.SampledFrom(mesh.Classes()).Draw(t, "class"), 0)
				r.Arrived, r.Deadline = now, now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "left"))*time.Millisecond)
				rows[r.ID] = r
				next++
			},
			"end": func(t *rapid.T) {
				for i := range next {
					id := strconv.Itoa(i)
					if rows[id].State == admit.Granted && rapid.Bool().Draw(t, "ends") {
						delete(rows, id)
					}
				}
			},
			"time":  func(*rapid.T) { now = now.Add(100 * time.Millisecond) },
			"drain": func(*rapid.T) { draining = !draining },
			"": func(t *rapid.T) {
				step()
				load := map[admit.State]int{}
				long := 0
				for _, r := range rows {
					load[r.State]++
					if r.State == admit.Granted && (r.Class == mesh.Upload || r.Class == mesh.Background) {
						long++
					}
					if r.State == admit.Waiting && !now.Before(r.Deadline) {
						t.Fatal("waits past its deadline")
					}
				}
				if load[admit.Granted] > slots || load[admit.Waiting] > queue || slots > 1 && long >= slots {
					t.Fatalf("%v of %d slots, queue %d, %d long", load, slots, queue, long)
				}
			},
		})
	})
}
