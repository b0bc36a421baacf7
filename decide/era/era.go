// Package era has the rules for the eras of a store that can be restored from an
// older copy. Each restore begins a new era, numbered one higher than the former.
// Positions in the store belong to an era: after a restore, records beyond the
// copy are lost and their offsets are assigned again. Era zero is unknown, which
// it always is with a store that does not state its era.
package era

// Outcome is what the era of an answer means for the receiver.
type Outcome uint8

// The outcomes.
const (
	// Current: the era is the known one, or none was known or stated.
	Current Outcome = iota
	// Changed: the store has been restored since the known era was observed.
	Changed
	// Late: the answer is of an era that has ended. It must be ignored.
	Late
)

// Observe returns the newest known era after an answer of the store, and what the
// answer's era means. known is the era known before, sent the one that was known
// when the request was sent, answered the era that the answer states.
//
// An era below the known one is late only if the request was sent before the
// known era was observed. Otherwise the store itself states a lower era, for
// example because it was replaced, and answers would be ignored for good.
func Observe(known, sent, answered uint64) (newest uint64, outcome Outcome) {
	switch {
	case answered == 0 || answered == known:
		return known, Current
	case known == 0:
		return answered, Current
	case answered < known && sent != known:
		return known, Late
	}
	return answered, Changed
}

// SameLog reports whether a position that was obtained in one era is valid in an
// answer of another one. An answer that states no era does not invalidate a
// position.
func SameLog(position, answered uint64) bool { return answered == 0 || position == answered }
