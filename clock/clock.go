// Package clock is the time source of all other packages. The packages under
// decide do not read a clock: callers pass them the current time. Programs use
// System; tests and replays use Virtual, which only Advance moves.
package clock

import (
	"sync"
	"time"
)

// Clock returns the current time. Implementations are safe for concurrent use
// and never go backwards.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
}

// System is the host's clock.
type System struct{}

// Now returns the host's time, with its monotonic reading.
func (System) Now() time.Time { return time.Now() }

// Virtual is a clock that only Advance changes. It is safe for concurrent use.
type Virtual struct {
	mu  sync.Mutex
	now time.Time
}

// NewVirtual returns a virtual clock set to start.
func NewVirtual(start time.Time) *Virtual { return &Virtual{now: start} }

// Now returns the virtual time.
func (v *Virtual) Now() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.now
}

// Advance moves the clock forward by d; it ignores a negative d.
func (v *Virtual) Advance(d time.Duration) {
	if d < 0 {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.now = v.now.Add(d)
}
