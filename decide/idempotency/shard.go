package idempotency

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// Role is a holder's part in its pair.
type Role uint8

// The roles.
const (
	Primary Role = iota + 1
	Backup
)

// Shard is what a holder knows of a shard it holds, beside the entries.
type Shard struct {
	Number int
	Epoch  uint64
	Role   Role
	// Self and Peer are the two holders.
	Self, Peer Holder
	// Complete is true when the holder has the whole state. Only a complete
	// holder may grant, acknowledge or be the one that a new pair is made with.
	Complete bool
	// QuarantineUntil is when a key that is not known is certain to be new.
	QuarantineUntil time.Time
	// Last is the number of the last stamp.
	Last uint64
	// Synced is true at a primary whose backup has the whole state.
	Synced bool
	// Chunk is the next part of the state to send, or to receive.
	Chunk int
	// Copy is the keys that a primary sends to its backup, in parts; nil
	// before the first part.
	Copy []ID
	// SyncAt is when a primary writes to its backup next.
	SyncAt time.Time
	// HeardAt is when the peer last answered or wrote.
	HeardAt time.Time
	// AnswerBytes is the size of the answers kept.
	AnswerBytes int
}

// Store has the entries of a node.
type Store interface {
	Get(ID) (Entry, bool)
	Put(ID, Entry)
	// Len returns the number of entries.
	Len() int
}

// Copied is an entry on its way to a backup. Times are relative, because the
// hosts' clocks differ; a delay on the way makes them later, never earlier.
type Copied struct {
	Key     ID
	Entry   Entry
	RunLeft time.Duration
	Left    time.Duration
}

// Replicate brings entries to a backup.
type Replicate struct {
	Shard  int
	Epoch  uint64
	To     Holder
	Copies []Copied
	// IsCopy marks part Chunk of the whole state, Last its last part.
	IsCopy bool
	Chunk  int
	Last   bool
	// Quarantine is the time left of the shard's quarantine.
	Quarantine time.Duration
}

// Ack is a backup's answer to a Replicate.
type Ack uint8

// The answers of a backup.
const (
	// NoAck: the backup did not take it; it may not know of the epoch yet.
	NoAck Ack = iota
	// Acked: it has the entries, and knows of no later epoch.
	Acked
	// Replaced: it knows of a later epoch, or is another life.
	Replaced
)

// Adopt returns the shard as self holds it under assignment a, and whether it
// holds it at all. before is how it was held until now; the caller clears the
// entries when the result is not carried over. previous is the epoch that a
// followed.
func Adopt(now time.Time, c Config, number int, self Holder, before Shard, a Assignment, previous uint64) (s Shard, carried bool) {
	s = Shard{Number: number, Epoch: a.Epoch, Self: self, HeardAt: now}
	s.Role, s.Peer = Primary, a.Backup
	if self == a.Backup {
		s.Role, s.Peer = Backup, a.Primary
	}
	switch {
	case a.Kind == Move && before.Epoch != 0 && before.Epoch == previous && before.Complete:
		s.Complete = true
		s.QuarantineUntil = before.QuarantineUntil
		s.AnswerBytes = before.AnswerBytes
		return s, true
	case a.Kind == Fresh:
		s.Complete = true
		s.QuarantineUntil = now.Add(c.quarantine())
	case a.Kind == First:
		s.Complete = true
	}
	return s, false
}

// mayGrant reports whether a primary may grant now. confirmed is when the log
// was last known to have no later record.
func (s Shard) mayGrant(now time.Time, c Config, confirmed time.Time) bool {
	leased := elapsed(confirmed, now) <= c.Lease
	return s.Role == Primary && s.Complete && leased
}

// elapsed returns the time from one instant to another, by the host's monotonic
// clock or by its calendar, whichever says more: the monotonic clock of a host
// that was suspended may have stood still.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// Claim takes a claim at the primary. Either it returns the reply, or a
// message that the backup must acknowledge before Grant may be asked.
func (s Shard) Claim(now time.Time, c Config, confirmed time.Time, store Store, r ClaimRequest) (Shard, Reply, *Replicate) {
	if r.To != s.Self || !s.mayGrant(now, c, confirmed) {
		return s, Reply{Status: NotHome}, nil
	}
	old, known := store.Get(r.Key)
	known = known && now.Before(old.Expires)
	if known && old.State == Claimed && old.Attempt == r.Attempt && old.Digest == r.Digest {
		return s, Reply{}, s.message(now, store, r.Key)
	}
	if known {
		reply, free := old.repeat(now, r)
		if !free {
			return s, reply, nil
		}
	}
	if !known && now.Before(s.QuarantineUntil) {
		return s, Reply{Status: Unknown}, nil
	}
	if !known && store.Len() >= c.MaxKeys {
		return s, Reply{Status: Full}, nil
	}
	runEnds := now.Add(r.Run)
	s = s.write(store, r.Key, Entry{
		Attempt: r.Attempt, Digest: r.Digest, State: Claimed,
		RunEnds: runEnds, Expires: now.Add(max(r.Run, c.GrantLife) + c.Window),
	})
	return s, Reply{}, s.message(now, store, r.Key)
}

// Grant replies to a claim that the backup acknowledged under epoch.
func (s Shard) Grant(now time.Time, c Config, confirmed time.Time, store Store, r ClaimRequest, epoch uint64) Reply {
	e, known := store.Get(r.Key)
	held := known && e.State == Claimed && e.Attempt == r.Attempt
	if s.Epoch != epoch || !held || !s.mayGrant(now, c, confirmed) {
		return Reply{Status: NotHome}
	}
	return Reply{Status: Granted}
}

// End takes the report of an attempt's end at the primary. It reports whether
// the report was taken, and returns the message for the backup, if any.
func (s Shard) End(now time.Time, c Config, store Store, r EndReport) (Shard, bool, *Replicate) {
	if r.To != s.Self || s.Role != Primary || !s.Complete {
		return s, false, nil
	}
	old, known := store.Get(r.Key)
	// A key that is not known in quarantine must stay unknown, or the next claim
	// would take it for one that never ran.
	unprovable := r.Verdict == verdict.NotRun && now.Before(s.QuarantineUntil)
	if !known && (unprovable || store.Len() >= c.MaxKeys) {
		return s, true, nil
	}
	if !known {
		old = Entry{Attempt: r.Attempt, Digest: r.Digest, State: Claimed, RunEnds: now, Expires: now.Add(c.Window)}
	}
	next, changed := old.ended(r)
	if !changed {
		return s, true, nil
	}
	if next.Answer.Size() > c.MaxAnswerBytes || s.AnswerBytes+next.Answer.Size() > c.MaxShardAnswerBytes {
		next.Answer = nil
	}
	s = s.write(store, r.Key, next)
	return s, true, s.message(now, store, r.Key)
}

// Expire notes that an entry left the window.
func (s Shard) Expire(e Entry) Shard {
	s.AnswerBytes -= e.Answer.Size()
	return s
}

// write stores an entry under the next stamp of the epoch.
func (s Shard) write(store Store, key ID, e Entry) Shard {
	s.Last++
	e.Stamp = Stamp{Epoch: s.Epoch, Number: s.Last}
	return s.put(store, key, e)
}

func (s Shard) put(store Store, key ID, e Entry) Shard {
	old, _ := store.Get(key)
	s.AnswerBytes += e.Answer.Size() - old.Answer.Size()
	store.Put(key, e)
	return s
}

// message makes the message that brings one entry to the backup.
func (s Shard) message(now time.Time, store Store, keys ...ID) *Replicate {
	m := &Replicate{
		Shard: s.Number, Epoch: s.Epoch, To: s.Peer, Quarantine: max(s.QuarantineUntil.Sub(now), 0),
	}
	for _, key := range keys {
		if e, found := store.Get(key); found {
			m.Copies = append(m.Copies, Copied{
				Key: key, Entry: e, RunLeft: e.RunEnds.Sub(now), Left: e.Expires.Sub(now),
			})
		}
	}
	return m
}

// Accept takes a message at the backup.
func (s Shard) Accept(now time.Time, c Config, store Store, m *Replicate) (Shard, Ack) {
	switch {
	case m.To != s.Self || s.Epoch > m.Epoch:
		return s, Replaced
	case s.Epoch != m.Epoch || s.Role != Backup:
		return s, NoAck
	case m.IsCopy && m.Chunk > s.Chunk:
		return s, NoAck
	case store.Len()+len(m.Copies) > 2*c.MaxKeys:
		return s, NoAck
	}
	s.HeardAt = now
	for _, copied := range m.Copies {
		s = s.merge(now, store, copied)
	}
	if until := now.Add(m.Quarantine); m.Quarantine > 0 && until.After(s.QuarantineUntil) {
		s.QuarantineUntil = until
	}
	if m.IsCopy && m.Chunk == s.Chunk {
		s.Chunk++
		s.Complete = s.Complete || m.Last
	}
	return s, Acked
}

// merge keeps the later of two states of a key.
func (s Shard) merge(now time.Time, store Store, m Copied) Shard {
	e := m.Entry
	e.RunEnds = now.Add(m.RunLeft)
	e.Expires = now.Add(m.Left)
	if e.Stamp.Epoch == s.Epoch {
		s.Last = max(s.Last, e.Stamp.Number)
	}
	if old, known := store.Get(m.Key); known && !e.Stamp.After(old.Stamp) {
		return s
	}
	return s.put(store, m.Key, e)
}
