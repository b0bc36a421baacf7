package controller

import "time"

// Step calls the controller at the head of the queue, on this goroutine, and
// reports whether there was one. Timers that are due are queued first. It must
// not be mixed with Run.
func (p *Pool) Step() bool {
	p.mu.Lock()
	p.fireDueLocked(p.clock.Now())
	if len(p.queue) == 0 {
		p.mu.Unlock()
		return false
	}
	it := p.takeLocked()
	p.mu.Unlock()
	p.call(it)
	return true
}

// Settle steps until nothing is left to do at the present instant and returns
// the number of calls. It gives up after limit calls, so that controllers that
// wake each other for ever make a test fail, not hang.
func (p *Pool) Settle(limit int) (calls int) {
	for calls < limit && p.Step() {
		calls++
	}
	return calls
}

// NextTimer returns the instant of the earliest timer, if there is one.
func (p *Pool) NextTimer() (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, due, any := p.timers.peek()
	return due, any
}
