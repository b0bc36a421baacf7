package limit_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/marigoldshelf/marigoldshelf/decide/limit"
)

var start = time.Unix(1_000_000, 0)

func TestLimitGrowsByOneSlotEach100Millis(t *testing.T) {
	s := limit.ColdStart(start, 12)
	must.Eq(t, 4, s.Slots)
	s, next := s.Grow(start.Add(250*time.Millisecond), 12)
	must.Eq(t, 6, s.Slots)
	must.Eq(t, start.Add(300*time.Millisecond), next)
	s, next = s.Grow(start.Add(time.Minute), 12)
	must.Eq(t, 12, s.Slots)
	must.True(t, next.IsZero())
}

func TestShedRequestsSentTogetherHalveTheLimitOnce(t *testing.T) {
	s := limit.State{Slots: 12, Changed: start}
	s = s.Decrease(start.Add(time.Second), 12)
	must.Eq(t, 6, s.Slots)
	s = s.Decrease(start.Add(1100*time.Millisecond), 12)
	must.Eq(t, 6, s.Slots)
	s = s.Decrease(start.Add(1300*time.Millisecond), 12)
	must.Eq(t, 4, s.Slots) // a third of the slots is the lower limit
}

// TestLimitStaysInBounds runs random sequences of shed requests and delays. The
// limit stays between a third of the slots and all of them, and reaches all of
// them after a minute without shed requests.
func TestLimitStaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 50).Draw(t, "slots")
		now := start
		s := limit.ColdStart(now, slots)
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "delay ms")) * time.Millisecond)
			s, _ = s.Grow(now, slots)
			if rapid.Bool().Draw(t, "shed") {
				s = s.Decrease(now, slots)
			}
			must.Between(t, max(slots/3, 1), s.Slots, slots)
		}
		s, next := s.Grow(now.Add(time.Minute), slots)
		must.Eq(t, slots, s.Slots)
		must.True(t, next.IsZero())
	})
}

// A partially failing backend server sheds some of its requests although it has
// free slots, so shed requests must not lower a limit that the server reported.
func TestReportedSlotsAreNotCutWhenRequestsAreShed(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := limit.Fixed(now, 6)
	must.Eq(t, 6, s.Decrease(now.Add(time.Second), 6).Slots)
}
