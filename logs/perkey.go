package logs

import (
	"sync"
	"time"
)

// maxTrackedKeys bounds the keys that a PerKey remembers.
const maxTrackedKeys = 256

// PerKey limits log lines to one for each key and interval. The zero value is
// not usable; create it with NewPerKey. It is safe for concurrent use.
type PerKey struct {
	interval time.Duration

	mu   sync.Mutex
	last map[string]time.Time
}

// NewPerKey returns a limiter of one line for each key and interval.
func NewPerKey(interval time.Duration) *PerKey {
	return &PerKey{interval: interval, last: make(map[string]time.Time)}
}

// Allow reports whether a line about key can be written now. With more than
// maxTrackedKeys keys it forgets all of them, so that its memory is bounded.
func (p *PerKey) Allow(key string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last, found := p.last[key]; found && now.Sub(last) < p.interval {
		return false
	}
	if len(p.last) >= maxTrackedKeys {
		clear(p.last)
	}
	p.last[key] = now
	return true
}
