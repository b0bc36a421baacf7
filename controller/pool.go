// Package controller schedules the controllers of a node on a fixed pool of
// workers that share one queue of keys and one heap of timers.
//
// A controller is a function that reads and writes tables and is called with a
// key. Calls for the same key never overlap. A key that is already queued is
// not queued again; a key that is added while its call is running is called
// once more afterwards. Workers block while the queue is empty. Queued keys and
// timers are kept in memory only and are dropped when the pool stops.
//
// Step and StepUntilIdle run the pool on the caller's goroutine instead. With a
// virtual clock this makes a test run deterministic and repeatable.
package controller

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/marigoldshelf/marigoldshelf/clock"
)

// Result tells the pool when to call the controller for a key again.
type Result struct {
	// RequeueAfter is the delay until the next call. Any timer that the key has
	// is replaced; zero leaves the key without a timer. Keys added through a
	// Handle are called regardless of RequeueAfter.
	RequeueAfter time.Duration
}

// ReconcileFunc reconciles the tables for key at instant now. It does no I/O
// and must be idempotent, because it is also called for keys that need no
// change.
type ReconcileFunc[K cmp.Ordered] func(now time.Time, key K) Result

// item is one key of one controller.
type item struct {
	controller *registeredController
	key        any
}

// registeredController is a controller with its key type erased.
type registeredController struct {
	name string
	call func(now time.Time, key any) Result
}

// Pool calls registered controllers for queued keys and expired timers. It is
// safe for concurrent use.
type Pool struct {
	clock   clock.Clock
	workers int

	mu            sync.Mutex
	workAvailable *sync.Cond
	queue         []item
	queued        map[item]bool // items in queue
	running       map[item]bool // items being called; true if added again during the call
	timers        timerHeap
	timersChanged chan struct{} // signals that the earliest timer changed; buffers one signal
	stopped       bool
	calls         uint64
}

// NewPool returns a pool that runs the given number of workers, but at least
// one.
func NewPool(c clock.Clock, workers int) *Pool {
	p := &Pool{
		clock:         c,
		workers:       max(workers, 1),
		queued:        make(map[item]bool),
		running:       make(map[item]bool),
		timers:        newTimerHeap(),
		timersChanged: make(chan struct{}, 1),
	}
	p.workAvailable = sync.NewCond(&p.mu)
	return p
}

// Now returns the current time of the pool's clock.
func (p *Pool) Now() time.Time { return p.clock.Now() }

// Calls returns the number of controller calls since the pool was created.
func (p *Pool) Calls() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Handle adds keys of one controller to the pool's queue.
type Handle[K cmp.Ordered] struct {
	pool       *Pool
	controller *registeredController
}

// Register adds a controller to the pool. It must be called before the pool
// runs.
func Register[K cmp.Ordered](p *Pool, name string, fn ReconcileFunc[K]) Handle[K] {
	call := func(now time.Time, key any) Result { return fn(now, key.(K)) }
	return Handle[K]{pool: p, controller: &registeredController{name: name, call: call}}
}

// Add queues key. A worker calls the controller as soon as one is free.
func (h Handle[K]) Add(key K) { h.pool.add(item{h.controller, key}) }

// AddAt sets a timer that queues key at instant due. It has no effect if the
// key already has an earlier timer.
func (h Handle[K]) AddAt(key K, due time.Time) { h.pool.addAt(item{h.controller, key}, due) }

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
	p.enqueueLocked(it)
	p.workAvailable.Signal()
}

func (p *Pool) enqueueLocked(it item) {
	p.queued[it] = true
	p.queue = append(p.queue, it)
}

func (p *Pool) addAt(it item, due time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.timers.setEarlier(it, due) {
		p.wakeTimerLoop()
	}
}

// wakeTimerLoop signals the timer goroutine. One buffered signal is enough
// because the goroutine reads the earliest timer after each signal.
func (p *Pool) wakeTimerLoop() {
	select {
	case p.timersChanged <- struct{}{}:
	default:
	}
}

// dequeueLocked removes the first queued item and marks it as running.
func (p *Pool) dequeueLocked() item {
	it := p.queue[0]
	p.queue[0] = item{}
	p.queue = p.queue[1:]
	delete(p.queued, it)
	p.running[it] = false
	p.calls++
	return it
}

// call calls the controller for one item, then updates the item's timer and
// queues the item again if it was added during the call.
func (p *Pool) call(it item) {
	now := p.clock.Now()
	result := it.controller.call(now, it.key)
	p.mu.Lock()
	defer p.mu.Unlock()
	requeue := p.running[it]
	delete(p.running, it)
	p.timers.remove(it)
	if result.RequeueAfter > 0 && p.timers.setEarlier(it, now.Add(result.RequeueAfter)) {
		p.wakeTimerLoop()
	}
	if requeue {
		// No signal is needed: this worker reads the queue next.
		p.enqueueLocked(it)
	}
}

// addDueLocked queues every key whose timer is due and returns the instant of
// the next timer, if there is one.
func (p *Pool) addDueLocked(now time.Time) (next time.Time, pending bool) {
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

// Run starts the workers and the timer goroutine. It returns after ctx is done
// and every worker has finished its current call; keys that are still queued
// are dropped.
func (p *Pool) Run(ctx context.Context) {
	var group sync.WaitGroup
	for range p.workers {
		group.Go(p.runWorker)
	}
	group.Go(func() { p.runTimers(ctx) })
	<-ctx.Done()
	p.stop()
	group.Wait()
}

func (p *Pool) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	p.workAvailable.Broadcast()
}

func (p *Pool) runWorker() {
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
		p.workAvailable.Wait()
	}
	if p.stopped {
		return item{}, false
	}
	return p.dequeueLocked(), true
}

// runTimers queues due keys until ctx is done. Between two passes it blocks
// until the next timer is due or the earliest timer changes, without a timeout
// while there is no timer.
func (p *Pool) runTimers(ctx context.Context) {
	for {
		p.mu.Lock()
		next, pending := p.addDueLocked(p.clock.Now())
		p.mu.Unlock()
		if !p.waitForTimer(ctx, next, pending) {
			return
		}
	}
}

func (p *Pool) waitForTimer(ctx context.Context, next time.Time, pending bool) bool {
	var due <-chan time.Time
	if pending {
		timer := time.NewTimer(next.Sub(p.clock.Now()))
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-p.timersChanged:
		return true
	case <-due:
		return true
	}
}
