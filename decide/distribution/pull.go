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
	// backoffBase is the pause after the first failure. It doubles with each further
	// one up to backoffLimit, and is multiplied by a random factor from 0.5 to 1.5.
	backoffBase  = 100 * time.Millisecond
	backoffLimit = 8 * time.Second
)

// PullState is the state of a node's own pulls: the current source, the time of the next
// pull and the part of a snapshot received. It is immutable: its methods return a
// new Lane.
type PullState struct {
	// SourceIndex is the index of the current source, modulo the number of sources.
	SourceIndex int
	// SwitchedAt is when Index last changed.
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
	// At is when the pull was decided on.
	At time.Time
}

// PullInput is the state of the pulling node from which Lane decides.
type PullInput struct {
	Host mesh.HostID
	// Served is the version in force at the node; zero if there is none.
	Served  mesh.Version
	Started time.Time
	Feed    Feed
	Role    Role
	Floor   Floor
	// PeerAhead is a node that pulled from this one with a higher offset.
	PeerAhead PeerAhead
}

// PeerAhead names a node that has more records than this one.
type PeerAhead struct {
	Source Peer
	// Offset is the offset of that node when it pulled.
	Offset uint64
}

// NeedsPull reports whether the node has to pull from others: it is no reader, or the
// log does not provide the records that it needs.
func (a PullInput) NeedsPull() bool {
	return !a.Role.ReadsLog || a.Feed.LogFailing || a.Feed.Expired || a.Feed.Diverged
}

// NextPull returns the pull to send now, and whether there is a source for it.
func (l PullState) NextPull(now time.Time, a PullInput) (OutgoingPull, bool) {
	source, found := l.selectSource(a)
	if !found {
		return OutgoingPull{}, false
	}
	r := PullRequest{
		Host: a.Host, Served: a.Served, Offset: a.Feed.Offset, Digest: a.Feed.Digest,
		Snapshot: a.Feed.Diverged, PartialID: l.Partial.ID, NextChunk: l.Partial.NextIndex(),
	}
	if !a.Floor.Known {
		r.MaxAge = max(now.Sub(a.Started), time.Millisecond)
	}
	return OutgoingPull{To: source, Request: r, Wait: pullWait, At: now}, true
}

// selectSource returns the node of the hint if that node is ahead, otherwise the
// node at Index in the list of the parent and the readers. After a failure it
// ignores the hint, and the list has all sources of the role. A node without a
// floor skips the parent, because only readers can ask the log where it ends.
func (l PullState) selectSource(a PullInput) (Peer, bool) {
	if a.PeerAhead.Offset > a.Feed.Offset && l.Failures == 0 {
		return a.PeerAhead.Source, true
	}
	sources := a.Role.Sources
	if l.Failures == 0 {
		sources = sources[:a.Role.ReaderCount]
	}
	if a.Role.Parent.Host != "" && a.Floor.Known {
		sources = append([]Peer{a.Role.Parent}, sources...)
	}
	if len(sources) == 0 {
		return Peer{}, false
	}
	return sources[l.SourceIndex%len(sources)], true
}

// AfterAnswer returns the lane after a valid answer. draw is a random number from 0
// to 1.
func (l PullState) AfterAnswer(now time.Time, a PullAnswer, draw float64) PullState {
	switch a.Kind {
	case KindBehind:
		return l.afterFailure(now, draw)
	case KindDiverged:
		l.Partial = snapshot.Partial{}
		return l.afterFailure(now, draw)
	case KindBusy:
		l.NextAt = now.Add(min(a.RetryAfter, backoffLimit))
		return l
	}
	l.Failures = 0
	l.NextAt = now
	if a.ContactKnown && a.ContactAge > staleContactAge {
		return l.withSource(now, l.SourceIndex+1)
	}
	if l.SourceIndex != 0 && now.Sub(l.SwitchedAt) > preferredSourceDelay {
		return l.withSource(now, 0)
	}
	return l
}

// AfterFailure returns the lane after a pull without an answer or with an invalid one.
// draw is a random number from 0 to 1.
func (l PullState) AfterFailure(now time.Time, draw float64) PullState {
	return l.afterFailure(now, draw)
}

// afterFailure switches to the next source and pauses with exponential backoff.
func (l PullState) afterFailure(now time.Time, draw float64) PullState {
	pause := min(backoffBase<<min(l.Failures, 10), backoffLimit)
	l.Failures++
	l.NextAt = now.Add(pause/2 + time.Duration(draw*float64(pause)))
	return l.withSource(now, l.SourceIndex+1)
}

func (l PullState) withSource(now time.Time, index int) PullState {
	l.SourceIndex = index
	l.SwitchedAt = now
	return l
}

// VerifyRecords checks an answer's records against the feed and returns those that continue
// it. It reports false, and returns none, if records are missing or the digest
// shows that one was changed in transit.
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
