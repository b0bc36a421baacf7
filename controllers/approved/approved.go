// Package approved is the controller that follows configuration which is
// approved before it reaches the node. It reads the store with held reads; while
// the store does not answer it asks other nodes, which hand on what they have.
// A document is put in force whole or not at all, and the version only rises.
package approved

import (
	"math/rand/v2"
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// The sources.
const (
	Store = "store"
	Peers = "peers"
)

const (
	// storeWait is how long the store may hold a read. Each read is a call that
	// the store bills. Where one node's connection to it falls silent, others
	// speak of the newer version within a second or two. Where the store itself
	// was silent for all, the reads that it swallowed are given up only after
	// this and some slack, so a longer hold would make the whole fleet late.
	storeWait = 4 * time.Second
	// announcedGrace is how long a version that another node spoke of may take
	// to come from the store before that node is asked for it: a node that has
	// just taken a version in reads the store again only after settle.
	announcedGrace = settle + 100*time.Millisecond
	// peerWait is how long a peer may hold an ask. Another peer is asked next,
	// as this one may be cut off as well.
	peerWait = 700 * time.Millisecond
	// settle is the pause after a read that brought a document. Changes come in
	// quick succession, and one read then brings the last of several. The pause
	// and half a second for the document on a slow link leave half of the two
	// seconds in which a change has to be in force.
	settle = 600 * time.Millisecond
	// emptyPause is the pause after a look at a source that has no document yet:
	// nothing is served before the first one, which comes seconds before callers.
	emptyPause = time.Second
	// silence is how long the store may be silent, beyond a held read, before
	// peers are asked beside it.
	silence = 600 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed read of the
	// store; it doubles. Peers are asked meanwhile, so a longer pause makes no
	// node late; half of it more is added at random.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 1600 * time.Millisecond
	// peerBackoff is the pause after an ask that failed or found no peer.
	peerBackoff = 200 * time.Millisecond
)

// Config sets the controller up.
type Config struct {
	// Self is the node's own host, which is not asked.
	Self mesh.HostID
	// Random is used only under the write lock of the table Sources.
	Random *rand.Rand
	// Taken is told each document that was put in force.
	Taken func(d tables.Document, was mesh.Version)
	// Rejected is told each document that has faults.
	Rejected func(d tables.Document, f route.Faults)
	// Reached is told when a source is lost (with the error) or regained (nil).
	Reached func(source string, failures int, err error)
}

type follower struct {
	*tables.Tables
	Config
}

// Register adds the controller; its key is the source.
func Register(p *controller.Pool, t *tables.Tables, c Config) {
	f := follower{t, c}
	handle := controller.Register(p, "approved", f.reconcile)
	t.DocumentResults.Watch(handle.Add)
	t.Announced.Watch(func() { handle.Add(Peers) })
	handle.Add(Store)
	handle.Add(Peers)
}

// reconcile takes in what a source answered and asks it again when that is
// due. Compiling happens with no table locked.
func (f follower) reconcile(now time.Time, source string) (result controller.Result) {
	var newer tables.Document
	f.Board.Do(func(tx *blackboard.Tx) { newer = f.takeResult(tx, now, source) },
		f.Document.Read(), f.Sources.Write(), f.DocumentResults.Write())
	if newer.Version > 0 {
		f.putInForce(newer)
	}
	f.Board.Do(func(tx *blackboard.Tx) { result = f.ask(tx, now, source) },
		f.Document.Read(), f.Sources.Write(), f.Announced.Read(), f.Members.Read(), f.DocumentAsks.Write())
	return result
}

// takeResult notes how the source answered, and returns a newer document.
func (f follower) takeResult(tx *blackboard.Tx, now time.Time, source string) (newer tables.Document) {
	r, came := f.DocumentResults.Get(tx, source)
	if !came {
		return newer
	}
	f.DocumentResults.Delete(tx, source)
	state, _ := f.Sources.Get(tx, source)
	if r.Err != nil {
		if state.Failures == 0 {
			f.Reached(source, 0, r.Err)
		}
		state.NextAt = now.Add(f.backoff(source, state.Failures))
		// Whatever was published meanwhile, only the newest is wanted: reading on
		// would bring every version between, each a whole configuration.
		state.Cursor = 0
		state.Failures++
		f.Sources.Put(tx, source, state)
		return newer
	}
	if state.Failures > 0 {
		f.Reached(source, state.Failures, nil)
	}
	state = tables.SourceState{AnsweredAt: now, Cursor: r.Cursor}
	switch known := f.Document.Get(tx).Version; {
	case r.Document.Version > known:
		newer = r.Document
		state.NextAt = now.Add(settle)
	case source == Store && r.Cursor == 0:
		state.NextAt = now.Add(emptyPause)
	}
	f.Sources.Put(tx, source, state)
	return newer
}

func (f follower) backoff(source string, failures int) time.Duration {
	if source == Peers {
		return peerBackoff
	}
	mean := min(minBackoff<<min(failures, 8), maxBackoff)
	return mean/2 + time.Duration(f.Random.Int64N(int64(mean)))
}

// putInForce compiles a document. One with faults is kept as known, so that it
// is not asked for again, and changes nothing else.
func (f follower) putInForce(d tables.Document) {
	table, faults := route.CompileApproved(*d.Config)
	var was mesh.Version
	taken := false
	f.Board.Do(func(tx *blackboard.Tx) {
		if d.Version <= f.Document.Get(tx).Version {
			return
		}
		if current := f.Routes.Get(tx); current != nil {
			was = current.Version
		}
		f.Document.Set(tx, d)
		if len(faults) == 0 {
			f.Routes.Set(tx, table)
			taken = true
		}
	}, f.Routes.Write(), f.Document.Write())
	switch {
	case taken:
		f.Taken(d, was)
	case len(faults) > 0:
		f.Rejected(d, faults)
	}
}

// ask asks the source again when that is due.
func (f follower) ask(tx *blackboard.Tx, now time.Time, source string) controller.Result {
	if _, underWay := f.DocumentAsks.Get(tx, source); underWay {
		return controller.Result{}
	}
	state, _ := f.Sources.Get(tx, source)
	if now.Before(state.NextAt) {
		return controller.Result{After: state.NextAt.Sub(now)}
	}
	if source == Store {
		f.DocumentAsks.Put(tx, Store, tables.DocumentAsk{
			Above: f.Document.Get(tx).Version, Cursor: state.Cursor, Wait: storeWait,
		})
		return controller.Result{}
	}
	known := f.Document.Get(tx).Version
	due, host := f.peersDue(tx, known)
	if now.Before(due) {
		return controller.Result{After: due.Sub(now)}
	}
	address, found := f.peerAddress(tx, host)
	if !found {
		return controller.Result{After: peerBackoff}
	}
	f.DocumentAsks.Put(tx, Peers, tables.DocumentAsk{
		Address: address, Above: known, Wait: peerWait,
	})
	return controller.Result{}
}

// peersDue returns when a peer is to be asked beside the store, and which; no
// host is any of them. The zero time is at once.
func (f follower) peersDue(tx *blackboard.Tx, known mesh.Version) (due time.Time, host mesh.HostID) {
	store, _ := f.Sources.Get(tx, Store)
	if store.Failures > 0 {
		return time.Time{}, ""
	}
	due = store.AnsweredAt.Add(storeWait + settle + silence)
	if heard := f.Announced.Get(tx); heard.Version > known {
		if behind := heard.HeardAt.Add(announcedGrace); behind.Before(due) {
			return behind, heard.Host
		}
	}
	return due, ""
}

// peerAddress returns where the host is asked, or any peer when it failed to
// answer before or is not known.
func (f follower) peerAddress(tx *blackboard.Tx, host mesh.HostID) (address string, found bool) {
	peers, _ := f.Sources.Get(tx, Peers)
	if member, known := f.Members.Get(tx, host); known && peers.Failures == 0 {
		return member.PeerAddress, true
	}
	return f.anyPeer(tx)
}

// anyPeer draws one of the other members that answer.
func (f follower) anyPeer(tx *blackboard.Tx) (address string, found bool) {
	seen := 0
	f.Members.Each(tx, func(id mesh.HostID, m mesh.Member) bool {
		if id == f.Self || m.State == mesh.Dead || m.State == mesh.Unreachable {
			return true
		}
		seen++
		if f.Random.IntN(seen) == 0 {
			address = m.PeerAddress
		}
		return true
	})
	return address, seen > 0
}
