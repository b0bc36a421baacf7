package queuemodel

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/decide/admit"
	"github.com/marigoldshelf/marigoldshelf/decide/choose"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// HeadOfLineBlocking measures whether photo uploads, which take a hundred times
// longer, delay bookings. It models the Menders' repair desk: 9 backend servers of 6
// slots. Each scheme runs with and without the uploads.
func HeadOfLineBlocking(seed uint64) []Figures { return headOfLine(seed, time.Minute) }

func headOfLine(seed uint64, length time.Duration) []Figures {
	const (
		shortServiceTime = 20 * time.Millisecond
		longServiceTime  = 100 * shortServiceTime
	)
	baseTraffic := []Traffic{
		{mesh.Booking, constantRate(300), shortServiceTime, 2 * time.Second, 0},
		{mesh.Lookup, constantRate(500), shortServiceTime, 2 * time.Second, 0},
	}
	uploads := Traffic{mesh.Upload, constantRate(14), longServiceTime, 60 * time.Second, 0} // 28 of 54 slots
	scenario := Scenario{
		Seed: seed, Servers: 9, SlotsPerServer: 6, Zones: 4, Nodes: 9, OneWayDelay: time.Millisecond,
		Duration: length, Traffic: baseTraffic,
	}
	schemes := []Scheme{
		{Name: "first_come", Pick: choose.Pick, Admit: FirstComeFirstServed, QueueLimit: 200},
		{Name: "class_order", Pick: choose.Pick, Admit: StrictClassPriority, QueueLimit: 200},
		{Name: "class_shares", Pick: choose.Pick, Admit: admit.Decide, QueueLimit: 200},
	}
	var all []Figures
	for _, s := range schemes {
		without := simulate(scenario, s)
		mixedScenario := scenario
		mixedScenario.Traffic = append(append([]Traffic(nil), baseTraffic...), uploads)
		with := simulate(mixedScenario, s)
		all = append(all, Figures{
			"scheme":                         s.Name,
			"booking_p99_ms_without_uploads": millis(latencyQuantile(without.resultsBetween(mesh.Booking, 0, afterEnd), 0.99)),
			"booking_p99_ms":                 millis(latencyQuantile(with.resultsBetween(mesh.Booking, 0, afterEnd), 0.99)),
			"lookup_p99_ms":                  millis(latencyQuantile(with.resultsBetween(mesh.Lookup, 0, afterEnd), 0.99)),
			"uploads_done_count":             countInTime(with.resultsBetween(mesh.Upload, 0, afterEnd)),
			"upload_p99_ms":                  millis(latencyQuantile(with.resultsBetween(mesh.Upload, 0, afterEnd), 0.99)),
			"false_refusals_count":           with.falseRefusals,
		})
	}
	return all
}
