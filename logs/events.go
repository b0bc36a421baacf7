package logs

import (
	"sync"
	"time"

	"github.com/phuslu/log"
)

// Kind is the class of a line. Each kind has a rate limit of its own.
type Kind uint8

// Kinds of lines.
const (
	// StateChange: the node's view of its backend server, its configuration, its
	// peers or itself changed.
	StateChange Kind = iota
	// Failure: a request failed, was rejected, was retried, or was slow.
	Failure
	// Success: a request succeeded.
	Success
	numKinds
)

// linesPerSecond is the rate limit of each kind. A line costs about 10 µs
// including its share of a write, so all kinds together use less than 0.2 % of a
// core.
var linesPerSecond = [numKinds]float64{StateChange: 50, Failure: 100, Success: 4}

// Events writes structured, rate-limited log lines about decisions. The first
// line of a kind after a gap contains the number of lines omitted. It is safe
// for concurrent use. A nil *Events writes nothing.
type Events struct {
	logger *Logger
	now    func() time.Time

	mu      sync.Mutex
	buckets [numKinds]bucket
}

// bucket is the token bucket of one kind.
type bucket struct {
	tokens   float64
	filledAt time.Time
	omitted  int // lines dropped since the last one that was written
}

// NewEvents returns events that are written to l. The rate limits use the time
// returned by now.
func NewEvents(l *Logger, now func() time.Time) *Events {
	e := &Events{logger: l, now: now}
	for kind := range e.buckets {
		e.buckets[kind] = bucket{tokens: linesPerSecond[kind], filledAt: now()}
	}
	return e
}

// Line starts a line about a part of the node. The caller adds fields and writes
// the line with Msg. It returns nil when the rate limit of the kind is reached.
func (e *Events) Line(kind Kind, part string) *log.Entry {
	return e.line(kind, part, log.InfoLevel)
}

// Warning is like Line, at level warn.
func (e *Events) Warning(kind Kind, part string) *log.Entry {
	return e.line(kind, part, log.WarnLevel)
}

func (e *Events) line(kind Kind, part string, level log.Level) *log.Entry {
	if e == nil {
		return nil
	}
	omitted, allowed := e.allow(kind)
	if !allowed {
		return nil
	}
	entry := e.logger.out.WithLevel(level).Str("part", part)
	if omitted > 0 {
		entry = entry.Int("lines_omitted", omitted)
	}
	return entry
}

// allow takes a token of the kind's bucket. It returns the number of lines
// omitted since the last allowed one.
func (e *Events) allow(kind Kind) (omitted int, allowed bool) {
	now := e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	b := &e.buckets[kind]
	if added := now.Sub(b.filledAt).Seconds() * linesPerSecond[kind]; added > 0 {
		b.tokens = min(b.tokens+added, linesPerSecond[kind])
		b.filledAt = now
	}
	if b.tokens < 1 {
		b.omitted++
		return 0, false
	}
	b.tokens--
	omitted, b.omitted = b.omitted, 0
	return omitted, true
}
