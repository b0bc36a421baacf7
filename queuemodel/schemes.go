package queuemodel

import (
	"slices"
	"time"

	"github.com/marigoldshelf/marigoldshelf/decide/admit"
	"github.com/marigoldshelf/marigoldshelf/decide/choose"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// Random is a load balancing policy that picks a random candidate.
func Random(q choose.Query, list []choose.Candidate) (choose.Candidate, bool) {
	if len(list) == 0 {
		return choose.Candidate{}, false
	}
	return list[q.Random.IntN(len(list))], true
}

// RoundRobin returns a load balancing policy that picks the candidates in turn.
func RoundRobin() choose.Policy {
	next := 0
	return func(_ choose.Query, list []choose.Candidate) (choose.Candidate, bool) {
		if len(list) == 0 {
			return choose.Candidate{}, false
		}
		next++
		return list[next%len(list)], true
	}
}

// LeastRequests is a load balancing policy that picks the candidate with the
// fewest requests in flight from this node; ties are broken at random.
func LeastRequests(q choose.Query, list []choose.Candidate) (choose.Candidate, bool) {
	return Random(q, cheapest(list, func(c choose.Candidate) int { return c.InFlight.Count }))
}

// LeastLoad is a load balancing policy that picks the candidate with the least
// reported load; ties are broken at random.
func LeastLoad(q choose.Query, list []choose.Candidate) (choose.Candidate, bool) {
	return Random(q, cheapest(list, func(c choose.Candidate) int { return c.Stats.Load.Busy + c.Stats.Load.Queued }))
}

// PowerOfTwo is a load balancing policy that draws two candidates at random and
// picks the one with less load. The load is the maximum of the reported load and
// the requests in flight from this node.
func PowerOfTwo(q choose.Query, list []choose.Candidate) (choose.Candidate, bool) {
	first, found := Random(q, list)
	second, _ := Random(q, list)
	load := func(c choose.Candidate) int {
		return max(c.Stats.Load.Busy+c.Stats.Load.Queued, c.InFlight.Count)
	}
	if found && load(second) < load(first) {
		return second, true
	}
	return first, found
}

// cheapest returns all candidates that have the lowest cost.
func cheapest(list []choose.Candidate, cost func(choose.Candidate) int) (best []choose.Candidate) {
	for _, c := range list {
		switch {
		case len(best) == 0 || cost(c) < cost(best[0]):
			best = []choose.Candidate{c}
		case cost(c) == cost(best[0]):
			best = append(best, c)
		}
	}
	return best
}

// FirstComeFirstServed is an admission policy that grants slots in the order of
// arrival and ignores the class.
func FirstComeFirstServed(now time.Time, limits admit.Limits, rows []admit.Request) []admit.Request {
	return admitInOrder(now, limits, rows) // the server keeps the rows in the order of arrival
}

// StrictClassPriority is an admission policy that grants slots in strict order of
// the classes, without shares. It sorts rows in place.
func StrictClassPriority(now time.Time, limits admit.Limits, rows []admit.Request) []admit.Request {
	slices.SortStableFunc(rows, func(a, b admit.Request) int { return a.Class.Index() - b.Class.Index() })
	return admitInOrder(now, limits, rows)
}

// admitInOrder grants the free slots to the waiting rows in their order. It
// refuses rows whose deadline has passed and rows beyond the queue limit, and
// returns the rows that changed.
func admitInOrder(now time.Time, limits admit.Limits, rows []admit.Request) (changed []admit.Request) {
	busy, queued := 0, 0
	for _, r := range rows {
		if r.State == admit.Granted {
			busy++
		}
	}
	for _, r := range rows {
		switch {
		case r.State != admit.Waiting:
			continue
		case !now.Before(r.Deadline):
			r.State, r.Reason = admit.Refused, verdict.DeadlineTooShort
		case busy < limits.Slots:
			r.State, r.Granted = admit.Granted, now
			busy++
		case queued >= limits.Queue:
			r.State, r.Reason = admit.Refused, verdict.QueueFull
		default:
			queued++
			continue
		}
		changed = append(changed, r)
	}
	return changed
}
