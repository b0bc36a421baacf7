package queuemodel

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const seed = 1

func number(f Figures, key string) float64 {
	if count, whole := f[key].(int); whole {
		return float64(count)
	}
	return f[key].(float64)
}

// TestBookingsDoNotWaitForUploads compares class shares with the other ways of
// granting slots, which both fail the bound.
func TestBookingsDoNotWaitForUploads(t *testing.T) {
	figures := headOfLine(seed, 20*time.Second)
	bound := func(f Figures) float64 { return 1.1 * number(f, "booking_p99_ms_without_uploads") }
	firstCome, classOrder, shares := figures[0], figures[1], figures[2]
	must.Greater(t, bound(firstCome), number(firstCome, "booking_p99_ms"))
	must.Greater(t, bound(classOrder), number(classOrder, "booking_p99_ms"))
	must.LessEq(t, bound(shares), number(shares, "booking_p99_ms"))
	must.GreaterEq(t, 0.9*number(firstCome, "uploads_done_count"), number(shares, "uploads_done_count"))
}

// TestStragglersAreLeftOut bounds what two slowed backend servers in ten do to
// lookups.
func TestStragglersAreLeftOut(t *testing.T) {
	plan := stragglerPlan(seed)
	plan.Length = 10 * time.Second
	schemes := stragglerSchemes()
	used := stragglersUnder(plan, schemes[len(schemes)-1])
	must.LessEq(t, 1.5*number(used, "lookup_p99_ms_calm"), number(used, "lookup_p99_ms"))
	must.LessEq(t, 0.05, number(used, "extra_load_ratio"))
	must.Zero(t, number(used, "bookings_run_twice_count"))
	must.Zero(t, number(used, "false_refusals_count"))
	roundRobin := stragglersUnder(plan, schemes[1])
	must.Greater(t, 3*number(used, "lookup_p99_ms"), number(roundRobin, "lookup_p99_ms"))
}

// TestBookingsKeepTheirShareAtTheCrest bounds the swing to three times
// capacity.
func TestBookingsKeepTheirShareAtTheCrest(t *testing.T) {
	schemes := overloadSchemes()
	used := overloadFigures("chosen", run(overloadPlan(seed), schemes[len(schemes)-1]))
	must.GreaterEq(t, 0.95, number(used, "goodput_of_capacity_ratio"))
	must.GreaterEq(t, 0.99, number(used, "booking_in_time_ratio"))
	must.GreaterEq(t, 0.99, number(used, "in_time_ratio_2s_after"))
	must.Less(t, 0.05, number(used, "background_in_time_ratio"))
	must.LessEq(t, 1.1, number(used, "attempts_per_request_ratio"))
	must.Zero(t, number(used, "false_refusals_count"))
	must.Zero(t, number(used, "bookings_run_twice_count"))
}
