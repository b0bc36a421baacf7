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

// The lock order of the tables: a transaction locks lower ranks first.
const (
	rankArrivals blackboard.Rank = 10
	rankSamples  blackboard.Rank = 20
	rankRequests blackboard.Rank = 30
	rankResults  blackboard.Rank = 40
	rankProgress blackboard.Rank = 50
)

// controllerWorkers is low because the controllers do little work; the I/O
// workers send the requests.
const controllerWorkers = 2

// Config holds the inputs of a run that are not part of the experiment.
type Config struct {
	// Targets are the addresses, IP:port, to which requests are sent in turn.
	Targets []string
	// Transport sends the requests.
	Transport http.RoundTripper
	Clock     clock.Clock
}

// arrivalState is the progress of one stream's arrivals.
type arrivalState struct {
	issued uint64        // requests put into the outbox
	next   time.Duration // due time of the next request, since the start of the run; zero before it is drawn
}

// progress counts the requests of all streams. Run waits until the counts show
// that the run is over.
type progress struct {
	issued       uint64 // requests put into the outbox
	finished     uint64
	endedStreams int // streams that issue no more requests
}

// request is a row of the outbox table.
type request struct {
	stream int
	number uint64        // unique in the run, also the key of the row
	due    time.Duration // since the start of the run
}

// runner holds the blackboard, its tables and the inputs of the controllers.
type runner struct {
	experiment Experiment
	config     Config
	start      time.Time
	random     []*rand.Rand // one for each stream, guarded by the lock of arrivals

	board    *blackboard.Board
	arrivals *blackboard.Table[int, arrivalState]
	samples  *blackboard.Table[int, []sample]
	requests *blackboard.Table[uint64, request]
	results  *blackboard.Table[uint64, result]
	progress *blackboard.Table[int, progress]
}

// progressKey is the only key of the progress table.
const progressKey = 0

// Run runs the experiment and returns its report after every request has ended.
// If ctx is cancelled earlier, it returns the report up to then and an error.
func Run(ctx context.Context, e Experiment, c Config) (Report, error) {
	r := newRunner(e, c)
	pool := controller.NewPool(c.Clock, controllerWorkers)
	senders := controller.NewPool(c.Clock, e.MaxOutstanding)
	work, stop := context.WithCancel(ctx)
	r.registerControllers(work, pool, senders)
	var group sync.WaitGroup
	defer group.Wait()
	defer stop()
	group.Go(func() { pool.Run(work) })
	group.Go(func() { senders.Run(work) })
	_, err := r.progress.Await(ctx, progressKey, func(p progress, _ bool) bool {
		return p.endedStreams == len(e.Streams) && p.finished == p.issued
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
		arrivals:   blackboard.NewTable[int, arrivalState](b, "arrivals", rankArrivals),
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

func (r *runner) registerControllers(ctx context.Context, pool, senders *controller.Pool) {
	arrive := controller.Register(pool, "arrivals", r.issueDueRequests)
	collect := controller.Register(pool, "collect", r.collectResult)
	r.results.Watch(collect.Add)
	outbox.Serve(ctx, senders, r.board, "send", r.requests, r.results, r.send)
	for i := range r.experiment.Streams {
		arrive.Add(i)
	}
}

// issueDueRequests puts the requests of a stream that are due into the outbox
// table, and requeues the stream for when the next one is due. It counts the
// stream as ended when its next request would be due after the end of the run.
func (r *runner) issueDueRequests(now time.Time, stream int) (result controller.Result) {
	r.board.Do(func(tx *blackboard.Tx) {
		elapsed := now.Sub(r.start)
		a, _ := r.arrivals.Get(tx, stream)
		if a.issued == 0 && a.next == 0 {
			a.next = r.nextArrival(stream, 0)
		}
		for a.next <= elapsed && a.next < r.experiment.length() {
			r.issueRequest(tx, stream, &a)
		}
		r.arrivals.Put(tx, stream, a)
		if a.next >= r.experiment.length() {
			p, _ := r.progress.Get(tx, progressKey)
			p.endedStreams++
			r.progress.Put(tx, progressKey, p)
			return
		}
		result.RequeueAfter = a.next - elapsed
	}, r.arrivals.Write(), r.requests.Write(), r.progress.Write())
	return result
}

func (r *runner) issueRequest(tx *blackboard.Tx, stream int, a *arrivalState) {
	a.issued++
	number := a.issued*uint64(len(r.experiment.Streams)) + uint64(stream)
	r.requests.Put(tx, number, request{stream: stream, number: number, due: a.next})
	p, _ := r.progress.Get(tx, progressKey)
	p.issued++
	r.progress.Put(tx, progressKey, p)
	a.next = r.nextArrival(stream, a.next)
}

// nextArrival draws the due time of the request after one that is due at from.
// Arrivals form a Poisson process: the gaps are exponentially distributed, with
// the rate in effect at that time. If the rate stays 0, it returns the end of the
// run.
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

// collectResult moves a result from the inbox table to the samples of its stream.
func (r *runner) collectResult(_ time.Time, number uint64) controller.Result {
	r.board.Do(func(tx *blackboard.Tx) {
		finished, found := r.results.Get(tx, number)
		if !found {
			return
		}
		r.results.Delete(tx, number)
		list, _ := r.samples.Get(tx, finished.stream)
		r.samples.Put(tx, finished.stream, append(list, finished.sample))
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
