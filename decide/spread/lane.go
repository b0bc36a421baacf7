package spread

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/decide/snapshot"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

const (
	// pullWait is how long an asked node may hold its answer.
	pullWait = 10 * time.Second
	// staleAfter is the age of the asked node's last contact with the log from
	// which on another one is tried; a tree of four levels stays below it
	// while nothing happens.
	staleAfter = time.Minute
	// homeAfter is how long a node stays with another source than its first.
	homeAfter = 30 * time.Second
	// backoffBase and backoffLimit bound the pause after a failure.
	backoffBase  = 100 * time.Millisecond
	backoffLimit = 8 * time.Second
)

// Lane is the state of a node's own asking: whom, when next, and the part of a
// snapshot that it has. It is a value.
type Lane struct {
	// Index counts through the sources; it is taken modulo their number.
	Index int
	// SwitchedAt is when Index moved last.
	SwitchedAt time.Time
	// Failures counts failures in a row.
	Failures int
	// NextAt is the earliest instant of the next request.
	NextAt time.Time
	// Part has the chunks of a snapshot so far.
	Part snapshot.Partial
}

// Ask is a request and whom to send it to. It can be compared.
type Ask struct {
	To      Source
	Request Request
	Wait    time.Duration
	// At is when it was decided on.
	At time.Time
}

// Asker is what a node knows of itself when it asks.
type Asker struct {
	Host    mesh.HostID
	Served  mesh.Version
	Started time.Time
	Feed    Feed
	Role    Role
	Floor   Floor
	// Hint is a node that asked this one with a higher offset.
	Hint Hint
}

// Hint names a node that is ahead.
type Hint struct {
	Source Source
	Offset uint64
}

// Wants reports whether the node has to ask others: it is no reader, or the
// log does not help it.
func (a Asker) Wants() bool {
	return !a.Role.Reader || a.Feed.LogFailing || a.Feed.Lost || a.Feed.Diverged
}

// Next returns the request to send at instant now, if there is anyone to ask.
func (l Lane) Next(now time.Time, a Asker) (Ask, bool) {
	to, found := l.source(a)
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
	return Ask{To: to, Request: r, Wait: pullWait, At: now}, true
}

// source picks whom to ask: a node known to be ahead, else the parent in the
// tree, else the readers in turn. A node without a floor asks readers only,
// since they alone can ask the log.
func (l Lane) source(a Asker) (Source, bool) {
	if a.Hint.Offset > a.Feed.Offset && l.Failures == 0 {
		return a.Hint.Source, true
	}
	list := a.Role.Sources
	if l.Failures == 0 {
		list = list[:a.Role.Readers]
	}
	if a.Role.Parent.Host != "" && a.Floor.Known {
		list = append([]Source{a.Role.Parent}, list...)
	}
	if len(list) == 0 {
		return Source{}, false
	}
	return list[l.Index%len(list)], true
}

// Answered returns the lane after an answer that was taken in. draw is a
// random number, 0 to 1.
func (l Lane) Answered(now time.Time, a Answer, draw float64) Lane {
	switch a.Kind {
	case Behind:
		return l.failed(now, draw)
	case Diverged:
		l.Part = snapshot.Partial{}
		return l.failed(now, draw)
	case Busy:
		l.NextAt = now.Add(min(a.RetryAfter, backoffLimit))
		return l
	}
	l.Failures = 0
	l.NextAt = now
	if a.ContactKnown && a.ContactAge > staleAfter {
		return l.switched(now, l.Index+1)
	}
	if l.Index != 0 && now.Sub(l.SwitchedAt) > homeAfter {
		return l.switched(now, 0)
	}
	return l
}

// Failed returns the lane after a request without an answer, or with one that
// was false.
func (l Lane) Failed(now time.Time, draw float64) Lane { return l.failed(now, draw) }

func (l Lane) failed(now time.Time, draw float64) Lane {
	pause := min(backoffBase<<min(l.Failures, 10), backoffLimit)
	l.Failures++
	l.NextAt = now.Add(pause/2 + time.Duration(draw*float64(pause)))
	return l.switched(now, l.Index+1)
}

func (l Lane) switched(now time.Time, index int) Lane {
	l.Index = index
	l.SwitchedAt = now
	return l
}

// Take checks an answer with records against the feed and returns the records
// that continue it. ok is false when records are missing or the digest shows
// that one was changed on its way: then nothing is taken.
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
