// Package clock gives every other package its time. Decisions never read the
// system clock: they are handed an instant. Daemons use System; tests and
// replays use Virtual, which moves only when told.
package clock

import (
	"sync"
	"time"
)

// Clock tells the present instant. Implementations are safe for concurrent
// use and never go backwards.
type Clock interface {
	// Now returns the present instant.
	Now() time.Time
}

// System is the clock of the host.
type System struct{}

// Now returns the host's time, with its monotonic reading.
func (System) Now() time.Time { return time.Now() }

// Virtual is a clock that stands still until Advance is called.
type Virtual struct {
	mu  sync.Mutex
	now time.Time
}

// NewVirtual returns a clock that stands at start.
func NewVirtual(start time.Time) *Virtual { return &Virtual{now: start} }

// Now returns the instant last set.
func (v *Virtual) Now() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.now
}

// Advance moves the clock forward by d; a negative d is ignored.
func (v *Virtual) Advance(d time.Duration) {
	if d < 0 {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.now = v.now.Add(d)
}
