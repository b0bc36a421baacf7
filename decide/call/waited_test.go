package call_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/call"
)

// Guards against taking a first try for a repeated one and the reverse, while up
// to two of three requests are repeated ones.
func TestRepeatedTriesAreToldByTheirDeadline(t *testing.T) {
	for _, repeatedRatio := range []float64{0, 0.3, 0.66} {
		random := rand.New(rand.NewPCG(1, 1))
		var s call.RouteState
		mistaken := 0
		for i := range 2000 {
			first := 5*time.Second - time.Duration(random.Float64()*0.12*float64(5*time.Second))
			repeated := random.Float64() < repeatedRatio
			remaining := first
			if repeated {
				remaining -= time.Second + time.Duration(random.Float64()*float64(time.Second))
			}
			if i > 200 && (s.WaitedBefore(remaining) > 0) != repeated {
				mistaken++
			}
			s = s.Observe(remaining, false)
		}
		must.Less(t, 100, mistaken, must.Sprint(repeatedRatio))
	}
}

// Guards against refusing the calls of a run as if they were repeated: their
// deadlines are those of the runs that make them, and a refused call fails a run
// that already holds a slot.
func TestCallsOfARunAreNotTakenForRepeatedTries(t *testing.T) {
	var s call.RouteState
	for range 50 {
		s = s.Observe(1400*time.Millisecond, true)
	}
	must.True(t, s.IsNested())
	must.Zero(t, s.WaitedBefore(300*time.Millisecond))
	for range 50 {
		s = s.Observe(1400*time.Millisecond, false)
	}
	must.False(t, s.IsNested())
	must.Positive(t, s.WaitedBefore(300*time.Millisecond))
}

// Guards against a state that one caller with a very long deadline spoils for
// all others.
func TestOneLongDeadlineMakesNobodyLate(t *testing.T) {
	var s call.RouteState
	for range 100 {
		s = s.Observe(time.Second, false)
	}
	s = s.Observe(time.Hour, false)
	must.Zero(t, s.WaitedBefore(time.Second))
}
