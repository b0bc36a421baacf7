package queuemodel

import (
	"slices"
	"time"

	"github.com/marigoldshelf/marigoldshelf/decide/admit"
	"github.com/marigoldshelf/marigoldshelf/decide/choose"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// Random draws one candidate.
func Random(q choose.Query, list []choose.Candidate) (choose.Candidate, bool) {
	if len(list) == 0 {
		return choose.Candidate{}, false
	}
	return list[q.Random.IntN(len(list))], true
}

// RoundRobin returns a policy that takes the candidates in turn.
func RoundRobin() choose.Policy {
	turn := 0
	return func(_ choose.Query, list []choose.Candidate) (choose.Candidate, bool) {
		if len(list) == 0 {
			return choose.Candidate{}, false
		}
		turn++
		return list[turn%len(list)], true
	}
}

// LeastRequests scans all candidates for the fewest requests under way from
// this node, and draws among equals.
func LeastRequests(q choose.Query, list []choose.Candidate) (choose.Candidate, bool) {
	return Random(q, cheapest(list, func(c choose.Candidate) int { return c.InFlight.Count }))
}

// LeastLoad scans all candidates for the least reported load.
func LeastLoad(q choose.Query, list []choose.Candidate) (choose.Candidate, bool) {
	return Random(q, cheapest(list, func(c choose.Candidate) int { return c.Report.Load.Busy + c.Report.Load.Queued }))
}

// PowerOfTwo draws two candidates and takes the one with the less load:
// reported, and under way from this node.
func PowerOfTwo(q choose.Query, list []choose.Candidate) (choose.Candidate, bool) {
	first, found := Random(q, list)
	second, _ := Random(q, list)
	load := func(c choose.Candidate) int {
		return max(c.Report.Load.Busy+c.Report.Load.Queued, c.InFlight.Count)
	}
	if found && load(second) < load(first) {
		return second, true
	}
	return first, found
}

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

// FirstCome grants slots in the order of arrival, whatever the class.
func FirstCome(now time.Time, limits admit.Limits, rows []admit.Request) []admit.Request {
	return inOrder(now, limits, rows) // the model keeps them in that order
}

// ClassOrder grants slots in the order of the classes, without shares.
func ClassOrder(now time.Time, limits admit.Limits, rows []admit.Request) []admit.Request {
	slices.SortStableFunc(rows, func(a, b admit.Request) int { return a.Class.Index() - b.Class.Index() })
	return inOrder(now, limits, rows)
}

func inOrder(now time.Time, limits admit.Limits, rows []admit.Request) (changed []admit.Request) {
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
