package admit_test

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/marigoldshelf/marigoldshelf/decide/admit"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// During a burst of lookups, a waiting lookup that cannot meet its objective
// would also make the lookups behind it miss theirs. It is refused with a delay
// for a retry instead.
func TestLookupThatWouldMissItsObjectiveIsShed(t *testing.T) {
	var times admit.ServiceTimes
	times = times.ObserveDuration(mesh.Lookup, 300*time.Millisecond)
	limits := admit.Limits{Slots: 1, Queue: 6, PriorityOnly: true, ServiceTimes: times}
	busy := waiting(1, mesh.Lookup, 4*time.Second)
	busy.State = admit.Granted
	late := waiting(2, mesh.Lookup, 4*time.Second)
	late.Objective = start.Add(400 * time.Millisecond)
	inTime := waiting(4, mesh.Lookup, 4*time.Second)
	inTime.Objective = start.Add(2 * time.Second)
	changed := admit.Decide(start, limits, []admit.Request{busy, late, inTime})
	must.Len(t, 1, changed)
	must.Eq(t, "2", changed[0].ID)
	must.Eq(t, verdict.Shed, changed[0].Reason)
}

// Guards against a request being granted a slot while one of higher priority is
// refused, and against more granted or waiting requests than the limits allow.
func TestAdmissionByPriorityKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := admit.Limits{Slots: rapid.IntRange(1, 6).Draw(t, "slots"), Queue: rapid.IntRange(0, 6).Draw(t, "queue"), PriorityOnly: true}
		var requests []admit.Request
		for i := range rapid.IntRange(0, 20).Draw(t, "requests") {
			r := waiting(i, rapid.SampledFrom(mesh.Classes()).Draw(t, "class"), 5*time.Second)
			r.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
			if i < limits.Slots && rapid.Bool().Draw(t, "granted") {
				r.State = admit.Granted
			}
			requests = append(requests, r)
		}
		after := slices.Clone(requests)
		for _, changed := range admit.Decide(start, limits, requests) {
			index := slices.IndexFunc(after, func(r admit.Request) bool { return r.ID == changed.ID })
			after[index] = changed
		}
		downloads := 0
		for _, r := range after {
			if r.Class == mesh.Download && r.State == admit.Granted {
				downloads++
			}
		}
		load := admit.Occupancy(limits.Slots, after)
		must.LessEq(t, limits.Slots, load.Busy)
		must.LessEq(t, limits.Queue, load.Queued)
		for i, granted := range after {
			for j, refused := range after {
				newlyGranted := requests[i].State == admit.Waiting && granted.State == admit.Granted
				if !newlyGranted || refused.State != admit.Refused {
					continue
				}
				// Only a download beside other requests can be refused before one of
				// lower priority, once downloads hold their third of the slots.
				isCapped := refused.Class == mesh.Download && granted.Class != mesh.Download && downloads >= max(limits.Slots/3, 1)
				if isCapped {
					continue
				}
				must.LessEq(t, refused.Priority, granted.Priority, must.Sprint(i, j))
			}
		}
	})
}

// Guards against a lookup that has missed its objective holding back the lookups
// that have not: it does not wait for a slot, and its refusal has no retry delay,
// by which the sending node would keep the class away from the host.
func TestLookupThatHasMissedItsObjectiveTakesOnlyAFreeSlot(t *testing.T) {
	var times admit.ServiceTimes
	times = times.ObserveDuration(mesh.Lookup, 100*time.Millisecond)
	limits := admit.Limits{Slots: 2, Queue: 6, PriorityOnly: true, ServiceTimes: times}
	missed := waiting(1, mesh.Lookup, 4*time.Second)
	missed.Objective = start.Add(-time.Second)
	changed := admit.Decide(start, limits, []admit.Request{missed})
	must.Len(t, 1, changed)
	must.Eq(t, admit.Granted, changed[0].State)
	busy := waiting(2, mesh.Lookup, 4*time.Second)
	busy.State = admit.Granted
	inTime := waiting(3, mesh.Lookup, 4*time.Second)
	inTime.Objective = start.Add(time.Second)
	changed = admit.Decide(start, limits, []admit.Request{busy, missed, inTime})
	must.Len(t, 2, changed)
	must.Eq(t, "3", changed[0].ID)
	must.Eq(t, admit.Granted, changed[0].State)
	must.Eq(t, verdict.Shed, changed[1].Reason)
	must.Zero(t, changed[1].RetryAfter)
}

// The link of a host is slower than its slots: transfers of downloads last the
// longer the more of them there are. Guards against downloads that hold every
// slot, while short requests that other services wait for are refused.
func TestDownloadsOnASlowLinkLeaveSlotsForShortRequests(t *testing.T) {
	limits := admit.Limits{Slots: 9, Queue: 9, PriorityOnly: true}
	var requests []admit.Request
	for i := range 12 {
		requests = append(requests, waiting(i, mesh.Download, 5*time.Second))
	}
	for i := range 5 {
		r := waiting(100+i, mesh.Lookup, 5*time.Second)
		r.Priority = 1 // less urgent than the downloads
		requests = append(requests, r)
	}
	granted := make(map[mesh.Class]int)
	for _, changed := range admit.Decide(start, limits, requests) {
		if changed.State == admit.Granted {
			granted[changed.Class]++
		}
	}
	must.Eq(t, 3, granted[mesh.Download])
	must.Eq(t, 5, granted[mesh.Lookup])
}

// Guards against a service of nothing but downloads that leaves slots unused.
func TestDownloadsAloneUseEverySlot(t *testing.T) {
	limits := admit.Limits{Slots: 9, Queue: 9, PriorityOnly: true}
	var requests []admit.Request
	for i := range 12 {
		requests = append(requests, waiting(i, mesh.Download, 5*time.Second))
	}
	must.Len(t, 9, admit.Decide(start, limits, requests))
}
