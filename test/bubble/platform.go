package bubble

import (
	"context"
	"sync"
	"time"

	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// zonedLog is the platform as zones see it: some may not reach it.
type zonedLog struct {
	eventlog.Log

	mu     sync.Mutex
	cutOff map[mesh.Zone]bool
}

// reach makes every zone reach the platform but those named.
func (l *zonedLog) reach(cutOff []mesh.Zone) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.cutOff)
	for _, z := range cutOff {
		l.cutOff[z] = true
	}
}

// from returns the platform as seen from a zone.
func (l *zonedLog) from(zone mesh.Zone) eventlog.Log { return zoneLog{l, zone} }

type zoneLog struct {
	all  *zonedLog
	zone mesh.Zone
}

// lostAfter is how long a request into a cut waits before it is given up.
const lostAfter = time.Second

// check fails after a while where the zone is cut off.
func (l zoneLog) check(ctx context.Context) error {
	l.all.mu.Lock()
	cut := l.all.cutOff[l.zone]
	l.all.mu.Unlock()
	if !cut {
		return nil
	}
	timer := time.NewTimer(lostAfter)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return eventlog.ErrUnavailable
}

// Append implements eventlog.Log.
func (l zoneLog) Append(ctx context.Context, s eventlog.Stream, data []byte) (uint64, error) {
	if err := l.check(ctx); err != nil {
		return 0, err
	}
	return l.all.Log.Append(ctx, s, data)
}

// Read implements eventlog.Log. A read that a cut overtakes is lost.
func (l zoneLog) Read(ctx context.Context, s eventlog.Stream, from uint64, wait time.Duration) ([]eventlog.Record, error) {
	if err := l.check(ctx); err != nil {
		return nil, err
	}
	records, err := l.all.Log.Read(ctx, s, from, wait)
	if lost := l.check(ctx); lost != nil {
		return nil, lost
	}
	return records, err
}

// Bounds implements eventlog.Log.
func (l zoneLog) Bounds(ctx context.Context, s eventlog.Stream) (eventlog.Bounds, error) {
	if err := l.check(ctx); err != nil {
		return eventlog.Bounds{}, err
	}
	return l.all.Log.Bounds(ctx, s)
}
