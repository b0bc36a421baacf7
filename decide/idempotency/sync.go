package idempotency

import "time"

// chunkKeys is the number of entries in one part of a copied state.
const chunkKeys = 256

// syncRetry is the pause after a message that the backup did not take.
const syncRetry = 200 * time.Millisecond

// Sync returns the next message by which a primary brings the whole state to
// its backup, or tells it that it lives. keys lists the keys of the shard; it
// is called for the first part only. Parts go in order, each after the one
// before was acknowledged.
func (s Shard) Sync(now time.Time, store Store, keys func() []ID) (Shard, *Replicate) {
	if s.Synced {
		return s, s.message(now, store)
	}
	if s.Chunk == 0 {
		s.Copy = keys()
	}
	from := min(s.Chunk*chunkKeys, len(s.Copy))
	to := min(from+chunkKeys, len(s.Copy))
	m := s.message(now, store, s.Copy[from:to]...)
	m.IsCopy = true
	m.Chunk = s.Chunk
	m.Last = to == len(s.Copy)
	return s, m
}

// SyncDue returns how long until the next Sync; zero or less is now.
func (s Shard) SyncDue(now time.Time) time.Duration { return s.SyncAt.Sub(now) }

// SyncDone notes what came of a message made by Sync.
func (s Shard) SyncDone(now time.Time, c Config, m *Replicate, ack Ack) Shard {
	if m.Epoch != s.Epoch || s.Role != Primary {
		return s
	}
	if ack != Acked {
		s.SyncAt = now.Add(syncRetry)
		return s
	}
	s.HeardAt = now
	if m.IsCopy && m.Chunk == s.Chunk && !s.Synced {
		s.Chunk++
		s.Synced = m.Last
		s.SyncAt = now
	}
	if s.Synced {
		s.Copy = nil
		s.SyncAt = now.Add(c.HeartbeatInterval)
	}
	return s
}
