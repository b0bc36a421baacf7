package bubble

import (
	"sync"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// sampleInterval is the time between two samples of a host's version.
const sampleInterval = 50 * time.Millisecond

// VersionMonitor samples the version in force at each host, across node restarts,
// to detect a host that returns to an older version.
type VersionMonitor struct {
	fleet *Fleet
	group sync.WaitGroup
	stop  chan struct{}

	mu        sync.Mutex
	highest   map[mesh.HostID]mesh.Version
	regressed []mesh.HostID
}

// MonitorVersions samples the versions of the given hosts until StopAndCheck.
func (f *Fleet) MonitorVersions(hosts ...mesh.HostID) *VersionMonitor {
	v := &VersionMonitor{fleet: f, stop: make(chan struct{}), highest: make(map[mesh.HostID]mesh.Version)}
	for _, id := range hosts {
		v.group.Go(func() { v.sample(id) })
	}
	return v
}

func (v *VersionMonitor) sample(id mesh.HostID) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-v.stop:
			return
		case <-ticker.C:
		}
		// Version 0 is no regression: a restarted node that serves no version yet
		// refuses its callers.
		if s, ok := v.fleet.Status(id); ok && s.Version > 0 {
			v.record(id, s.Version)
		}
	}
}

func (v *VersionMonitor) record(id mesh.HostID, version mesh.Version) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if version < v.highest[id] {
		v.regressed = append(v.regressed, id)
	}
	v.highest[id] = max(v.highest[id], version)
}

// StopAndCheck ends the sampling and fails the test if a host returned to an
// older version.
func (v *VersionMonitor) StopAndCheck() {
	close(v.stop)
	v.group.Wait()
	must.SliceEmpty(v.fleet.t, v.regressed, must.Sprint("hosts that returned to an older version"))
}
