package distribution

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/decide/snapshot"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

const (
	// pullWait is how long a pulled node is allowed to hold its answer.
	pullWait = 10 * time.Second
	// staleContactAge is the age of the answering node's last contact with the log
	// above which the next source is tried. A tree of four levels stays below it
	// while no records come.
	staleContactAge = time.Minute
	// preferredSourceDelay is how long a node keeps another source before it
	// returns to its first one.
	preferredSourceDelay = 30 * time.Second
	// backoffBase is the delay after the first failure. It doubles with each
	// further one up to backoffLimit, and is multiplied by a random factor from
	// 0.5 to 1.5.
	backoffBase  = 100 * time.Millisecond
	backoffLimit = 8 * time.Second
)

// PullState is the state of a node's own pulls: the current source, the time of
// the next pull and the chunks of a snapshot received so far. It is immutable:
// its methods return a new PullState.
type PullState struct {
	// SourceIndex is the index of the current source, modulo the number of sources.
	SourceIndex int
	// SwitchedAt is when SourceIndex last changed.
	SwitchedAt time.Time
	// Failures counts consecutive failures.
	Failures int
	// NextAt is the earliest time of the next pull.
	NextAt time.Time
	// Partial has the chunks of a snapshot received so far.
	Partial snapshot.Partial
}

// OutgoingPull is a pull to send. It is comparable.
type OutgoingPull struct {
	To      Peer
	Request PullRequest
	// Wait is how long the pulled node is allowed to hold its answer.
	Wait time.Duration
	// At is when NextPull returned the pull.
	At time.Time
}

// PullInput is the state of the pulling node from which PullState.NextPull decides.
type PullInput struct {
	Host mesh.HostID
	// Served is the version in force at the node; zero if there is none.
	Served    mesh.Version
	StartedAt time.Time
	Feed      Feed
	Role      Role
	Floor     Floor
	// PeerAhead is a node that pulled from this one with a higher offset.
	PeerAhead PeerAhead
}

// PeerAhead names a node that has more records than this one.
type PeerAhead struct {
	Peer Peer
	// Offset is the offset of that node when it pulled.
	Offset uint64
}

// NeedsPull reports whether the node has to pull from others: it does not read
// the log, or the log does not provide the records that it needs.
func (in PullInput) NeedsPull() bool {
	return !in.Role.ReadsLog || in.Feed.LogFailing || in.Feed.Expired || in.Feed.Diverged
}

// NextPull returns the pull to send now, and whether there is a source for it.
func (s PullState) NextPull(now time.Time, in PullInput) (OutgoingPull, bool) {
	source, found := s.selectSource(in)
	if !found {
		return OutgoingPull{}, false
	}
	r := PullRequest{
		Host: in.Host, Served: in.Served, Offset: in.Feed.Offset, Digest: in.Feed.Digest,
		Snapshot: in.Feed.Diverged, PartialID: s.Partial.ID, NextChunk: s.Partial.NextIndex(),
	}
	if !in.Floor.Known {
		r.MaxAge = max(now.Sub(in.StartedAt), time.Millisecond)
	}
	return OutgoingPull{To: source, Request: r, Wait: pullWait, At: now}, true
}

// selectSource returns the node in PeerAhead if it has more records than this one,
// otherwise the node at SourceIndex in the list of the parent and the readers.
// After a failure it ignores PeerAhead, and the list has all sources of the role.
// A node without a version floor skips the parent, because only readers can request
// the newest offset of the log.
func (s PullState) selectSource(in PullInput) (Peer, bool) {
	if in.PeerAhead.Offset > in.Feed.Offset && s.Failures == 0 {
		return in.PeerAhead.Peer, true
	}
	sources := in.Role.Sources
	if s.Failures == 0 {
		sources = sources[:in.Role.ReaderCount]
	}
	if in.Role.Parent.Host != "" && in.Floor.Known {
		sources = append([]Peer{in.Role.Parent}, sources...)
	}
	if len(sources) == 0 {
		return Peer{}, false
	}
	return sources[s.SourceIndex%len(sources)], true
}

// AfterAnswer returns the state after a valid answer. draw is a random number
// from 0 to 1.
func (s PullState) AfterAnswer(now time.Time, a PullAnswer, draw float64) PullState {
	switch a.Kind {
	case KindBehind:
		return s.afterFailure(now, draw)
	case KindDiverged:
		s.Partial = snapshot.Partial{}
		return s.afterFailure(now, draw)
	case KindBusy:
		s.NextAt = now.Add(min(a.RetryAfter, backoffLimit))
		return s
	}
	s.Failures = 0
	s.NextAt = now
	if a.ContactKnown && a.ContactAge > staleContactAge {
		return s.withSource(now, s.SourceIndex+1)
	}
	if s.SourceIndex != 0 && now.Sub(s.SwitchedAt) > preferredSourceDelay {
		return s.withSource(now, 0)
	}
	return s
}

// AfterFailure returns the state after a pull without an answer or with an
// invalid one. draw is a random number from 0 to 1.
func (s PullState) AfterFailure(now time.Time, draw float64) PullState {
	return s.afterFailure(now, draw)
}

// afterFailure switches to the next source and delays the next pull with
// exponential backoff.
func (s PullState) afterFailure(now time.Time, draw float64) PullState {
	delay := min(backoffBase<<min(s.Failures, 10), backoffLimit)
	s.Failures++
	s.NextAt = now.Add(delay/2 + time.Duration(draw*float64(delay)))
	return s.withSource(now, s.SourceIndex+1)
}

func (s PullState) withSource(now time.Time, index int) PullState {
	s.SourceIndex = index
	s.SwitchedAt = now
	return s
}

// VerifyRecords checks an answer's records against the feed and returns those
// that continue it. It reports false, and returns none, if records are missing
// or the digest shows that one was changed in transit.
func VerifyRecords(f Feed, a PullAnswer) (fresh []Record, ok bool) {
	fresh, gap := f.Accept(a.Records)
	if gap {
		return nil, false
	}
	if len(fresh) > 0 && f.Digest.Extend(fresh) != a.Digest {
		return nil, false
	}
	return fresh, true
}
