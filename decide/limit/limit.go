// Package limit adapts the number of slots that the admission point uses to the
// present capacity of the backend server. The limit starts low after a cold
// start, is halved when the server itself sheds load, and grows back by one
// slot at a time (additive increase, multiplicative decrease).
package limit

import "time"

const (
	// growInterval is the time for one more slot without a shed request.
	growInterval = 100 * time.Millisecond
	// cutInterval is the minimum time between two reductions: responses to
	// requests that were sent before a reduction do not reflect the lower
	// limit.
	cutInterval = 200 * time.Millisecond
)

// State is the present limit. It is a value.
type State struct {
	// Slots is the number of slots in use.
	Slots int
	// Changed is when Slots last changed; Grow counts from it.
	Changed time.Time
	// IsFixed is true when the backend server itself reported its slots and
	// only this node uses them. Shed requests then do not indicate overload,
	// and the limit is not reduced.
	IsFixed bool
}

// ColdStart returns the limit for a backend server with the given slots after a
// cold start.
func ColdStart(now time.Time, slots int) State { return State{Slots: minSlots(slots), Changed: now} }

// Fixed returns the limit for a backend server that reported its slots: all of
// them.
func Fixed(now time.Time, slots int) State { return State{Slots: slots, Changed: now, IsFixed: true} }

// Grow returns the limit grown up to the given time, and when it grows next;
// the zero time when all slots are in use.
func (s State) Grow(now time.Time, slots int) (State, time.Time) {
	gained := int(now.Sub(s.Changed) / growInterval)
	if gained > 0 && s.Slots < slots {
		s.Slots = min(s.Slots+gained, slots)
		s.Changed = s.Changed.Add(time.Duration(gained) * growInterval)
	}
	if s.Slots >= slots {
		return s, time.Time{}
	}
	return s, s.Changed.Add(growInterval)
}

// Decrease returns the limit after the backend server shed a request.
func (s State) Decrease(now time.Time, slots int) State {
	if s.IsFixed {
		return s
	}
	if s.Slots < slots && now.Sub(s.Changed) < cutInterval {
		return s
	}
	return State{Slots: max(s.Slots/2, minSlots(slots)), Changed: now}
}

// minSlots returns the lower limit: a third of the slots, at least one.
func minSlots(slots int) int { return max(slots/3, 1) }
