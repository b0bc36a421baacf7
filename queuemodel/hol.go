package queuemodel

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/decide/admit"
	"github.com/marigoldshelf/marigoldshelf/decide/choose"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// HeadOfLine measures bookings beside photo uploads that take a hundred times
// longer: the Menders' repair desk, 9 backend servers of 6 slots.
func HeadOfLine(seed uint64) []Figures { return headOfLine(seed, time.Minute) }

func headOfLine(seed uint64, length time.Duration) []Figures {
	const (
		short = 20 * time.Millisecond
		long  = 100 * short
	)
	calm := []Traffic{
		{mesh.Booking, steady(300), short, 2 * time.Second},
		{mesh.Lookup, steady(500), short, 2 * time.Second},
	}
	uploads := Traffic{mesh.Upload, steady(14), long, 60 * time.Second} // 28 of 54 slots
	plan := Plan{
		Seed: seed, Servers: 9, Slots: 6, Zones: 4, Nodes: 9, Delay: time.Millisecond,
		Length: length, Traffic: calm,
	}
	schemes := []Scheme{
		{Name: "first_come", Pick: choose.Pick, Admit: FirstCome, Queue: 200},
		{Name: "class_order", Pick: choose.Pick, Admit: ClassOrder, Queue: 200},
		{Name: "class_shares", Pick: choose.Pick, Admit: admit.Decide, Queue: 200},
	}
	var all []Figures
	for _, s := range schemes {
		without := run(plan, s)
		mixed := plan
		mixed.Traffic = append(append([]Traffic(nil), calm...), uploads)
		with := run(mixed, s)
		all = append(all, Figures{
			"scheme":                         s.Name,
			"booking_p99_ms_without_uploads": millis(quantile(without.of(mesh.Booking, 0, whole), 0.99)),
			"booking_p99_ms":                 millis(quantile(with.of(mesh.Booking, 0, whole), 0.99)),
			"lookup_p99_ms":                  millis(quantile(with.of(mesh.Lookup, 0, whole), 0.99)),
			"uploads_done_count":             inTime(with.of(mesh.Upload, 0, whole)),
			"upload_p99_ms":                  millis(quantile(with.of(mesh.Upload, 0, whole), 0.99)),
			"false_refusals_count":           with.lied,
		})
	}
	return all
}
