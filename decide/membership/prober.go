package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

const (
	// maxHealth bounds the local health score.
	maxHealth = 7
	// lateAfter is the lateness of a timer from which on a node counts itself
	// as held up.
	lateAfter = 100 * time.Millisecond
)

// Probe is a probe that was not answered yet.
type Probe struct {
	Target mesh.HostID
	// Incarnation is the one that is suspected when no answer comes.
	Incarnation mesh.Incarnation
	SentAt      time.Time
	// DueAt is when the probe is looked at next.
	DueAt time.Time
	// Helped is true once others were asked to probe as well.
	Helped bool
	// Across marks a probe of another zone: its failure accuses nobody.
	Across bool
	// For is the node that asked for this probe, with its own sequence number;
	// empty for a probe of one's own.
	For         mesh.HostID
	ForSequence uint64
}

// Prober is the state of a node's probing. It is a value.
type Prober struct {
	// TickedAt is when the last period began.
	TickedAt time.Time
	Ticks    uint64
	// Sequence is the number of the last probe.
	Sequence uint64
	// Round has the members still to probe in this round, in random order.
	Round []mesh.HostID
	// AckedAt is when a probe was last answered.
	AckedAt time.Time
	// ResyncAt is the earliest instant to compare tables again because a probe
	// showed a difference.
	ResyncAt time.Time
	// Health is zero when the node itself is well; it grows when answers stay
	// out, and stretches the node's timeouts, so that a slow node does not
	// accuse healthy ones.
	Health int
}

// Stretch returns a timeout lengthened by the node's own health.
func (p Prober) Stretch(timeout time.Duration) time.Duration {
	return timeout * time.Duration(1+p.Health)
}

// Worse returns the prober with its health one step worse.
func (p Prober) Worse() Prober {
	p.Health = min(p.Health+1, maxHealth)
	return p
}

// Failed returns the prober after a probe failed. Its own health is in doubt
// only if nobody else answered since the probe was sent.
func (p Prober) Failed(probe Probe) Prober {
	if p.AckedAt.After(probe.SentAt) {
		return p
	}
	return p.Worse()
}

// Acked returns the prober after a probe was answered, one step healthier.
func (p Prober) Acked(now time.Time) Prober {
	p.AckedAt = now
	p.Health = max(p.Health-1, 0)
	return p
}

// Slept reports whether the node itself was stopped: its period is long over.
func (p Prober) Slept(now time.Time, c Config) bool {
	return !p.TickedAt.IsZero() && now.Sub(p.TickedAt) > c.Period+c.AckTimeout
}

// Action is what is to be done about a probe.
type Action uint8

// The actions.
const (
	// Wait until Probe.DueAt.
	Wait Action = iota
	// Help: ask others to probe the target too, then wait until Probe.DueAt.
	Help
	// Fail: give the probe up and suspect its target.
	Fail
	// Drop: give the probe up; it accuses nobody.
	Drop
)

// Check looks at a probe under way. A node that looks far too late was itself
// held up: the answer may be in its inbox, so it looks once more.
func (p Prober) Check(probe Probe, now time.Time, c Config) (Probe, Action) {
	own := probe.For == "" && !probe.Across
	switch {
	case probe.DueAt.IsZero():
		wait := c.FailTimeout
		if own {
			wait = c.AckTimeout
		}
		probe.DueAt = probe.SentAt.Add(p.Stretch(wait))
		return probe, Wait
	case now.Before(probe.DueAt):
		return probe, Wait
	case now.Sub(probe.DueAt) > lateAfter:
		probe.DueAt = now.Add(c.AckTimeout)
		return probe, Wait
	case !own:
		return probe, Drop
	case !probe.Helped:
		probe.Helped = true
		probe.DueAt = probe.SentAt.Add(p.Stretch(c.FailTimeout))
		return probe, Help
	default:
		return probe, Fail
	}
}

// Successor returns the next host after self in the ring of a zone's members
// in rank order, leaving out those that usable refuses.
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

// Checkers returns the members after a suspected one in its ring, which probe
// it at once to confirm or to end the suspicion.
func Checkers(ring []mesh.HostID, suspect mesh.HostID, usable func(mesh.HostID) bool) []mesh.HostID {
	start, _ := slices.BinarySearchFunc(ring, suspect, compareRank)
	var checkers []mesh.HostID
	for i := 1; i < len(ring) && len(checkers) <= maxAccusers; i++ {
		id := ring[(start+i)%len(ring)]
		if id != suspect && usable(id) {
			checkers = append(checkers, id)
		}
	}
	return checkers
}

// Draw takes the next member of the random round, which is drawn anew from
// ring when it is used up, so that nobody waits longer than two rounds.
func (p Prober) Draw(ring []mesh.HostID, usable func(mesh.HostID) bool, random *rand.Rand) (Prober, mesh.HostID, bool) {
	for range 2 {
		for len(p.Round) > 0 {
			id := p.Round[0]
			p.Round = p.Round[1:]
			if usable(id) {
				return p, id, true
			}
		}
		p.Round = slices.Clone(ring)
		random.Shuffle(len(p.Round), func(i, j int) { p.Round[i], p.Round[j] = p.Round[j], p.Round[i] })
	}
	p.Round = nil
	return p, "", false
}
