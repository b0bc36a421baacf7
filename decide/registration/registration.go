// Package registration derives the state of a node's own backend server from
// the reports that the backend server sends and from failed connections.
// Reports can arrive late, repeatedly or out of order, and a backend server can
// restart under the same instance name.
package registration

import (
	"slices"
	"time"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Phase is the lifecycle phase of a backend server.
type Phase uint8

// The phases.
const (
	// Unknown: no report has been accepted yet.
	Unknown Phase = iota
	// Ready: the backend server accepts requests.
	Ready
	// Draining: the backend server is leaving; it accepts no new requests.
	Draining
	// Gone: the backend server reported that it is gone, or another one answers
	// at its address.
	Gone
)

// String returns the phase's name.
func (p Phase) String() string {
	names := [...]string{"unknown", "ready", "draining", "gone"}
	if int(p) >= len(names) {
		return "invalid"
	}
	return names[p]
}

// Report is a backend server's report about itself.
type Report struct {
	// Instance names one backend server; it can be the same after a restart.
	Instance string
	Service  mesh.ServiceName
	// Address is the backend server's IP:port.
	Address string
	// Slots is the number of requests that the backend server runs
	// concurrently.
	Slots int
	// Phase is Ready, Draining or Gone. A report of Gone has only the instance
	// and, if known, StartedAtMillis.
	Phase Phase
	// WarmupRemaining is the remaining warm-up time, in which the backend server
	// is slow.
	WarmupRemaining time.Duration
	// Sequence increases with each report after one start.
	Sequence uint64
	// StartedAtMillis is the backend server's start time, in milliseconds since
	// 1970 by its own clock, which can be set back between two starts; zero if
	// unknown.
	StartedAtMillis int64
}

func (r Report) start() Start { return Start{r.Instance, r.StartedAtMillis} }

// Backend is the node's view of its backend server. It is a value: its methods
// return a modified copy.
type Backend struct {
	// Report is the last accepted report; a report of Gone changes only its phase.
	Report
	// LastReportAt is when the last accepted report arrived.
	LastReportAt time.Time
	// WarmupUntil is the end of the warm-up.
	WarmupUntil time.Time
	// ConnectFailures is the number of consecutive failed connections since the
	// last accepted report.
	ConnectFailures int
	// DownUntil is the end of the backoff after a failed connection; until then
	// the backend server gets no requests.
	DownUntil time.Time
	// Unverified is true after the first reports of a backend server that started
	// before this process, until a health check or time confirms them. They can be
	// late ones from before a departure that the node's predecessor acknowledged;
	// this process does not know of that.
	Unverified bool
	// ReceivingSince is when this process began to receive reports.
	ReceivingSince time.Time
	// Tombstone is an instance that reported itself gone while this process did
	// not know it as the current instance. Its earlier reports can still
	// arrive.
	Tombstone Tombstone
	// StartKnownSince is when the first report of the current start was accepted.
	StartKnownSince time.Time
	// Replaced are the starts that the current one and earlier ones have replaced, so
	// that their late reports are rejected. The newest is the first.
	Replaced [maxReplaced]Start
	// Rival is a start that can be the current one too: its start time is later, but its
	// report arrived earlier. Zero without one.
	Rival Start
}

// maxReplaced bounds the starts whose late reports are rejected by name. Late reports
// arrive within maxReportDelay.
const maxReplaced = 4

// Start is one start of a backend server.
type Start struct {
	Instance        string
	StartedAtMillis int64
}

// Tombstone identifies an instance that is gone, so that its late reports are
// rejected.
type Tombstone struct {
	// Start is the instance and its start time; zero while that is unknown.
	Start
	// At is when it reported itself gone.
	At time.Time
}

// maxStartSequence is the highest sequence number that identifies the start of
// a new backend server under the name of a departed one whose start time is
// unknown. It is 2 because a new start is then missed only if both of its first
// reports are lost.
const maxStartSequence = 2

// maxReportDelay is how late a report can arrive. A report that arrives longer than
// this after the start of the process was sent after the start.
const maxReportDelay = 10 * time.Second

// ReportOutcome is the outcome of a report.
type ReportOutcome uint8

// The outcomes of a report.
const (
	// Accepted: the state was changed or confirmed.
	Accepted ReportOutcome = iota
	// Stale: a newer report was accepted before, or the instance is gone.
	Stale
	// Mismatched: the report is for another service or address than this
	// node's.
	Mismatched
	// Implausible: the report has a start time far in the future. It would
	// outrank every report of the real backend server.
	Implausible
)

// String returns the outcome's name.
func (v ReportOutcome) String() string {
	names := [...]string{"accepted", "stale", "mismatched", "implausible"}
	if int(v) >= len(names) {
		return "invalid"
	}
	return names[v]
}

// maxClockSkew is the largest difference between the clocks of the node and of
// the backend server. Both run on one host, but its time of day can be stepped.
const maxClockSkew = 24 * time.Hour

const (
	// baseDownTime is the backoff after the first failed connection. It doubles
	// with each further failure, and an accepted report ends it.
	baseDownTime = 250 * time.Millisecond
	// maxDownTime bounds the backoff: a backend server that has recovered, but
	// whose report was lost, gets requests again within this time.
	maxDownTime = 2 * time.Second
)

// Apply returns the state after report r and the outcome of the report. own has
// the service and the address from the node's settings.
func Apply(now time.Time, b Backend, r Report, own Report) (Backend, ReportOutcome) {
	if r.StartedAtMillis > now.Add(maxClockSkew).UnixMilli() {
		return b, Implausible
	}
	if r.Phase == Gone {
		return b.applyGone(now, r)
	}
	if r.Service != own.Service || r.Address != own.Address {
		return b, Mismatched
	}
	tombstone, late := b.Tombstone.observe(now, r)
	b.Tombstone = tombstone
	newer, certain := b.compare(now, r)
	if late || !newer {
		return b, Stale
	}
	next := b.withStart(now, r.start(), certain)
	next.Unverified = b.isUnverified(now, r, certain)
	if b.isSameStart(r) {
		r.Sequence = max(r.Sequence, b.Sequence)
	}
	next.Report, next.LastReportAt, next.WarmupUntil = r, now, now.Add(r.WarmupRemaining)
	next.ConnectFailures, next.DownUntil = 0, time.Time{}
	return next, Accepted
}

// withStart returns the state with another current start, if it is another one.
// certain is whether the one before has ended.
func (b Backend) withStart(now time.Time, s Start, certain bool) Backend {
	if b.Phase != Unknown && s == b.start() {
		return b
	}
	b.StartKnownSince = now
	switch {
	case b.Phase == Unknown:
	case certain:
		copy(b.Replaced[1:], b.Replaced[:])
		b.Replaced[0] = b.start()
	default:
		b.Rival = b.start()
	}
	return b
}

// isSameStart reports whether r is from the same start of the backend server as
// the last accepted report.
func (b Backend) isSameStart(r Report) bool {
	return b.Phase != Unknown && r.Instance == b.Instance && r.StartedAtMillis == b.StartedAtMillis
}

// isUnverified reports whether an accepted report can be a late one. After a start of
// this process, that is one from before a departure that this process does not know
// of. Several late reports can arrive, so one does not confirm another. A report under
// the name in Tombstone is from a later start, or it would not have been accepted.
//
// A report of a start that is not certain to be the current one changes nothing if it
// is of the same instance and the backend server was ready before.
func (b Backend) isUnverified(now time.Time, r Report, certain bool) bool {
	if r.Phase != Ready {
		return false
	}
	if !certain {
		return r.Instance != b.Instance || b.Phase != Ready || b.Unverified
	}
	if b.Unverified && b.isSameStart(r) && now.Before(b.StartKnownSince.Add(maxReportDelay)) {
		return true
	}
	canBeLate := now.Before(b.ReceivingSince.Add(maxReportDelay)) && r.Sequence > maxStartSequence
	return (b.Phase == Unknown || b.Unverified) && canBeLate && r.Instance != b.Tombstone.Instance
}

// WithHealthCheck returns the state after a health check of the instance: a good
// one confirms the reports. After a bad one they stay unverified.
func (b Backend) WithHealthCheck(instance string, healthy bool) Backend {
	if instance == b.Instance && healthy {
		b.Unverified = false
	}
	return b
}

// applyGone returns the state after a report that an instance is gone. If the
// instance is not the current one, it is recorded in Tombstone. An earlier start can
// be the current one too, and a later one has replaced it: both hold.
func (b Backend) applyGone(now time.Time, r Report) (Backend, ReportOutcome) {
	if r.Instance != b.Instance || b.Phase == Unknown {
		b.Tombstone = Tombstone{Start: r.start(), At: now}
		return b, Accepted
	}
	if r.StartedAtMillis != 0 && r.StartedAtMillis != b.StartedAtMillis {
		newer, certain := b.compare(now, r)
		if !newer {
			return b, Stale
		}
		b = b.withStart(now, r.start(), certain)
		b.StartedAtMillis, b.Sequence = r.StartedAtMillis, 0
	}
	b.Phase = Gone
	return b, Accepted
}

// observe reports whether r is a late report of the tombstone's instance. If that
// shows the instance's start time, the returned tombstone has it.
func (t Tombstone) observe(now time.Time, r Report) (_ Tombstone, late bool) {
	if r.Instance != t.Instance {
		return t, false
	}
	if t.StartedAtMillis != 0 {
		canBeLate := now.Before(t.At.Add(maxReportDelay))
		return t, r.StartedAtMillis == t.StartedAtMillis || r.StartedAtMillis < t.StartedAtMillis && canBeLate
	}
	if r.Sequence <= maxStartSequence {
		return t, false
	}
	t.StartedAtMillis = r.StartedAtMillis
	return t, true
}

// compare reports whether r is newer than the last accepted report, and whether that is
// certain. A start time that is earlier than the current one is that of an earlier
// start, whose report is late, or that of a later one after the clock was set back.
// It is a later one if the report is too late to be of an earlier one. Until then it is
// taken for one that only a health check confirms, since its node acknowledges it.
func (b Backend) compare(now time.Time, r Report) (newer, certain bool) {
	switch start := r.start(); {
	case b.Phase == Unknown:
		return true, true
	case r.StartedAtMillis == b.StartedAtMillis:
		return b.isNewerOfStart(r), true
	case start == b.Rival:
		return true, false
	case slices.Contains(b.Replaced[:], start):
		return false, true
	case r.StartedAtMillis > b.StartedAtMillis:
		return true, true
	case r.StartedAtMillis == 0:
		return false, true // older than all that have a start time
	case !now.Before(b.StartKnownSince.Add(maxReportDelay)):
		return true, r.Instance == b.Instance
	}
	return r.Instance == b.Instance || b.Phase == Gone, false
}

// isNewerOfStart reports whether a report with the start time of the last accepted one
// is newer.
func (b Backend) isNewerOfStart(r Report) bool {
	switch {
	case r.Instance != b.Instance:
		return true
	case b.Phase == Gone:
		return false
	case b.Phase == Ready && r.Phase == Draining:
		// A backend server does not take back a drain, so a late report of one
		// holds too.
		return true
	}
	return r.Sequence > b.Sequence
}

// Available reports whether the backend server can get requests at now.
func (b Backend) Available(now time.Time) bool {
	return b.Phase == Ready && !b.Unverified && !now.Before(b.DownUntil)
}

// WithConnectFailure returns the state after a failed connection to the backend
// server: it gets no requests for a backoff that doubles up to maxDownTime.
func (b Backend) WithConnectFailure(now time.Time) Backend {
	b.DownUntil = now.Add(min(baseDownTime<<min(b.ConnectFailures, 8), maxDownTime))
	b.ConnectFailures++
	return b
}

// WithReplacedInstance returns the state after another backend server answered
// at the address of the given instance. If that is the current one, it is gone.
func (b Backend) WithReplacedInstance(instance string) Backend {
	if instance == b.Instance {
		b.Phase = Gone
	}
	return b
}
