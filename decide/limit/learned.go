package limit

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

const (
	// windowSamples is the number of service times on each side of a comparison
	// of two limits. Service times vary by about 0.8 of their mean, so the ratio
	// of two means of 48 has a standard error of about 0.16.
	windowSamples = 48
	// A trial that is clearly worse ends early, so that a lower limit costs a
	// server that gains nothing from it little work: from earlySamples on if it
	// completes less than earlyRatio, from firstSamples on less than firstRatio.
	earlySamples = 12
	earlyRatio   = 0.85
	firstSamples = 6
	firstRatio   = 0.7
	// lowerGain and raiseGain are the ratios of completed work at which a lower
	// or higher limit is measurably better. A higher one is tried often, so
	// chance would accept it too often with a smaller ratio; a server that does
	// not slow down gains 1.25 or more by a step.
	lowerGain = 1.05
	raiseGain = 1.12
	// trialTimeout ends a trial without enough load to measure it, and
	// windowTimeout discards samples when none were added for that long.
	trialTimeout  = 4 * time.Second
	windowTimeout = 4 * time.Second
	// lowerInterval and raiseInterval are the times from the end of a trial to
	// the next one in the same direction. Each trial
	// that finds no gain multiplies them by lowerBackoffFactor or
	// raiseBackoffFactor, up to the maxima. A higher limit is tried more often because a
	// limit that is too low costs more than one that is too high.
	lowerInterval      = 2 * time.Second
	maxLowerInterval   = time.Minute
	lowerBackoffFactor = 3
	raiseInterval      = time.Second
	maxRaiseInterval   = 3 * time.Second
	raiseBackoffFactor = 2
	// unusedRaiseInterval is the time for one more slot while no requests wait
	// for the limit.
	unusedRaiseInterval = 2 * time.Second
	// numLevels is the number of ranges of concurrency for which service times
	// are kept apart. levelSamples is the number from which a range counts, and
	// levelWeight the weight of one sample.
	numLevels    = 16
	levelSamples = 8
	levelWeight  = 1.0 / 16
	// suspicionDistance and suspicionRatio are the conditions for a trial of a
	// lower limit: at no more than suspicionDistance of the limit, the completed
	// work was at least suspicionRatio of that at the limit.
	suspicionDistance = 0.75
	suspicionRatio    = 0.9
	// referenceWeight is the weight of one sample in the reference time of its
	// class; the first ones weigh more.
	referenceWeight = 1.0 / 128
	// recentWeight is the weight of one sample in the recent service time of its
	// class, from which the speed is reported.
	recentWeight = 1.0 / 48
)

// Learned is the number of concurrent requests that a backend server sustains,
// learned from service times. It is a value; the zero value uses all slots.
//
// Service times are divided by the reference time of their class, so that a
// change of the mix of classes does not look like a change of speed. The
// completed work at a limit is the limit divided by the mean of these ratios. A
// slow service behind raises the ratios at all limits alike and so changes no
// comparison.
//
// The limit changes only by trials: the completed work at another limit is
// compared with that at the present one, measured just before. The other limit
// stays in force if it completes measurably more.
type Learned struct {
	limit     int // zero before the first observation
	slots     int
	trial     int // the limit on trial; zero for none
	trialFrom time.Time
	base      window // at limit
	trialData window
	levels    [numLevels]mean
	reference [mesh.NumClasses]mean
	recent    [mesh.NumClasses]mean

	nextLower, nextRaise   time.Time
	lowerBackoff           time.Duration
	raiseBackoff           time.Duration
	lastWaiting            time.Time // when requests last waited for the limit
	lastUnusedRaise        time.Time
	lowered, raised, tried int
}

// mean is a moving mean and the number of its samples, at most 255.
type mean struct {
	value float64
	count uint8
}

func (m mean) add(x, weight float64) mean {
	if m.count < 255 {
		m.count++
	}
	m.value += (x - m.value) * max(weight, 1/float64(m.count))
	return m
}

// window holds the samples taken at one limit.
type window struct {
	sum   float64
	count int
	last  time.Time
}

func (w window) add(now time.Time, x float64) window {
	if w.count > 0 && now.Sub(w.last) > windowTimeout {
		w = window{}
	}
	if w.count >= 2*windowSamples { // newer samples weigh more
		w.sum, w.count = w.sum/2, w.count/2
	}
	return window{sum: w.sum + x, count: w.count + 1, last: now}
}

// work returns the completed work at a limit, in units of the reference time.
func (w window) work(limit int) float64 {
	if w.sum == 0 {
		return 0
	}
	return float64(limit) * float64(w.count) / w.sum
}

// IsActive reports whether anything was observed.
func (l Learned) IsActive() bool { return l.limit > 0 }

// Slots returns the limit in force, at most the given slots.
func (l Learned) Slots(slots int) int {
	switch {
	case l.limit == 0 || l.slots != slots:
		return slots
	case l.trial > 0:
		return min(l.trial, slots)
	}
	return min(l.limit, slots)
}

// Changes returns how often the limit was lowered and raised, and the number of
// trials.
func (l Learned) Changes() (lowered, raised, tried int) { return l.lowered, l.raised, l.tried }

// Speeds returns the completed requests of each class in 1,000 seconds, if all
// requests at the limit are of that class; zero for classes without
// observations.
func (l Learned) Speeds(slots int) (speeds [mesh.NumClasses]int) {
	for i, m := range l.recent {
		if m.value > 0 {
			speeds[i] = max(int(1000*float64(l.Slots(slots))/m.value), 1)
		}
	}
	return speeds
}

// Sample is a request that the backend server completed.
type Sample struct {
	Class   mesh.Class
	Granted time.Time
	Took    time.Duration
	// Busy is the number of slots in use when the request got its slot,
	// including its own.
	Busy int
}

// Observe returns the state after one more completed request. Transfers of
// bodies measure the link and do not count.
func (l Learned) Observe(now time.Time, slots int, s Sample) Learned {
	if slots < 1 || s.Class.LongRunning() || s.Busy < 1 || s.Took <= 0 {
		return l
	}
	if l.slots != slots || l.limit == 0 {
		l = Learned{slots: slots, limit: slots, nextLower: now.Add(lowerInterval), lastUnusedRaise: now}
	}
	i := s.Class.Index()
	took := s.Took.Seconds()
	if l.trial == 0 || l.reference[i].count == 0 {
		// A reference that followed the trial would hide part of the difference.
		l.reference[i] = l.reference[i].add(took, referenceWeight)
	}
	l.recent[i] = l.recent[i].add(took, recentWeight)
	ratio := took / l.reference[i].value
	level := levelOf(s.Busy, slots)
	l.levels[level] = l.levels[level].add(ratio, levelWeight)
	switch {
	case l.trial > 0 && s.Busy == l.trial && !s.Granted.Before(l.trialFrom):
		l.trialData = l.trialData.add(now, ratio)
	case l.trial == 0 && s.Busy == l.limit && !s.Granted.Before(l.trialFrom):
		l.base = l.base.add(now, ratio)
	}
	return l
}

// Advance returns the state after the decisions that are due: it ends or begins a
// trial. waiting is the number of requests that wait for a slot.
func (l Learned) Advance(now time.Time, waiting int) Learned {
	if l.limit == 0 {
		return l
	}
	if waiting > 0 {
		l.lastWaiting = now
	}
	if l.trial > 0 {
		return l.judge(now)
	}
	isUsed := now.Sub(l.lastWaiting) < unusedRaiseInterval
	if l.limit < l.slots && !isUsed && now.Sub(l.lastUnusedRaise) >= unusedRaiseInterval {
		l.limit++
		l.raised++
		l.lastUnusedRaise = now
		l.base, l.trialFrom = window{}, now
		return l
	}
	if l.base.count < windowSamples || now.Sub(l.base.last) > windowTimeout {
		return l
	}
	switch {
	case l.limit < l.slots && isUsed && !now.Before(l.nextRaise):
		return l.try(now, min(l.limit+step(l.limit), l.slots))
	case l.limit > 1 && !now.Before(l.nextLower) && l.suspectsSlowdown():
		return l.try(now, l.limit-step(l.limit))
	}
	return l
}

// step returns the difference of the limits that a trial compares: a third of the
// slots in use, since a smaller difference is lost in the variation of the
// service times.
func step(limit int) int { return max(limit/3, 1) }

func (l Learned) try(now time.Time, limit int) Learned {
	l.trial, l.trialFrom, l.trialData = limit, now, window{}
	l.tried++
	return l
}

// judge ends the trial when it has enough samples, is clearly worse, or has
// lasted too long.
func (l Learned) judge(now time.Time) Learned {
	gain := 0.0
	if l.trialData.count > 0 {
		gain = l.trialData.work(l.trial) / l.base.work(l.limit)
	}
	isLower := l.trial < l.limit
	switch {
	case l.trialData.count >= windowSamples:
	case l.trialData.count >= earlySamples && gain < earlyRatio:
	case l.trialData.count >= firstSamples && gain < firstRatio:
	case now.Sub(l.trialFrom) >= trialTimeout:
		gain = 0 // not measured
	default:
		return l
	}
	// A higher limit that completes about as much lengthens the service times
	// and gains nothing, so both directions need a gain.
	accepted := gain >= raiseGain || isLower && gain >= lowerGain
	if accepted {
		l.limit = l.trial
		if isLower {
			l.lowered++
		} else {
			l.raised++
		}
		l.base = l.trialData
	} else {
		l.base = window{} // measured again after the trial
	}
	l.trial, l.trialFrom, l.trialData = 0, now, window{}
	l.lastUnusedRaise = now
	switch {
	case accepted:
		l.lowerBackoff, l.raiseBackoff = lowerInterval, raiseInterval
	case isLower:
		l.lowerBackoff = min(max(lowerBackoffFactor*l.lowerBackoff, lowerInterval), maxLowerInterval)
	default:
		l.raiseBackoff = min(max(raiseBackoffFactor*l.raiseBackoff, raiseInterval), maxRaiseInterval)
	}
	if isLower {
		l.nextLower, l.nextRaise = now.Add(l.lowerBackoff), now.Add(raiseInterval)
	} else {
		l.nextRaise, l.nextLower = now.Add(l.raiseBackoff), now.Add(lowerInterval)
	}
	if accepted && isLower {
		l.nextLower = now // the next step down, if there is one, follows at once
	}
	return l
}

// suspectsSlowdown reports whether a trial of a lower limit is worth its cost:
// well below the limit, the server completed about as much work. A server that
// has only been seen full is tried as well.
func (l Learned) suspectsSlowdown() bool {
	atLimit := l.base.work(l.limit)
	known := false
	for i, m := range l.levels {
		busy := (float64(i) + 0.5) * float64(l.slots) / numLevels
		if l.slots <= numLevels {
			busy = float64(i + 1)
		}
		if m.count < levelSamples || busy > suspicionDistance*float64(l.limit) {
			continue
		}
		known = true
		if busy/m.value >= suspicionRatio*atLimit {
			return true
		}
	}
	return !known
}

// levelOf returns the range of concurrency of a number of busy slots.
func levelOf(busy, slots int) int {
	if slots <= numLevels {
		return min(busy, slots) - 1
	}
	return min(busy*numLevels/slots, numLevels-1)
}

// NextDecisionAt returns when a decision is due without further observations;
// the zero time for none.
func (l Learned) NextDecisionAt() time.Time {
	switch {
	case l.trial > 0:
		return l.trialFrom.Add(trialTimeout)
	case l.limit > 0 && l.limit < l.slots:
		at := l.lastWaiting
		if l.lastUnusedRaise.After(at) {
			at = l.lastUnusedRaise
		}
		return at.Add(unusedRaiseInterval)
	}
	return time.Time{}
}
