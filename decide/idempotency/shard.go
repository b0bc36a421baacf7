package idempotency

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// Role is a holder's role in its pair.
type Role uint8

// The roles. The primary decides claims and replicates them to the backup.
const (
	Primary Role = iota + 1
	Backup
)

// Shard is a holder's state of a shard, except for the entries, which are in the
// Store. It is a value: its methods return a modified copy.
type Shard struct {
	Number int
	Epoch  uint64
	Role   Role
	// Self and Peer are the two holders.
	Self, Peer Holder
	// Complete is true if the holder has the complete state. Only a complete
	// holder can grant claims, accept reports of ended attempts, or continue the
	// shard in a new pair.
	Complete bool
	// QuarantineUntil is the end of the quarantine: from then on a key without
	// an entry is certain to be new.
	QuarantineUntil time.Time
	// LastRevisionNumber is the number of the last revision of the epoch.
	LastRevisionNumber uint64
	// Synced is true at a primary whose backup has the complete state.
	Synced bool
	// NextChunk is the index of the next part of the state to send or to receive.
	NextChunk int
	// SyncKeys has the keys of the state that a primary sends to its backup in
	// parts; nil before the first part.
	SyncKeys []KeyID
	// NextSyncAt is when a primary sends its next message to the backup.
	NextSyncAt time.Time
	// LastPeerContactAt is when the peer last acknowledged or sent a message.
	LastPeerContactAt time.Time
	// ResponseBytes is the total size of the stored responses.
	ResponseBytes int
}

// Store has the entries of all shards that a node holds.
type Store interface {
	Get(KeyID) (Entry, bool)
	Put(KeyID, Entry)
	// Len returns the number of entries of all shards.
	Len() int
}

// ReplicatedEntry is an entry in a message to a backup. Its times are relative
// because the hosts' clocks differ; transmission delay makes them later, never
// earlier.
type ReplicatedEntry struct {
	Key   KeyID
	Entry Entry
	// RunRemaining is the time until Entry.RunDeadline.
	RunRemaining time.Duration
	// TTL is the time until Entry.ExpiresAt.
	TTL time.Duration
}

// ReplicateRequest is a message from a primary to its backup. It carries
// entries, or none as a heartbeat.
type ReplicateRequest struct {
	Shard   int
	Epoch   uint64
	To      Holder
	Entries []ReplicatedEntry
	// IsStateChunk marks part Chunk of the complete state, IsLastChunk its last
	// part.
	IsStateChunk bool
	Chunk        int
	IsLastChunk  bool
	// QuarantineRemaining is the remaining time of the shard's quarantine.
	QuarantineRemaining time.Duration
}

// Ack is a backup's reply to a ReplicateRequest.
type Ack uint8

// The replies of a backup.
const (
	// NotAcked: the backup did not accept the message, for example because it has
	// not read the record of the epoch yet.
	NotAcked Ack = iota
	// Acked: the backup has the entries, and has read of no later epoch.
	Acked
	// Superseded: the backup has read of a later epoch, or is another process
	// than the holder addressed.
	Superseded
)

// Adopt returns the shard as self holds it under assignment a, which must name
// self. before is the shard as self held it until now, and previousEpoch the
// epoch that a replaced. carried reports whether self keeps its state; if not, the
// caller deletes the shard's entries.
func Adopt(now time.Time, c Config, number int, self Holder, before Shard, a Assignment, previousEpoch uint64) (s Shard, carried bool) {
	s = Shard{Number: number, Epoch: a.Epoch, Self: self, LastPeerContactAt: now}
	s.Role, s.Peer = Primary, a.Backup
	if self == a.Backup {
		s.Role, s.Peer = Backup, a.Primary
	}
	switch {
	case a.Kind == Move && before.Epoch != 0 && before.Epoch == previousEpoch && before.Complete:
		s.Complete = true
		s.QuarantineUntil = before.QuarantineUntil
		s.ResponseBytes = before.ResponseBytes
		return s, true
	case a.Kind == Fresh:
		s.Complete = true
		s.QuarantineUntil = now.Add(c.quarantineTime())
	case a.Kind == First:
		s.Complete = true
	}
	return s, false
}

// canGrant reports whether the holder is a complete primary with a valid lease.
// confirmed is the last time at which the node had read every record of the keys
// stream.
func (s Shard) canGrant(now time.Time, c Config, confirmed time.Time) bool {
	leased := elapsed(confirmed, now) <= c.Lease
	return s.Role == Primary && s.Complete && leased
}

// elapsed returns the time from one instant to another by the monotonic clock or
// by the wall clock, whichever is longer: the monotonic clock can stop while a
// host is suspended.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// Claim handles a claim at the primary. It returns either the reply, or a
// message that the backup must acknowledge before Grant is called.
func (s Shard) Claim(now time.Time, c Config, confirmed time.Time, store Store, r ClaimRequest) (Shard, Reply, *ReplicateRequest) {
	if r.To != s.Self || !s.canGrant(now, c, confirmed) {
		return s, Reply{Status: NotPrimary}, nil
	}
	old, known := store.Get(r.Key)
	known = known && now.Before(old.ExpiresAt)
	if known && old.State == Claimed && old.Attempt == r.Attempt && old.Digest == r.Digest {
		return s, Reply{}, s.replicateMessage(now, store, r.Key)
	}
	if known {
		reply, free := old.replyToClaim(now, r)
		if !free {
			return s, reply, nil
		}
	}
	if !known && now.Before(s.QuarantineUntil) {
		return s, Reply{Status: OutcomeUnknown}, nil
	}
	if !known && store.Len() >= c.MaxKeys {
		return s, Reply{Status: KeyTableFull}, nil
	}
	runDeadline := now.Add(r.RunTimeout)
	s = s.putWithRevision(store, r.Key, Entry{
		Attempt: r.Attempt, Digest: r.Digest, State: Claimed,
		RunDeadline: runDeadline, ExpiresAt: now.Add(max(r.RunTimeout, c.GrantTTL) + c.Window),
	})
	return s, Reply{}, s.replicateMessage(now, store, r.Key)
}

// Grant returns the reply to a claim that the backup acknowledged under epoch.
func (s Shard) Grant(now time.Time, c Config, confirmed time.Time, store Store, r ClaimRequest, epoch uint64) Reply {
	e, known := store.Get(r.Key)
	held := known && e.State == Claimed && e.Attempt == r.Attempt
	if s.Epoch != epoch || !held || !s.canGrant(now, c, confirmed) {
		return Reply{Status: NotPrimary}
	}
	return Reply{Status: Granted}
}

// End handles the report of an attempt's end at the primary. It reports whether
// the report was accepted, and returns the message for the backup, if any.
func (s Shard) End(now time.Time, c Config, store Store, r EndReport) (Shard, bool, *ReplicateRequest) {
	if r.To != s.Self || s.Role != Primary || !s.Complete {
		return s, false, nil
	}
	old, known := store.Get(r.Key)
	// In quarantine a report must not create an entry that says that the key did
	// not run: an earlier attempt can have run, and the next claim would be
	// granted.
	isUnconfirmed := r.Verdict == verdict.NotRun && now.Before(s.QuarantineUntil)
	if !known && (isUnconfirmed || store.Len() >= c.MaxKeys) {
		return s, true, nil
	}
	if !known {
		old = Entry{Attempt: r.Attempt, Digest: r.Digest, State: Claimed, RunDeadline: now, ExpiresAt: now.Add(c.Window)}
	}
	next, changed := old.withEnd(r)
	if !changed {
		return s, true, nil
	}
	if next.Response.Size() > c.MaxResponseBytes || s.ResponseBytes+next.Response.Size() > c.MaxShardResponseBytes {
		next.Response = nil
	}
	s = s.putWithRevision(store, r.Key, next)
	return s, true, s.replicateMessage(now, store, r.Key)
}

// RemoveEntry returns the shard after an expired entry was deleted.
func (s Shard) RemoveEntry(e Entry) Shard {
	s.ResponseBytes -= e.Response.Size()
	return s
}

// putWithRevision stores an entry with the next revision of the epoch.
func (s Shard) putWithRevision(store Store, key KeyID, e Entry) Shard {
	s.LastRevisionNumber++
	e.Revision = Revision{Epoch: s.Epoch, Number: s.LastRevisionNumber}
	return s.putEntry(store, key, e)
}

// putEntry stores an entry and updates ResponseBytes.
func (s Shard) putEntry(store Store, key KeyID, e Entry) Shard {
	old, _ := store.Get(key)
	s.ResponseBytes += e.Response.Size() - old.Response.Size()
	store.Put(key, e)
	return s
}

// replicateMessage returns the message that carries the entries of keys to the
// backup.
func (s Shard) replicateMessage(now time.Time, store Store, keys ...KeyID) *ReplicateRequest {
	m := &ReplicateRequest{
		Shard: s.Number, Epoch: s.Epoch, To: s.Peer, QuarantineRemaining: max(s.QuarantineUntil.Sub(now), 0),
	}
	for _, key := range keys {
		if e, found := store.Get(key); found {
			m.Entries = append(m.Entries, ReplicatedEntry{
				Key: key, Entry: e, RunRemaining: e.RunDeadline.Sub(now), TTL: e.ExpiresAt.Sub(now),
			})
		}
	}
	return m
}

// ApplyReplicate handles a message from the primary at the backup. A part of the
// state is not acknowledged before the parts that precede it.
func (s Shard) ApplyReplicate(now time.Time, c Config, store Store, m *ReplicateRequest) (Shard, Ack) {
	switch {
	case m.To != s.Self || s.Epoch > m.Epoch:
		return s, Superseded
	case s.Epoch != m.Epoch || s.Role != Backup:
		return s, NotAcked
	case m.IsStateChunk && m.Chunk > s.NextChunk:
		return s, NotAcked
	case store.Len()+len(m.Entries) > 2*c.MaxKeys:
		return s, NotAcked
	}
	s.LastPeerContactAt = now
	for _, replicated := range m.Entries {
		s = s.mergeEntry(now, store, replicated)
	}
	if until := now.Add(m.QuarantineRemaining); m.QuarantineRemaining > 0 && until.After(s.QuarantineUntil) {
		s.QuarantineUntil = until
	}
	if m.IsStateChunk && m.Chunk == s.NextChunk {
		s.NextChunk++
		s.Complete = s.Complete || m.IsLastChunk
	}
	return s, Acked
}

// mergeEntry stores a replicated entry unless the store has a later state of the
// key.
func (s Shard) mergeEntry(now time.Time, store Store, replicated ReplicatedEntry) Shard {
	e := replicated.Entry
	e.RunDeadline = now.Add(replicated.RunRemaining)
	e.ExpiresAt = now.Add(replicated.TTL)
	if e.Revision.Epoch == s.Epoch {
		s.LastRevisionNumber = max(s.LastRevisionNumber, e.Revision.Number)
	}
	if old, known := store.Get(replicated.Key); known && !e.Revision.After(old.Revision) {
		return s
	}
	return s.putEntry(store, replicated.Key, e)
}
