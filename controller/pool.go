// Package controller runs the controllers of a node: a fixed pool of workers
// over one queue of keys and one heap of timers.
//
// A controller is a function over tables, called with a key. It is never
// called twice at once for the same key; a key that is queued again while it
// waits collapses into one call, and one that is queued while it runs is
// called once more afterwards. Workers block while the queue is empty.
//
// The same pool can be stepped by hand (Step, Settle) on a virtual clock, with
// no goroutine of its own, so that a whole session can be replayed exactly.
package controller

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/marigoldshelf/marigoldshelf/clock"
)

// Result tells the pool when a key wants to be called again.
type Result struct {
	// After is the delay until the next call. Zero cancels a timer that the
	// key had; a change of a watched row calls the controller all the same.
	After time.Duration
}

// Func decides what to do about key at instant now. It reads and writes
// tables, does no I/O, and must be idempotent: it may be called for a key that
// needs nothing.
type Func[K cmp.Ordered] func(now time.Time, key K) Result

// item is one key of one controller.
type item struct {
	owner *entry
	key   any
}

// entry is a registered controller, its key type erased.
type entry struct {
	name string
	call func(now time.Time, key any) Result
}

// Pool is the queue, the timers and the workers. It is safe for concurrent use.
type Pool struct {
	clock   clock.Clock
	workers int

	mu      sync.Mutex
	ready   *sync.Cond
	queue   []item
	queued  map[item]bool // waits in queue
	running map[item]bool // is being called; true once it must be called again
	timers  timerHeap
	rearmed chan struct{} // tells the timer goroutine that the heap's top moved
	stopped bool
	calls   uint64
}

// New returns a pool of the given number of workers, at least one.
func New(c clock.Clock, workers int) *Pool {
	p := &Pool{
		clock:   c,
		workers: max(workers, 1),
		queued:  make(map[item]bool),
		running: make(map[item]bool),
		timers:  newTimerHeap(),
		rearmed: make(chan struct{}, 1),
	}
	p.ready = sync.NewCond(&p.mu)
	return p
}

// Now returns the instant of the pool's clock.
func (p *Pool) Now() time.Time { return p.clock.Now() }

// Calls returns how often controllers were called since the start.
func (p *Pool) Calls() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Handle queues keys of one controller.
type Handle[K cmp.Ordered] struct {
	pool  *Pool
	owner *entry
}

// Register adds a controller to the pool. It is called while a node is put
// together, before the pool runs.
func Register[K cmp.Ordered](p *Pool, name string, fn Func[K]) Handle[K] {
	call := func(now time.Time, key any) Result { return fn(now, key.(K)) }
	return Handle[K]{pool: p, owner: &entry{name: name, call: call}}
}

// Add queues key to be called as soon as a worker is free.
func (h Handle[K]) Add(key K) { h.pool.add(item{h.owner, key}) }

// AddAt queues key at instant due, unless an earlier timer for it stands.
func (h Handle[K]) AddAt(key K, due time.Time) { h.pool.addAt(item{h.owner, key}, due) }

func (p *Pool) add(it item) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addLocked(it)
}

func (p *Pool) addLocked(it item) {
	if _, isRunning := p.running[it]; isRunning {
		p.running[it] = true
		return
	}
	if p.queued[it] {
		return
	}
	p.pushLocked(it)
	p.ready.Signal()
}

func (p *Pool) pushLocked(it item) {
	p.queued[it] = true
	p.queue = append(p.queue, it)
}

func (p *Pool) addAt(it item, due time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.timers.setEarlier(it, due) {
		p.signalTimers()
	}
}

// signalTimers wakes the timer goroutine; the channel holds one signal.
func (p *Pool) signalTimers() {
	select {
	case p.rearmed <- struct{}{}:
	default:
	}
}

// takeLocked removes the head of the queue and marks it as running.
func (p *Pool) takeLocked() item {
	it := p.queue[0]
	p.queue[0] = item{}
	p.queue = p.queue[1:]
	delete(p.queued, it)
	p.running[it] = false
	p.calls++
	return it
}

// call runs one item and settles what follows from its result.
func (p *Pool) call(it item) {
	now := p.clock.Now()
	result := it.owner.call(now, it.key)
	p.mu.Lock()
	defer p.mu.Unlock()
	again := p.running[it]
	delete(p.running, it)
	p.timers.remove(it)
	if result.After > 0 && p.timers.setEarlier(it, now.Add(result.After)) {
		p.signalTimers()
	}
	if again {
		// No signal: the worker that called it looks at the queue next.
		p.pushLocked(it)
	}
}

// fireDueLocked queues every key whose timer is due and returns the next due
// instant, if there is one.
func (p *Pool) fireDueLocked(now time.Time) (next time.Time, pending bool) {
	for {
		it, due, any := p.timers.peek()
		if !any {
			return time.Time{}, false
		}
		if due.After(now) {
			return due, true
		}
		p.timers.remove(it)
		p.addLocked(it)
	}
}

// Run starts the workers and the timer goroutine, and returns when ctx has
// ended and every worker has finished its call. Queued keys are then dropped.
func (p *Pool) Run(ctx context.Context) {
	var group sync.WaitGroup
	for range p.workers {
		group.Go(p.work)
	}
	group.Go(func() { p.watchTimers(ctx) })
	<-ctx.Done()
	p.stop()
	group.Wait()
}

func (p *Pool) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	p.ready.Broadcast()
}

func (p *Pool) work() {
	for {
		it, ok := p.waitForItem()
		if !ok {
			return
		}
		p.call(it)
	}
}

func (p *Pool) waitForItem() (item, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.queue) == 0 && !p.stopped {
		p.ready.Wait()
	}
	if p.stopped {
		return item{}, false
	}
	return p.takeLocked(), true
}

// watchTimers sleeps until the next timer is due, or until the heap's top
// moves. It blocks without limit while there is no timer.
func (p *Pool) watchTimers(ctx context.Context) {
	for {
		p.mu.Lock()
		next, pending := p.fireDueLocked(p.clock.Now())
		p.mu.Unlock()
		if !p.sleepUntil(ctx, next, pending) {
			return
		}
	}
}

func (p *Pool) sleepUntil(ctx context.Context, next time.Time, pending bool) bool {
	var due <-chan time.Time
	if pending {
		timer := time.NewTimer(next.Sub(p.clock.Now()))
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-p.rearmed:
		return true
	case <-due:
		return true
	}
}
