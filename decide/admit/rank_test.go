package admit_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/admit"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// Guards against a call that waits behind new work of the rank of its parent, and
// against one that overtakes work of a higher rank.
func TestCallGoesBeforeOtherRequestsOfItsRank(t *testing.T) {
	urgent := waiting(1, mesh.Booking, 4*time.Second)
	other := waiting(2, mesh.Booking, time.Second)
	other.Priority = 1
	other.Objective = start.Add(500 * time.Millisecond)
	nested := waiting(3, mesh.Lookup, 4*time.Second)
	nested.Priority, nested.Nested = 1, true
	nested.Objective = start.Add(-time.Millisecond)
	requests := []admit.Request{other, nested, urgent}
	changed := admit.Decide(start, admit.Limits{Slots: 2, Queue: 6, PriorityOnly: true}, requests)
	must.Len(t, 2, changed)
	must.Eq(t, "1", changed[0].ID)
	must.Eq(t, "3", changed[1].ID)
	must.Eq(t, admit.Granted, changed[1].State)
}

// Guards against a call that is refused because it would miss its objective: its
// parent, which can still succeed, then fails after it has held a slot.
func TestCallThatMissesItsObjectiveWaits(t *testing.T) {
	var times admit.ServiceTimes
	times = times.ObserveDuration(mesh.Lookup, 100*time.Millisecond)
	limits := admit.Limits{Slots: 1, Queue: 6, PriorityOnly: true, ServiceTimes: times}
	busy := waiting(1, mesh.Lookup, 4*time.Second)
	busy.State = admit.Granted
	nested := waiting(2, mesh.Lookup, time.Second)
	nested.Objective, nested.Nested = start.Add(50*time.Millisecond), true
	must.SliceEmpty(t, admit.Decide(start, limits, []admit.Request{busy, nested}))
	nested.Nested = false
	changed := admit.Decide(start, limits, []admit.Request{busy, nested})
	must.Len(t, 1, changed)
	must.Eq(t, verdict.Shed, changed[0].Reason)
}
