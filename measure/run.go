package measure

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/outbox"
)

// The lock order of the tool's tables.
const (
	rankArrivals blackboard.Rank = 10
	rankSamples  blackboard.Rank = 20
	rankRequests blackboard.Rank = 30
	rankResults  blackboard.Rank = 40
	rankProgress blackboard.Rank = 50
)

// controllerWorkers is enough for controllers that only count and draw.
const controllerWorkers = 2

// Config is what a run needs beside the experiment.
type Config struct {
	// Targets are the addresses, IP:port, that requests go to in turn.
	Targets []string
	// Transport sends them.
	Transport http.RoundTripper
	Clock     clock.Clock
}

// arrivals is the state of one stream's arrivals.
type arrivals struct {
	sent uint64
	next time.Duration // when the next request is due, from the start
}

// progress says how far the run is.
type progress struct {
	due      uint64
	finished uint64
	ended    int // streams without further arrivals
}

// request is one request to send.
type request struct {
	stream int
	number uint64
	due    time.Duration
}

// runner is the tool's blackboard and what its controllers need.
type runner struct {
	experiment Experiment
	config     Config
	start      time.Time
	random     []*rand.Rand // one a stream, used under the lock of arrivals

	board    *blackboard.Board
	arrivals *blackboard.Table[int, arrivals]
	samples  *blackboard.Table[int, []sample]
	requests *blackboard.Table[uint64, request]
	results  *blackboard.Table[uint64, result]
	progress *blackboard.Table[int, progress]
}

// progressKey is the only key of the table progress.
const progressKey = 0

// Run does the experiment and waits for every request to end.
func Run(ctx context.Context, e Experiment, c Config) (Report, error) {
	r := newRunner(e, c)
	pool := controller.New(c.Clock, controllerWorkers)
	senders := controller.New(c.Clock, e.Outstanding)
	work, stop := context.WithCancel(ctx)
	r.register(work, pool, senders)
	var group sync.WaitGroup
	defer group.Wait()
	defer stop()
	group.Go(func() { pool.Run(work) })
	group.Go(func() { senders.Run(work) })
	_, err := r.progress.Await(ctx, progressKey, func(p progress, _ bool) bool {
		return p.ended == len(e.Streams) && p.finished == p.due
	})
	return r.report(), err
}

func newRunner(e Experiment, c Config) *runner {
	b := blackboard.New()
	r := &runner{
		experiment: e,
		config:     c,
		start:      c.Clock.Now(),
		board:      b,
		arrivals:   blackboard.NewTable[int, arrivals](b, "arrivals", rankArrivals),
		samples:    blackboard.NewTable[int, []sample](b, "samples", rankSamples),
		requests:   blackboard.NewTable[uint64, request](b, "requests", rankRequests),
		results:    blackboard.NewTable[uint64, result](b, "results", rankResults),
		progress:   blackboard.NewTable[int, progress](b, "progress", rankProgress),
	}
	for i := range e.Streams {
		r.random = append(r.random, rand.New(rand.NewPCG(e.Seed, uint64(i))))
	}
	return r
}

func (r *runner) register(ctx context.Context, pool, senders *controller.Pool) {
	arrive := controller.Register(pool, "arrivals", r.arrive)
	collect := controller.Register(pool, "collect", r.collect)
	r.results.Watch(collect.Add)
	outbox.Serve(ctx, senders, r.board, "send", r.requests, r.results, r.send)
	for i := range r.experiment.Streams {
		arrive.Add(i)
	}
}

// arrive puts every request of the stream that is due into the outbox, and
// comes back when the next one is.
func (r *runner) arrive(now time.Time, stream int) (result controller.Result) {
	r.board.Do(func(tx *blackboard.Tx) {
		elapsed := now.Sub(r.start)
		a, _ := r.arrivals.Get(tx, stream)
		if a.sent == 0 && a.next == 0 {
			a.next = r.nextArrival(stream, 0)
		}
		for a.next <= elapsed && a.next < r.experiment.length() {
			r.issue(tx, stream, &a)
		}
		r.arrivals.Put(tx, stream, a)
		if a.next >= r.experiment.length() {
			p, _ := r.progress.Get(tx, progressKey)
			p.ended++
			r.progress.Put(tx, progressKey, p)
			return
		}
		result.After = a.next - elapsed
	}, r.arrivals.Write(), r.requests.Write(), r.progress.Write())
	return result
}

func (r *runner) issue(tx *blackboard.Tx, stream int, a *arrivals) {
	a.sent++
	number := a.sent*uint64(len(r.experiment.Streams)) + uint64(stream)
	r.requests.Put(tx, number, request{stream: stream, number: number, due: a.next})
	p, _ := r.progress.Get(tx, progressKey)
	p.due++
	r.progress.Put(tx, progressKey, p)
	a.next = r.nextArrival(stream, a.next)
}

// nextArrival draws the arrival after the one at from: the gaps are
// exponential at the rate in force.
func (r *runner) nextArrival(stream int, from time.Duration) time.Duration {
	s := r.experiment.Streams[stream]
	for {
		perSecond, until := s.rateAt(from)
		if perSecond > 0 {
			gap := time.Duration(r.random[stream].ExpFloat64() / perSecond * float64(time.Second))
			if until == 0 || from+gap < until {
				return from + gap
			}
		}
		if until == 0 {
			return r.experiment.length()
		}
		from = until
	}
}

// collect files a result under its stream.
func (r *runner) collect(_ time.Time, number uint64) controller.Result {
	r.board.Do(func(tx *blackboard.Tx) {
		found, came := r.results.Get(tx, number)
		if !came {
			return
		}
		r.results.Delete(tx, number)
		list, _ := r.samples.Get(tx, found.stream)
		r.samples.Put(tx, found.stream, append(list, found.sample))
		p, _ := r.progress.Get(tx, progressKey)
		p.finished++
		r.progress.Put(tx, progressKey, p)
	}, r.samples.Write(), r.results.Write(), r.progress.Write())
	return controller.Result{}
}

func (r *runner) report() (report Report) {
	e := r.experiment
	duration := time.Duration(e.DurationMillis) * time.Millisecond
	warmup := time.Duration(e.WarmupMillis) * time.Millisecond
	report.Seconds = duration.Seconds()
	r.board.Do(func(tx *blackboard.Tx) {
		for i, s := range e.Streams {
			list, _ := r.samples.Get(tx, i)
			report.Streams = append(report.Streams, summarise(s.Name, list, warmup, duration))
		}
	}, r.samples.Read())
	return report
}
