package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

const (
	// maxHealthScore is the worst local health score.
	maxHealthScore = 7
	// maxTimerDelay is the delay of a timer above which the node counts itself
	// as stalled.
	maxTimerDelay = 100 * time.Millisecond
)

// Probe is a pending probe: one that is not answered yet.
type Probe struct {
	Target mesh.HostID
	// Incarnation is the target's incarnation that becomes suspected if no
	// answer comes.
	Incarnation mesh.Incarnation
	SentAt      time.Time
	// DueAt is when the probe is checked next; zero before the first check.
	DueAt time.Time
	// IndirectRequested is true once indirect probes were requested from other
	// members.
	IndirectRequested bool
	// CrossZone marks a probe of another zone: its failure raises no suspicion.
	CrossZone bool
	// Requester is the node that requested this probe, and RequesterSequence its
	// sequence number; empty for a probe on the node's own behalf.
	Requester         mesh.HostID
	RequesterSequence uint64
}

// Prober is the state of a node's failure detector. It is a value: its methods
// return a modified copy.
type Prober struct {
	// PeriodStartedAt is when the current probe period began.
	PeriodStartedAt time.Time
	// PeriodCount is the number of periods.
	PeriodCount uint64
	// Sequence is the sequence number of the last probe.
	Sequence uint64
	// RoundHosts has the members that are still to be probed in the current round,
	// in random order.
	RoundHosts []mesh.HostID
	// AckedAt is when a probe was last answered.
	AckedAt time.Time
	// ResyncAt is the earliest time at which a ping with a different digest
	// starts another comparison of tables.
	ResyncAt time.Time
	// HealthScore is the local health score, 0 (healthy) to maxHealthScore. It
	// rises when probes are not answered and lengthens the node's timeouts, so
	// that a slow node does not suspect healthy ones.
	HealthScore int
}

// ScaleTimeout returns a timeout multiplied by one plus the health score.
func (p Prober) ScaleTimeout(timeout time.Duration) time.Duration {
	return timeout * time.Duration(1+p.HealthScore)
}

// WorsenHealth returns the prober with its health score one step worse.
func (p Prober) WorsenHealth() Prober {
	p.HealthScore = min(p.HealthScore+1, maxHealthScore)
	return p
}

// ProbeFailed returns the prober after a probe failed. The node's own health is in
// doubt, and its score gets worse, only if no other probe was answered since
// the failed one was sent.
func (p Prober) ProbeFailed(probe Probe) Prober {
	if p.AckedAt.After(probe.SentAt) {
		return p
	}
	return p.WorsenHealth()
}

// ProbeAcked returns the prober after a probe was answered, with its health score
// one step better.
func (p Prober) ProbeAcked(now time.Time) Prober {
	p.AckedAt = now
	p.HealthScore = max(p.HealthScore-1, 0)
	return p
}

// Stalled reports whether the node's process was paused: the current period
// should have ended more than an AckTimeout ago.
func (p Prober) Stalled(now time.Time, c Config) bool {
	return !p.PeriodStartedAt.IsZero() && now.Sub(p.PeriodStartedAt) > c.ProbeInterval+c.AckTimeout
}

// Action is what the caller of Prober.CheckProbe does with a pending probe.
type Action uint8

// The actions.
const (
	// Wait until Probe.DueAt.
	Wait Action = iota
	// RequestIndirect: request indirect probes from other members, then wait until
	// Probe.DueAt.
	RequestIndirect
	// Fail: remove the probe and suspect its target.
	Fail
	// Drop: remove the probe without a suspicion.
	Drop
)

// CheckProbe returns the probe with its next DueAt, and what to do with it. If the
// check itself runs late, the node was stalled and the answer can be in its
// inbox: the probe is then checked again after an AckTimeout.
func (p Prober) CheckProbe(probe Probe, now time.Time, c Config) (Probe, Action) {
	canSuspect := probe.Requester == "" && !probe.CrossZone
	switch {
	case probe.DueAt.IsZero():
		wait := c.SuspectTimeout
		if canSuspect {
			wait = c.AckTimeout
		}
		probe.DueAt = probe.SentAt.Add(p.ScaleTimeout(wait))
		return probe, Wait
	case now.Before(probe.DueAt):
		return probe, Wait
	case now.Sub(probe.DueAt) > maxTimerDelay:
		probe.DueAt = now.Add(c.AckTimeout)
		return probe, Wait
	case !canSuspect:
		return probe, Drop
	case !probe.IndirectRequested:
		probe.IndirectRequested = true
		probe.DueAt = probe.SentAt.Add(p.ScaleTimeout(c.SuspectTimeout))
		return probe, RequestIndirect
	default:
		return probe, Fail
	}
}

// Successor returns the next usable host after self in ring, which has a zone's
// members in rank order.
func Successor(ring []mesh.HostID, self mesh.HostID, usable func(mesh.HostID) bool) (mesh.HostID, bool) {
	start, _ := slices.BinarySearchFunc(ring, self, compareRank)
	for i := 1; i < len(ring); i++ {
		id := ring[(start+i)%len(ring)]
		if id != self && usable(id) {
			return id, true
		}
	}
	return "", false
}

// Confirmers returns the usable members that follow a suspected one in its ring,
// at most maxReporters+1. They probe it at once to confirm the suspicion or to
// end it.
func Confirmers(ring []mesh.HostID, suspect mesh.HostID, usable func(mesh.HostID) bool) []mesh.HostID {
	start, _ := slices.BinarySearchFunc(ring, suspect, compareRank)
	var confirmers []mesh.HostID
	for i := 1; i < len(ring) && len(confirmers) <= maxReporters; i++ {
		id := ring[(start+i)%len(ring)]
		if id != suspect && usable(id) {
			confirmers = append(confirmers, id)
		}
	}
	return confirmers
}

// NextRandom returns the next usable member of the random round. A finished
// round is replaced by a new shuffle of ring, so that no member waits longer
// than two rounds. The result is false if no member of ring is usable.
func (p Prober) NextRandom(ring []mesh.HostID, usable func(mesh.HostID) bool, random *rand.Rand) (Prober, mesh.HostID, bool) {
	for range 2 {
		for len(p.RoundHosts) > 0 {
			id := p.RoundHosts[0]
			p.RoundHosts = p.RoundHosts[1:]
			if usable(id) {
				return p, id, true
			}
		}
		p.RoundHosts = slices.Clone(ring)
		random.Shuffle(len(p.RoundHosts), func(i, j int) { p.RoundHosts[i], p.RoundHosts[j] = p.RoundHosts[j], p.RoundHosts[i] })
	}
	p.RoundHosts = nil
	return p, "", false
}
