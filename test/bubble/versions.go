package bubble

import (
	"sync"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// sampleInterval is the grain at which versions are watched.
const sampleInterval = 50 * time.Millisecond

// Versions watches the version that each host serves, across its restarts.
type Versions struct {
	fleet *Fleet
	group sync.WaitGroup
	stop  chan struct{}

	mu      sync.Mutex
	highest map[mesh.HostID]mesh.Version
	fell    []mesh.HostID
}

// WatchVersions begins to watch the hosts named.
func (f *Fleet) WatchVersions(hosts ...mesh.HostID) *Versions {
	v := &Versions{fleet: f, stop: make(chan struct{}), highest: make(map[mesh.HostID]mesh.Version)}
	for _, id := range hosts {
		v.group.Go(func() { v.watch(id) })
	}
	return v
}

func (v *Versions) watch(id mesh.HostID) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-v.stop:
			return
		case <-ticker.C:
		}
		// A node that serves no version yet refuses its callers.
		if s, ok := v.fleet.Status(id); ok && s.Version > 0 {
			v.note(id, s.Version)
		}
	}
}

func (v *Versions) note(id mesh.HostID, version mesh.Version) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if version < v.highest[id] {
		v.fell = append(v.fell, id)
	}
	v.highest[id] = max(v.highest[id], version)
}

// Check ends the watch and fails the test if a host went back.
func (v *Versions) Check() {
	close(v.stop)
	v.group.Wait()
	must.SliceEmpty(v.fleet.t, v.fell, must.Sprint("hosts that went back to an older version"))
}
