package logs

import (
	"sync"
	"time"

	"github.com/phuslu/log"
)

// Kind orders lines by what they are worth when not all can be written.
type Kind uint8

// The kinds.
const (
	// Belief: what the node believes of the world changed.
	Belief Kind = iota
	// Failure: a request failed, was refused, tried again, or was slow.
	Failure
	// Routine: a request went well.
	Routine
	numKinds
)

// perSecond bounds the lines of each kind. A line costs some 10 µs with its
// share of a write, so all together stay under a fifth of a percent of a core.
var perSecond = [numKinds]float64{Belief: 50, Failure: 100, Routine: 4}

// Events writes structured lines about decisions, a bounded number a second of
// each kind; how many were left out is told with the next line of the kind. It
// is safe for concurrent use. A nil Events writes nothing.
type Events struct {
	logger *Logger
	now    func() time.Time

	mu      sync.Mutex
	buckets [numKinds]bucket
}

// bucket holds the lines that may be written.
type bucket struct {
	left    float64
	at      time.Time
	omitted int
}

// NewEvents returns events of the logger; now is the time that bounds them.
func NewEvents(l *Logger, now func() time.Time) *Events {
	e := &Events{logger: l, now: now}
	for kind := range e.buckets {
		e.buckets[kind] = bucket{left: perSecond[kind], at: now()}
	}
	return e
}

// Line begins a line about a part of the node; nil when the kind has had its
// share. The entry is written by its Msg.
func (e *Events) Line(kind Kind, part string) *log.Entry {
	if e == nil {
		return nil
	}
	omitted, allowed := e.take(kind)
	if !allowed {
		return nil
	}
	entry := e.logger.out.Info().Str("part", part)
	if omitted > 0 {
		entry = entry.Int("lines_omitted", omitted)
	}
	return entry
}

func (e *Events) take(kind Kind) (omitted int, allowed bool) {
	now := e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	b := &e.buckets[kind]
	if gained := now.Sub(b.at).Seconds() * perSecond[kind]; gained > 0 {
		b.left = min(b.left+gained, perSecond[kind])
		b.at = now
	}
	if b.left < 1 {
		b.omitted++
		return 0, false
	}
	b.left--
	omitted, b.omitted = b.omitted, 0
	return omitted, true
}
