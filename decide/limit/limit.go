// Package limit adapts the number of slots that the admission point uses to
// what the backend server can take at present: it starts low after a cold
// start, halves when the server sheds load by itself, and grows back.
package limit

import "time"

const (
	// growInterval is the time for one more slot, without a shed answer.
	growInterval = 100 * time.Millisecond
	// cutInterval is the least time between two cuts: the answers to requests
	// sent before a cut say nothing about it.
	cutInterval = 200 * time.Millisecond
)

// State is the present limit. It is a value.
type State struct {
	// Slots is the number of slots in use now.
	Slots int
	// Changed is when it last changed.
	Changed time.Time
	// Exact is true when the backend server itself told its slots and only this
	// node uses them: what it sheds then says nothing of its load.
	Exact bool
}

// Start returns the limit of a cold backend server with the given slots.
func Start(now time.Time, slots int) State { return State{Slots: floor(slots), Changed: now} }

// Told returns the limit of a backend server that tells its slots.
func Told(now time.Time, slots int) State { return State{Slots: slots, Changed: now, Exact: true} }

// Grow returns the limit with what it has regained by now, and the instant to
// ask again; zero when it is whole.
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

// Cut returns the limit after the backend server shed a request by itself.
func (s State) Cut(now time.Time, slots int) State {
	if s.Exact {
		return s
	}
	if s.Slots < slots && now.Sub(s.Changed) < cutInterval {
		return s
	}
	return State{Slots: max(s.Slots/2, floor(slots)), Changed: now}
}

// floor is the least limit: a third of the slots, at least one.
func floor(slots int) int { return max(slots/3, 1) }
