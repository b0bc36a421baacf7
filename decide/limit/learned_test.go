package limit_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/limit"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// load is a simulated backend server with a queue in front of it.
type load struct {
	slots int
	// gap is the mean time between arrivals; mean the service time of the class
	// with the given number of busy slots.
	gap   func(at time.Duration) time.Duration
	class func(at time.Duration, random *rand.Rand) mesh.Class
	mean  func(at time.Duration, c mesh.Class, busy int) time.Duration
	off   bool // the limit is not learned
}

type finish struct {
	at     time.Time
	sample limit.Sample
}

type finishes []finish

func (f finishes) Len() int           { return len(f) }
func (f finishes) Less(i, j int) bool { return f[i].at.Before(f[j].at) }
func (f finishes) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *finishes) Push(x any)        { *f = append(*f, x.(finish)) }
func (f *finishes) Pop() any {
	last := (*f)[len(*f)-1]
	*f = (*f)[:len(*f)-1]
	return last
}

// run simulates the load for the duration and calls each with the state and the
// number of completed requests after every event.
func (l load) run(seed uint64, duration time.Duration, each func(at time.Duration, s limit.Learned, completed int)) {
	const maxQueue = 36
	random := rand.New(rand.NewPCG(seed, 3))
	var state limit.Learned
	var running finishes
	queue := []mesh.Class(nil)
	completed := 0
	arrival := start
	for {
		now := arrival
		if len(running) > 0 && running[0].at.Before(arrival) {
			f := heap.Pop(&running).(finish)
			now = f.at
			f.sample.Took = now.Sub(f.sample.Granted)
			if !l.off {
				state = state.Observe(now, l.slots, f.sample)
			}
			completed++
		} else {
			if len(queue) < maxQueue {
				queue = append(queue, l.class(now.Sub(start), random))
			}
			arrival = now.Add(time.Duration(random.ExpFloat64() * float64(l.gap(now.Sub(start)))))
		}
		if now.Sub(start) > duration {
			return
		}
		state = state.Advance(now, len(queue))
		for len(queue) > 0 && len(running) < state.Slots(l.slots) {
			busy := len(running) + 1
			mean := float64(l.mean(now.Sub(start), queue[0], busy))
			took := time.Duration(mean * (0.2 + 0.8*random.ExpFloat64()))
			heap.Push(&running, finish{now.Add(took), limit.Sample{Class: queue[0], Granted: now, Busy: busy}})
			queue = queue[1:]
		}
		each(now.Sub(start), state, completed)
	}
}

func bookings(time.Duration, *rand.Rand) mesh.Class { return mesh.Booking }

func every(gap time.Duration) func(time.Duration) time.Duration {
	return func(time.Duration) time.Duration { return gap }
}

// crowded is the service time of a server that slows down from half of nine slots
// on, by more than each further request adds.
func crowded(_ time.Duration, _ mesh.Class, busy int) time.Duration {
	return time.Duration(100e6 * math.Pow(max(1, float64(busy)/4.5), 1.75))
}

// meanLimit returns the mean of the limit in force from one time to another,
// weighted by events.
func (l load) meanLimit(seed uint64, from, to time.Duration) float64 {
	total, events := 0, 0
	l.run(seed, to, func(at time.Duration, s limit.Learned, _ int) {
		if at >= from {
			total += s.Slots(l.slots)
			events++
		}
	})
	return float64(total) / float64(events)
}

func (l load) completed(seed uint64, duration time.Duration) (count int) {
	l.run(seed, duration, func(_ time.Duration, _ limit.Learned, n int) { count = n })
	return count
}

// Overload of a server that slows down from half of its slots on. Guards against
// using all slots, with which it completes 0.6 of what it could.
func TestServerThatSlowsDownBeforeItIsFullCompletesMore(t *testing.T) {
	for seed := range uint64(5) {
		l := load{slots: 9, gap: every(15 * time.Millisecond), class: bookings, mean: crowded}
		all := l
		all.off = true
		learned, fixed := l.completed(seed, 40*time.Second), all.completed(seed, 40*time.Second)
		t.Logf("completed in 40 s: %d with the learned limit, %d with all slots; limit after 10 s %.1f",
			learned, fixed, l.meanLimit(seed, 10*time.Second, 40*time.Second))
		must.Greater(t, 1.15*float64(fixed), float64(learned))
		must.Less(t, 7, l.meanLimit(seed, 10*time.Second, 40*time.Second))
	}
}

// Overload of a server whose slots are independent, at each of the speeds of
// deployments A and B. Guards against a learned limit that turns away load which
// the server would have served.
func TestLimitCostsAServerThatDoesNotSlowDownLittle(t *testing.T) {
	for _, speed := range []float64{0.5, 1, 1.7} {
		for _, slots := range []int{1, 2, 6, 9} {
			learned, fixed := 0, 0
			for seed := range uint64(10) { // the draws alone differ by some 4 % in one run
				l := load{slots: slots, gap: every(5 * time.Millisecond), class: bookings,
					mean: func(time.Duration, mesh.Class, int) time.Duration { return time.Duration(100e6 / speed) }}
				all := l
				all.off = true
				learned += l.completed(seed, time.Minute)
				fixed += all.completed(seed, time.Minute)
			}
			t.Logf("speed %.1f, %d slots: completed %d with the learned limit, %d with all slots", speed, slots, learned, fixed)
			must.Greater(t, 0.975*float64(fixed), float64(learned), must.Sprint(speed, slots))
		}
	}
}

// A temporary slowdown of all requests, as of deployment B or by a slow service
// behind, while the load is above the capacity. Guards against a limit that
// stays low afterwards, and against one that is low because of it.
func TestLimitRecoversAfterASlowdown(t *testing.T) {
	for seed := range uint64(5) {
		l := load{slots: 6, gap: every(12 * time.Millisecond), class: bookings,
			mean: func(at time.Duration, _ mesh.Class, _ int) time.Duration {
				if at > 10*time.Second && at < 14*time.Second {
					return 250 * time.Millisecond
				}
				return 100 * time.Millisecond
			}}
		all := l
		all.off = true
		must.Greater(t, 5.2, l.meanLimit(seed, 10*time.Second, 16*time.Second))
		must.Greater(t, 5.4, l.meanLimit(seed, 18*time.Second, 40*time.Second))
		must.Greater(t, 0.95*float64(all.completed(seed, 40*time.Second)), float64(l.completed(seed, 40*time.Second)))
	}
}

// The crowded server is replaced by one that does not slow down. Guards against a
// limit that does not follow.
func TestLimitGrowsBackByTrials(t *testing.T) {
	l := load{slots: 9, gap: every(12 * time.Millisecond), class: bookings,
		mean: func(at time.Duration, c mesh.Class, busy int) time.Duration {
			if at < 20*time.Second {
				return crowded(at, c, busy)
			}
			return 100 * time.Millisecond
		}}
	for seed := range uint64(3) {
		must.Less(t, 7, l.meanLimit(seed, 10*time.Second, 20*time.Second))
		must.Greater(t, 8, l.meanLimit(seed, 30*time.Second, 50*time.Second))
	}
}

// The mix of classes changes from short to long requests. Guards against taking
// the longer service times for a slowdown.
func TestMixOfClassesDoesNotLowerTheLimit(t *testing.T) {
	l := load{slots: 9, gap: every(12 * time.Millisecond),
		class: func(at time.Duration, random *rand.Rand) mesh.Class {
			if share := 0.5 + 0.5*math.Sin(at.Seconds()); random.Float64() < share {
				return mesh.Booking
			}
			return mesh.Lookup
		},
		mean: func(_ time.Duration, c mesh.Class, _ int) time.Duration {
			if c == mesh.Booking {
				return 180 * time.Millisecond
			}
			return 35 * time.Millisecond
		}}
	for seed := range uint64(3) {
		must.Greater(t, 8.2, l.meanLimit(seed, 0, 40*time.Second))
	}
}

// From some time on, every request waits for a slow service behind, at any
// concurrency. Guards against taking that for too many requests at this server.
func TestSlowServiceBehindDoesNotLowerTheLimit(t *testing.T) {
	l := load{slots: 9, gap: every(10 * time.Millisecond), class: bookings,
		mean: func(at time.Duration, _ mesh.Class, _ int) time.Duration {
			if at > 10*time.Second {
				return 400 * time.Millisecond
			}
			return 100 * time.Millisecond
		}}
	for seed := range uint64(3) {
		must.Greater(t, 8, l.meanLimit(seed, 10*time.Second, 40*time.Second))
	}
}

// A cold start at full load: the first requests take several times as long.
// Guards against a limit and speed that stay those of the start.
func TestColdStartIsForgotten(t *testing.T) {
	l := load{slots: 9, gap: every(10 * time.Millisecond), class: bookings,
		mean: func(at time.Duration, _ mesh.Class, _ int) time.Duration {
			return 100*time.Millisecond + time.Duration(400e6*math.Exp(-at.Seconds()))
		}}
	var last limit.Learned
	l.run(1, 12*time.Second, func(_ time.Duration, s limit.Learned, _ int) { last = s })
	must.Greater(t, 8, l.meanLimit(1, 8*time.Second, 20*time.Second))
	must.Between(t, 60_000, last.Speeds(9)[mesh.Booking.Index()], 130_000)
}

// The speed of a server falls to 1/2.5. Guards against a reported speed that does
// not follow within 2 s.
func TestSpeedFollowsWithinSeconds(t *testing.T) {
	l := load{slots: 6, gap: every(20 * time.Millisecond), class: bookings,
		mean: func(at time.Duration, _ mesh.Class, _ int) time.Duration {
			if at > 10*time.Second {
				return 250 * time.Millisecond
			}
			return 100 * time.Millisecond
		}}
	before, after := 0, 0
	l.run(1, 13*time.Second, func(at time.Duration, s limit.Learned, _ int) {
		speed := s.Speeds(6)[mesh.Booking.Index()]
		if at < 10*time.Second {
			before = speed
		}
		after = speed
	})
	must.Between(t, 40_000, before, 80_000)
	must.Less(t, 0.65*float64(before), float64(after))
}
