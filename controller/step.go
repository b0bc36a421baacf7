package controller

import "time"

// Step queues the keys whose timers are due, calls the controller for the first
// queued key on the caller's goroutine, and reports whether there was one. It
// must not be used together with Run.
func (p *Pool) Step() bool {
	p.mu.Lock()
	p.addDueLocked(p.clock.Now())
	if len(p.queue) == 0 {
		p.mu.Unlock()
		return false
	}
	it := p.dequeueLocked()
	p.mu.Unlock()
	p.call(it)
	return true
}

// StepUntilIdle calls Step until no key is queued or due and returns the number of
// calls. It stops after limit calls, so that controllers that requeue each other
// endlessly fail a test instead of blocking it.
func (p *Pool) StepUntilIdle(limit int) (calls int) {
	for calls < limit && p.Step() {
		calls++
	}
	return calls
}

// NextTimer returns the instant of the earliest timer. The second result is
// false if there is no timer.
func (p *Pool) NextTimer() (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, due, any := p.timers.peek()
	return due, any
}
