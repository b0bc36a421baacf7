package spread

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

// Lane is the state of a node's own pulls: the current source, the time of the next
// pull and the part of a snapshot received. It is immutable: its methods return a
// new Lane.
type Lane struct {
	// Index is the index of the current source, modulo the number of sources.
	Index int
	// SwitchedAt is when Index last changed.
	SwitchedAt time.Time
	// Failures counts consecutive failures.
	Failures int
	// NextAt is the earliest time of the next pull.
	NextAt time.Time
	// Part has the chunks of a snapshot received so far.
	Part snapshot.Partial
}

// Ask is a pull to send. It is comparable.
type Ask struct {
	To      Source
	Request Request
	// Wait is how long the pulled node is allowed to hold its answer.
	Wait time.Duration
	// At is when the pull was decided on.
	At time.Time
}

// Asker is the state of the pulling node from which Lane decides.
type Asker struct {
	Host mesh.HostID
	// Served is the version in force at the node; zero if there is none.
	Served  mesh.Version
	Started time.Time
	Feed    Feed
	Role    Role
	Floor   Floor
	// Hint is a node that pulled from this one with a higher offset.
	Hint Hint
}

// Hint names a node that has more records than this one.
type Hint struct {
	Source Source
	// Offset is the offset of that node when it pulled.
	Offset uint64
}

// Wants reports whether the node has to pull from others: it is no reader, or the
// log does not provide the records that it needs.
func (a Asker) Wants() bool {
	return !a.Role.Reader || a.Feed.LogFailing || a.Feed.Lost || a.Feed.Diverged
}

// Next returns the pull to send now, and whether there is a source for it.
func (l Lane) Next(now time.Time, a Asker) (Ask, bool) {
	source, found := l.selectSource(a)
	if !found {
		return Ask{}, false
	}
	r := Request{
		Host: a.Host, Served: a.Served, Offset: a.Feed.Offset, Digest: a.Feed.Digest,
		Snapshot: a.Feed.Diverged, Part: l.Part.ID, Chunk: l.Part.Next(),
	}
	if !a.Floor.Known {
		r.MaxAge = max(now.Sub(a.Started), time.Millisecond)
	}
	return Ask{To: source, Request: r, Wait: pullWait, At: now}, true
}

// selectSource returns the node of the hint if that node is ahead, otherwise the
// node at Index in the list of the parent and the readers. After a failure it
// ignores the hint, and the list has all sources of the role. A node without a
// floor skips the parent, because only readers can ask the log where it ends.
func (l Lane) selectSource(a Asker) (Source, bool) {
	if a.Hint.Offset > a.Feed.Offset && l.Failures == 0 {
		return a.Hint.Source, true
	}
	sources := a.Role.Sources
	if l.Failures == 0 {
		sources = sources[:a.Role.Readers]
	}
	if a.Role.Parent.Host != "" && a.Floor.Known {
		sources = append([]Source{a.Role.Parent}, sources...)
	}
	if len(sources) == 0 {
		return Source{}, false
	}
	return sources[l.Index%len(sources)], true
}

// Answered returns the lane after a valid answer. draw is a random number from 0
// to 1.
func (l Lane) Answered(now time.Time, a Answer, draw float64) Lane {
	switch a.Kind {
	case Behind:
		return l.afterFailure(now, draw)
	case Diverged:
		l.Part = snapshot.Partial{}
		return l.afterFailure(now, draw)
	case Busy:
		l.NextAt = now.Add(min(a.RetryAfter, backoffLimit))
		return l
	}
	l.Failures = 0
	l.NextAt = now
	if a.ContactKnown && a.ContactAge > staleContactAge {
		return l.withSource(now, l.Index+1)
	}
	if l.Index != 0 && now.Sub(l.SwitchedAt) > preferredSourceDelay {
		return l.withSource(now, 0)
	}
	return l
}

// Failed returns the lane after a pull without an answer or with an invalid one.
// draw is a random number from 0 to 1.
func (l Lane) Failed(now time.Time, draw float64) Lane { return l.afterFailure(now, draw) }

// afterFailure switches to the next source and pauses with exponential backoff.
func (l Lane) afterFailure(now time.Time, draw float64) Lane {
	pause := min(backoffBase<<min(l.Failures, 10), backoffLimit)
	l.Failures++
	l.NextAt = now.Add(pause/2 + time.Duration(draw*float64(pause)))
	return l.withSource(now, l.Index+1)
}

func (l Lane) withSource(now time.Time, index int) Lane {
	l.Index = index
	l.SwitchedAt = now
	return l
}

// Take checks an answer's records against the feed and returns those that continue
// it. It reports false, and returns none, if records are missing or the digest
// shows that one was changed in transit.
func Take(f Feed, a Answer) (fresh []Record, ok bool) {
	fresh, gap := f.Accept(a.Records)
	if gap {
		return nil, false
	}
	if len(fresh) > 0 && f.Digest.Over(fresh) != a.Digest {
		return nil, false
	}
	return fresh, true
}
