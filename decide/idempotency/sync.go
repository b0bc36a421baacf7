package idempotency

import "time"

// keysPerChunk is the number of entries in one part of a copied state.
const keysPerChunk = 256

// syncRetryInterval is the pause after a message that the backup did not
// acknowledge.
const syncRetryInterval = 200 * time.Millisecond

// Sync returns the primary's next message to its backup: the next part of the
// complete state, or a heartbeat once the backup has all of it. keys lists the
// keys of the shard; it is called for the first part only. Parts are sent in
// order, each after the previous one was acknowledged.
func (s Shard) Sync(now time.Time, store Store, keys func() []ID) (Shard, *Replicate) {
	if s.Synced {
		return s, s.replicateMessage(now, store)
	}
	if s.Chunk == 0 {
		s.Copy = keys()
	}
	from := min(s.Chunk*keysPerChunk, len(s.Copy))
	to := min(from+keysPerChunk, len(s.Copy))
	m := s.replicateMessage(now, store, s.Copy[from:to]...)
	m.IsCopy = true
	m.Chunk = s.Chunk
	m.Last = to == len(s.Copy)
	return s, m
}

// SyncDue returns how long until the next Sync; zero or less means now.
func (s Shard) SyncDue(now time.Time) time.Duration { return s.SyncAt.Sub(now) }

// SyncDone returns the shard after the backup's reply to message m from Sync. A
// message of another epoch has no effect.
func (s Shard) SyncDone(now time.Time, c Config, m *Replicate, ack Ack) Shard {
	if m.Epoch != s.Epoch || s.Role != Primary {
		return s
	}
	if ack != Acked {
		s.SyncAt = now.Add(syncRetryInterval)
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
