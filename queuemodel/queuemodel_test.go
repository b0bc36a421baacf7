package queuemodel

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const seed = 1

func number(f Figures, key string) float64 {
	if count, isCount := f[key].(int); isCount {
		return float64(count)
	}
	return f[key].(float64)
}

// TestBookingsDoNotWaitForUploads guards against head-of-line blocking: long
// uploads that hold slots raise the latency of bookings. Class shares must stay
// within the bound; the other two admission policies exceed it.
func TestBookingsDoNotWaitForUploads(t *testing.T) {
	figures := headOfLine(seed, 20*time.Second)
	bound := func(f Figures) float64 { return 1.1 * number(f, "booking_p99_ms_without_uploads") }
	firstCome, classOrder, shares := figures[0], figures[1], figures[2]
	must.Greater(t, bound(firstCome), number(firstCome, "booking_p99_ms"))
	must.Greater(t, bound(classOrder), number(classOrder, "booking_p99_ms"))
	must.LessEq(t, bound(shares), number(shares, "booking_p99_ms"))
	must.GreaterEq(t, 0.9*number(firstCome, "uploads_done_count"), number(shares, "uploads_done_count"))
}

// TestLookupsAvoidSlowServers bounds the latency of lookups while two of ten
// backend servers are slow, and the extra load from hedges and retries.
func TestLookupsAvoidSlowServers(t *testing.T) {
	scenario := stragglerScenario(seed)
	scenario.Duration = 10 * time.Second
	schemes := stragglerSchemes()
	production := runStragglers(scenario, schemes[len(schemes)-1])
	must.LessEq(t, 1.5*number(production, "lookup_p99_ms_calm"), number(production, "lookup_p99_ms"))
	must.LessEq(t, 0.05, number(production, "extra_load_ratio"))
	must.Zero(t, number(production, "bookings_run_twice_count"))
	must.Zero(t, number(production, "false_refusals_count"))
	roundRobin := runStragglers(scenario, schemes[1])
	must.Greater(t, 3*number(production, "lookup_p99_ms"), number(roundRobin, "lookup_p99_ms"))
}

// TestBookingsAreServedUnderOverload guards against a collapse at three times
// the capacity: goodput and the bookings answered in time must stay high,
// background requests are shed, and lookups recover within 2 s of the peak.
func TestBookingsAreServedUnderOverload(t *testing.T) {
	schemes := overloadSchemes()
	production := overloadFigures("chosen", simulate(overloadScenario(seed), schemes[len(schemes)-1]))
	must.GreaterEq(t, 0.95, number(production, "goodput_of_capacity_ratio"))
	must.GreaterEq(t, 0.99, number(production, "booking_in_time_ratio"))
	must.GreaterEq(t, 0.99, number(production, "in_time_ratio_2s_after"))
	must.Less(t, 0.05, number(production, "background_in_time_ratio"))
	must.LessEq(t, 1.1, number(production, "attempts_per_request_ratio"))
	must.Zero(t, number(production, "false_refusals_count"))
	must.Zero(t, number(production, "bookings_run_twice_count"))
}
