package idempotency

import "time"

// keysPerChunk is the number of entries in one part of a copied state.
const keysPerChunk = 256

// syncRetryInterval is the delay after a message that the backup did not
// acknowledge.
const syncRetryInterval = 200 * time.Millisecond

// Sync returns the primary's next message to its backup: the next part of the
// complete state, or a heartbeat once the backup has all of it. keys lists the
// keys of the shard; it is called for the first part only. Parts are sent in
// order, each after the previous one was acknowledged.
func (s Shard) Sync(now time.Time, store Store, keys func() []KeyID) (Shard, *ReplicateRequest) {
	if s.Synced {
		return s, s.replicateMessage(now, store)
	}
	if s.NextChunk == 0 {
		s.SyncKeys = keys()
	}
	from := min(s.NextChunk*keysPerChunk, len(s.SyncKeys))
	to := min(from+keysPerChunk, len(s.SyncKeys))
	m := s.replicateMessage(now, store, s.SyncKeys[from:to]...)
	m.IsStateChunk = true
	m.Chunk = s.NextChunk
	m.IsLastChunk = to == len(s.SyncKeys)
	return s, m
}

// SyncDelay returns how long until the next Sync; zero or less means now.
func (s Shard) SyncDelay(now time.Time) time.Duration { return s.NextSyncAt.Sub(now) }

// WithSyncReply returns the shard after the backup's reply to message m from
// Sync. A message of another epoch has no effect.
func (s Shard) WithSyncReply(now time.Time, c Config, m *ReplicateRequest, ack Ack) Shard {
	if m.Epoch != s.Epoch || s.Role != Primary {
		return s
	}
	if ack != Acked {
		s.NextSyncAt = now.Add(syncRetryInterval)
		return s
	}
	s.LastPeerContactAt = now
	if m.IsStateChunk && m.Chunk == s.NextChunk && !s.Synced {
		s.NextChunk++
		s.Synced = m.IsLastChunk
		s.NextSyncAt = now
	}
	if s.Synced {
		s.SyncKeys = nil
		s.NextSyncAt = now.Add(c.HeartbeatInterval)
	}
	return s
}
