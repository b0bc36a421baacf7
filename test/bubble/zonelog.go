package bubble

import (
	"context"
	"sync"
	"time"

	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// partitionedLog is the platform's log, which some zones cannot reach.
type partitionedLog struct {
	eventlog.Log

	mu          sync.Mutex
	partitioned map[mesh.Zone]bool
}

// setPartitionedZones replaces the set of zones that cannot reach the platform.
func (l *partitionedLog) setPartitionedZones(zones []mesh.Zone) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.partitioned)
	for _, z := range zones {
		l.partitioned[z] = true
	}
}

// viewFrom returns the log as the hosts of a zone reach it.
func (l *partitionedLog) viewFrom(zone mesh.Zone) eventlog.Log { return zoneLog{l, zone} }

// zoneLog is the log as the hosts of one zone reach it.
type zoneLog struct {
	shared *partitionedLog
	zone   mesh.Zone
}

// partitionTimeout is the time until a request from a partitioned zone fails.
const partitionTimeout = time.Second

// checkReachable returns nil when the zone reaches the platform. Otherwise it
// returns ErrUnavailable after partitionTimeout, or earlier when ctx ends.
func (l zoneLog) checkReachable(ctx context.Context) error {
	l.shared.mu.Lock()
	partitioned := l.shared.partitioned[l.zone]
	l.shared.mu.Unlock()
	if !partitioned {
		return nil
	}
	timer := time.NewTimer(partitionTimeout)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return eventlog.ErrUnavailable
}

// Append implements eventlog.Log.
func (l zoneLog) Append(ctx context.Context, s eventlog.Stream, data []byte) (uint64, error) {
	if err := l.checkReachable(ctx); err != nil {
		return 0, err
	}
	return l.shared.Log.Append(ctx, s, data)
}

// Read implements eventlog.Log. It also fails when the zone is partitioned by the
// time the records have been read.
func (l zoneLog) Read(ctx context.Context, s eventlog.Stream, from uint64, wait time.Duration) ([]eventlog.Record, error) {
	if err := l.checkReachable(ctx); err != nil {
		return nil, err
	}
	records, err := l.shared.Log.Read(ctx, s, from, wait)
	if partitionErr := l.checkReachable(ctx); partitionErr != nil {
		return nil, partitionErr
	}
	return records, err
}

// Bounds implements eventlog.Log.
func (l zoneLog) Bounds(ctx context.Context, s eventlog.Stream) (eventlog.Bounds, error) {
	if err := l.checkReachable(ctx); err != nil {
		return eventlog.Bounds{}, err
	}
	return l.shared.Log.Bounds(ctx, s)
}
