package main

import (
	"fmt"
	"maps"
	"slices"

	"github.com/marigoldshelf/marigoldshelf/front/operator"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

type statusCommand struct{}

// Help shows an example.
func (statusCommand) Help() string { return "Example: marigold status" }

// Run prints the node's status: zones, members, loads, its own backend server and
// counters.
func (statusCommand) Run(l *commandLine) error {
	var s operator.Status
	printed, err := l.query("/v1/status", &s)
	if printed || err != nil {
		return err
	}
	l.print("Node %s in %s serves version %d; version %d is decided (log read to %d, %d proposals open).",
		s.Host, s.Zone, s.Version, s.DecidedVersion, s.Offset, s.OpenProposals)
	if s.RejectedReason != "" {
		l.print("Version %d was rejected: %s", s.RejectedVersion, s.RejectedReason)
	}
	if s.Draining {
		l.print("This host is draining.")
	}
	l.print("Platform: %s", platformText(s))
	l.printZones(s)
	l.printHosts(s)
	l.printBackend(s)
	l.printCounts(s)
	return nil
}

func platformText(s operator.Status) string {
	if s.PlatformError == "" {
		return "no failed read at present"
	}
	return "does not answer: " + s.PlatformError
}

// printZones prints a line for each availability zone with the number of members
// in each state.
func (l *commandLine) printZones(s operator.Status) {
	states := make(map[mesh.Zone]map[mesh.MemberState]int)
	for _, m := range s.Members {
		if states[m.Zone] == nil {
			states[m.Zone] = make(map[mesh.MemberState]int)
		}
		states[m.Zone][m.State]++
	}
	l.print("\nZone          alive  suspect  leaving  dead")
	for _, z := range slices.Sorted(maps.Keys(states)) {
		n := states[z]
		l.print("%-12s  %5d  %7d  %7d  %4d", z, n[mesh.Alive], n[mesh.Suspect], n[mesh.Leaving], n[mesh.Dead])
	}
}

// printHosts prints a line for each member with the version that it serves and the
// load that it last reported to this node, as far as they are known.
func (l *commandLine) printHosts(s operator.Status) {
	l.print("\nHost          zone          service       state    version   slots  busy  queued")
	for _, m := range s.Members {
		load := "    -     -       -"
		if reported, known := s.Loads[m.Host]; known {
			load = fmt.Sprintf("%5d  %4d  %6d", reported.Slots, reported.Busy, reported.Queued)
		}
		l.print("%-12s  %-12s  %-12s  %-7s  %-8s  %s", m.Host, m.Zone, m.Service, m.State, versionText(s, m.Host), load)
	}
}

// printBackend prints the state of the node's own backend server and the age of
// the reported loads. It prints nothing if the backend server does not register
// itself with the node.
func (l *commandLine) printBackend(s operator.Status) {
	if s.Backend == nil {
		return
	}
	load := s.Backend.Load
	l.print("\nOwn backend server %s is %s, last report %d ms ago: %d slots, %d busy, %d queued, %d%% failing",
		s.Backend.Instance, s.Backend.Phase, s.Backend.LastReportAgeMillis, load.Slots, load.Busy, load.Queued, load.Failing)
	for _, host := range slices.Sorted(maps.Keys(s.LoadAgesMillis)) {
		l.print("  load of %-12s  reported %6d ms ago", host, s.LoadAgesMillis[host])
	}
}

// versionText formats the version that a host reported to serve, and marks it if
// it is below the newest decided version.
func versionText(s operator.Status, host mesh.HostID) string {
	version, known := s.ServedVersions[host]
	switch {
	case !known:
		return "-"
	case version < s.DecidedVersion:
		return fmt.Sprintf("%d lags", version)
	default:
		return fmt.Sprint(version)
	}
}

func (l *commandLine) printCounts(s operator.Status) {
	if len(s.Counts) == 0 {
		return
	}
	l.print("\nRefusals and retries at this node since its start")
	for _, c := range s.Counts {
		l.print("  %-16s  %-22s  %d", c.Event, c.Reason, c.Count)
	}
}
