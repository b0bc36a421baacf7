// Package approved implements the controller that fetches configuration
// documents which are approved before they reach the node. Some nodes read the
// store with long polls, the others hold a request at one of them or at a node
// between (package decide/reader). While that source does not answer, the node
// also asks others for the newest document they have. A document is compiled and put in force as
// a whole or not at all, and the version in force never decreases.
package approved

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/controllers/storeera"
	"github.com/marigoldshelf/marigoldshelf/decide/reader"
	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// Sources of documents; they are the keys of the tables Sources,
// DocumentRequests and DocumentResults.
const (
	// SourceStore is the store of the platform.
	SourceStore = "store"
	// SourceFeed is the node that this node receives documents from while it does
	// not read the store.
	SourceFeed = "feed"
	// SourcePeers is any other node, asked when the regular source is late.
	SourcePeers = "peers"
)

const (
	// storeWait is how long the store may hold a read. Each read is a billed
	// call, so it should be long. If only this node's connection to the store
	// stalls, other nodes announce the newer version within a second or two. If
	// the store stalls for all nodes, unanswered reads time out shortly after
	// storeWait, so a longer wait would delay the whole fleet.
	storeWait = 4 * time.Second
	// announcementGrace is how long to wait for the store to deliver a version
	// that another node announced before asking that node for it. It exceeds
	// batchDelay because a node that has just received a document reads the
	// store again only after batchDelay.
	announcementGrace = batchDelay + 100*time.Millisecond
	// feedWait is how long the feeding node may hold a request. It is short so that
	// a node that is cut off from its feeding node reads the store soon.
	feedWait = 2 * time.Second
	// feedBatchDelay is the delay after a document from the feed. The feeding node
	// has already combined changes that come in quick succession.
	feedBatchDelay = 200 * time.Millisecond
	// roleInterval is the time after which a node that does not use a source
	// checks again whether it should.
	roleInterval = time.Second
	// peerWait is how long a peer may hold a request. It is short so that
	// another peer is asked soon, because this one may not reach the store
	// either.
	peerWait = 700 * time.Millisecond
	// batchDelay is the delay after a read that returned a document. Changes
	// come in quick succession, so the next read returns the last of several.
	// The delay and 500 ms to transfer the document on a slow link leave about
	// half of the 2 s within which a change must be in force.
	batchDelay = 600 * time.Millisecond
	// emptyStoreDelay is the delay after a read of a store that has no document
	// yet. Nothing is served before the first document, which is published
	// seconds before callers arrive.
	emptyStoreDelay = time.Second
	// storeSilenceTimeout is the time without an answer from the store, beyond
	// batchDelay and storeWait, after which peers are asked as well.
	storeSilenceTimeout = 600 * time.Millisecond
	// minStoreBackoff is the mean delay after the first failed read of the
	// store. The mean doubles with each consecutive failure, up to
	// maxStoreBackoff; the delay is drawn between 0.5 and 1.5 times the mean.
	// Peers are asked meanwhile, so a longer backoff does not delay the node.
	minStoreBackoff = 100 * time.Millisecond
	maxStoreBackoff = 1600 * time.Millisecond
	// peerBackoff is the delay after a failed request to a peer, and after a
	// request that found no peer to ask.
	peerBackoff = 200 * time.Millisecond
)

// Config holds the parameters of the controller.
type Config struct {
	// Self is the node's own host. It is never chosen as a random peer.
	Self mesh.HostID
	// Random draws backoff jitter and peers. It is used only under the write
	// lock of the table Sources.
	Random *rand.Rand
	// OnActivated is called with each document that was put in force and the
	// version that was in force before; zero for none. No table is locked.
	OnActivated func(d tables.Document, previous mesh.Version)
	// OnRejected is called with each document that cannot be decoded or has
	// faults, and is therefore not put in force. No table is locked.
	OnRejected func(tables.RejectedDocument)
	// OnSourceChange is called with the error when a source fails to answer for
	// the first time, and with a nil error and the number of consecutive
	// failures when it answers again. It is called inside a transaction.
	OnSourceChange func(source string, failures int, err error)
	// OnEraChange is called for each change of the store's era that the controller
	// observes, inside a transaction; nil ignores it.
	OnEraChange storeera.OnChange
}

// documentFetcher fetches documents from the sources and activates them.
type documentFetcher struct {
	*tables.Tables
	Config
	handle controller.Handle[string]
}

// Register adds the controller. Its key is the source of documents.
func Register(p *controller.Pool, t *tables.Tables, c Config) {
	f := &documentFetcher{Tables: t, Config: c}
	f.handle = controller.Register(p, "approved", f.reconcile)
	t.DocumentResults.Watch(f.handle.Add)
	t.Announced.Watch(func() { f.handle.Add(SourcePeers) })
	for _, source := range []string{SourceStore, SourceFeed, SourcePeers} {
		f.handle.Add(source)
	}
}

// reconcile processes the answer of a source and sends the next request when it
// is due. The document is compiled outside a transaction.
func (f *documentFetcher) reconcile(now time.Time, source string) (result controller.Result) {
	var newer tables.Document
	var rejected tables.RejectedDocument
	f.Board.Do(func(tx *blackboard.Tx) {
		newer, rejected = f.processResult(tx, now, source)
		newer = f.confirm(tx, now, source, newer)
	},
		f.Document.Read(), f.Rejected.Write(), f.Sources.Write(), f.Held.Write(), f.Announced.Read(),
		f.StoreEra.Write(), f.DocumentResults.Write())
	if newer.Version > 0 {
		rejected = f.activate(newer, source)
	}
	if rejected.Reason != "" {
		f.OnRejected(rejected)
	}
	f.Board.Do(func(tx *blackboard.Tx) { result = f.requestNext(tx, now, source) },
		f.Document.Read(), f.Rejected.Read(), f.Sources.Write(), f.Held.Read(), f.Announced.Read(), f.Members.Read(), f.Zones.Read(),
		f.StoreEra.Read(), f.DocumentRequests.Write())
	return result
}

// processResult updates the state of the source from its answer, if there is
// one. It returns the document if its version is newer than the known one, else
// a document with version zero, and the document that could not be decoded, if
// there is one.
func (f *documentFetcher) processResult(tx *blackboard.Tx, now time.Time, source string) (newer tables.Document, rejected tables.RejectedDocument) {
	r, found := f.DocumentResults.Get(tx, source)
	if !found {
		return newer, rejected
	}
	f.DocumentResults.Delete(tx, source)
	state, _ := f.Sources.Get(tx, source)
	if source == SourceStore && storeera.Observe(tx, f.Tables, r.Request.Era, r.Era, f.OnEraChange) {
		// The answer is of an era that has ended, and so is its cursor.
		f.Sources.Put(tx, source, tables.SourceState{AnsweredAt: now})
		return newer, rejected
	}
	if r.Err != nil {
		if state.Failures == 0 {
			f.OnSourceChange(source, 0, r.Err)
		}
		state.NextAt = now.Add(f.backoff(source, state.Failures))
		// Restart from the newest document: reading on from the cursor would
		// return every version published meanwhile, each a whole configuration.
		state.Cursor = 0
		state.Failures++
		f.Sources.Put(tx, source, state)
		if source == SourceFeed {
			f.handle.Add(SourceStore) // the node reads the store until it is fed again
		}
		return newer, rejected
	}
	if state.Failures > 0 {
		f.OnSourceChange(source, state.Failures, nil)
	}
	state = tables.SourceState{AnsweredAt: now, Cursor: r.Cursor, Era: r.Era}
	if r.Era == 0 {
		state.Era = f.StoreEra.Get(tx)
	}
	if held := f.Held.Get(tx); source == SourcePeers && held.Document.Version > 0 && r.Document.Version == 0 && r.Rejected.Reason == "" {
		held.Answers++
		held.Confirmed = held.Confirmed || r.InForce > 0
		f.Held.Set(tx, held)
		state.NextAt = now.Add(peerBackoff)
	}
	switch {
	case r.Rejected.Reason != "" && (r.Rejected.Version == 0 || r.Rejected.Version > f.Document.Get(tx).Version):
		rejected = r.Rejected
		f.Rejected.Set(tx, rejected)
		state.NextAt = now.Add(batchDelay)
	case r.Document.Version > f.Document.Get(tx).Version:
		newer = r.Document
		state.NextAt = now.Add(batchDelay)
		if source == SourceFeed {
			state.NextAt = now.Add(feedBatchDelay)
		}
	case source == SourceStore && r.Cursor == 0:
		state.NextAt = now.Add(emptyStoreDelay)
	}
	f.Sources.Put(tx, source, state)
	return newer, rejected
}

// backoff returns the delay before the next request to a source that failed to
// answer, given the number of failures before this one.
func (f *documentFetcher) backoff(source string, failures int) time.Duration {
	if source != SourceStore {
		return peerBackoff
	}
	mean := min(minStoreBackoff<<min(failures, 8), maxStoreBackoff)
	return mean/2 + time.Duration(f.Random.Int64N(int64(mean)))
}

// activate compiles a document and puts it in force. It returns a document with
// faults as rejected, once; the configuration in force does not change.
func (f *documentFetcher) activate(d tables.Document, source string) (rejected tables.RejectedDocument) {
	table, faults := route.CompileApproved(*d.Config)
	var previous mesh.Version
	activated := false
	f.Board.Do(func(tx *blackboard.Tx) {
		before := f.Rejected.Get(tx)
		switch {
		case d.Version <= f.Document.Get(tx).Version:
		case len(faults) > 0:
			if d.Version != before.Version {
				rejected = tables.RejectedDocument{Version: d.Version, Source: d.Source, Reason: summarize(faults)}
				f.Rejected.Set(tx, rejected)
			}
		default:
			if current := f.Routes.Get(tx); current != nil {
				previous = current.Version
			}
			f.Document.Set(tx, d)
			f.Routes.Set(tx, table)
			// A peer can hold an older version than the rejected one, whose
			// number is zero when it could not be read.
			if d.Version > before.Version && (before.Version > 0 || source == SourceStore) {
				f.Rejected.Set(tx, tables.RejectedDocument{})
			}
			activated = true
		}
	}, f.Routes.Write(), f.Document.Write(), f.Rejected.Write())
	if activated {
		f.OnActivated(d, previous)
	}
	return rejected
}

// summarize returns the number of faults and the first one: a configuration of
// thousands of routes can have as many faults.
func summarize(faults route.Faults) string {
	return fmt.Sprintf("%d faults, the first: %s", len(faults), faults[:1].Error())
}

// requestNext puts the next request to the source into the outbox
// DocumentRequests if none is pending and it is due.
func (f *documentFetcher) requestNext(tx *blackboard.Tx, now time.Time, source string) controller.Result {
	if _, pending := f.DocumentRequests.Get(tx, source); pending {
		return controller.Result{}
	}
	state, _ := f.Sources.Get(tx, source)
	if now.Before(state.NextAt) {
		return controller.Result{RequeueAfter: state.NextAt.Sub(now)}
	}
	role := f.role(tx)
	known := f.Document.Get(tx).Version
	switch {
	case source == SourceStore && !f.readsStore(tx, role) || source == SourceFeed && role.Reads:
		return controller.Result{RequeueAfter: roleInterval}
	case source == SourceStore:
		if now.Sub(state.AnsweredAt) > storeWait+batchDelay+storeSilenceTimeout {
			state.Cursor = 0 // as after a failure
		}
		era := f.StoreEra.Get(tx)
		if state.Era != era {
			state.Cursor = 0 // the store has been restored since
		}
		f.DocumentRequests.Put(tx, SourceStore, tables.DocumentRequest{
			NewerThan: max(known, f.Rejected.Get(tx).Version), Cursor: state.Cursor, CursorEra: state.Era, Era: era, Wait: storeWait,
		})
		return controller.Result{}
	case source == SourceFeed:
		parent, _ := f.Members.Get(tx, role.Parents[state.Failures%len(role.Parents)])
		f.DocumentRequests.Put(tx, SourceFeed, tables.DocumentRequest{Address: parent.PeerAddress, NewerThan: known, Wait: feedWait})
		return controller.Result{}
	}
	due, host := f.nextPeerRequest(tx, role, known)
	if now.Before(due) {
		return controller.Result{RequeueAfter: due.Sub(now)}
	}
	address, found := f.peerAddress(tx, host)
	if !found {
		return controller.Result{RequeueAfter: peerBackoff}
	}
	request := tables.DocumentRequest{Address: address, NewerThan: known, Wait: peerWait}
	if held := f.Held.Get(tx); held.Document.Version > 0 {
		// The peer answers at once, so that the held document is not delayed.
		request.NewerThan, request.Wait = held.Document.Version, 0
	}
	f.DocumentRequests.Put(tx, SourcePeers, request)
	return controller.Result{}
}

// role returns the role of this node among the usable nodes of its zone.
func (f *documentFetcher) role(tx *blackboard.Tx) reader.Role {
	self, _ := f.Members.Get(tx, f.Self)
	zone, _ := f.Zones.Get(tx, self.Zone)
	usable := make([]mesh.HostID, 0, len(zone.Hosts))
	for _, id := range zone.Hosts {
		if m, known := f.Members.Get(tx, id); id == f.Self || known && m.State == mesh.Alive {
			usable = append(usable, id)
		}
	}
	return reader.RoleOf(f.Self, usable)
}

// readsStore reports whether this node reads the store: by its role, once after
// its start, and while the node that should feed it does not answer.
func (f *documentFetcher) readsStore(tx *blackboard.Tx, role reader.Role) bool {
	store, _ := f.Sources.Get(tx, SourceStore)
	feed, _ := f.Sources.Get(tx, SourceFeed)
	return role.Reads || store.AnsweredAt.IsZero() || feed.Failures > 0
}

// nextPeerRequest returns when a peer is to be asked in addition to the regular
// source, and which one. An empty host means any peer; a zero time means at once.
func (f *documentFetcher) nextPeerRequest(tx *blackboard.Tx, role reader.Role, known mesh.Version) (due time.Time, host mesh.HostID) {
	store, _ := f.Sources.Get(tx, SourceStore)
	feed, _ := f.Sources.Get(tx, SourceFeed)
	if held := f.Held.Get(tx); held.Document.Version > 0 {
		if announced := f.Announced.Get(tx); announced.Version > held.Document.Version {
			host = announced.Host
		}
		return time.Time{}, host
	}
	switch {
	case store.Failures > 0 && f.readsStore(tx, role):
		return time.Time{}, ""
	case f.readsStore(tx, role):
		due = store.AnsweredAt.Add(storeWait + batchDelay + storeSilenceTimeout)
	default:
		due = feed.AnsweredAt.Add(feedWait + feedBatchDelay + storeSilenceTimeout)
		if due.Before(store.AnsweredAt.Add(feedWait)) {
			due = store.AnsweredAt.Add(feedWait) // the feed has not answered yet
		}
	}
	if announced := f.Announced.Get(tx); announced.Version > known && announced.Version != f.Rejected.Get(tx).Version {
		if overdue := announced.ReceivedAt.Add(announcementGrace); overdue.Before(due) {
			return overdue, announced.Host
		}
	}
	return due, ""
}

// peerAddress returns the address of the host's peers' listener. If the host is
// not a known member, or the last request to a peer failed, it returns that of
// a random peer.
func (f *documentFetcher) peerAddress(tx *blackboard.Tx, host mesh.HostID) (address string, found bool) {
	peers, _ := f.Sources.Get(tx, SourcePeers)
	if member, known := f.Members.Get(tx, host); known && peers.Failures == 0 {
		return member.PeerAddress, true
	}
	return f.randomPeer(tx)
}

// randomPeer returns the address of a random member other than this node that
// is neither dead nor unreachable.
func (f *documentFetcher) randomPeer(tx *blackboard.Tx) (address string, found bool) {
	candidates := 0
	f.Members.Each(tx, func(id mesh.HostID, m mesh.Member) bool {
		if id == f.Self || m.State == mesh.Dead || m.State == mesh.Unreachable {
			return true
		}
		candidates++
		if f.Random.IntN(candidates) == 0 {
			address = m.PeerAddress
		}
		return true
	})
	return address, candidates > 0
}
