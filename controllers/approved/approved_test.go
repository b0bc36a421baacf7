package approved_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/controllers/approved"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// harness steps the controller with a virtual clock; the test answers its
// requests.
type harness struct {
	t        *testing.T
	clock    *clock.Virtual
	pool     *controller.Pool
	tables   *tables.Tables
	rejected int
	// eraChanges counts the changes of era that the controller observed.
	eraChanges int
}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, clock: clock.NewVirtual(time.Unix(1_700_000_000, 0))}
	h.pool = controller.NewPool(h.clock, 1)
	h.tables = tables.New(blackboard.New(blackboard.PanicOnNested()))
	approved.Register(h.pool, h.tables, approved.Config{
		Self: "self", Random: rand.New(rand.NewPCG(1, 2)),
		OnActivated:    func(tables.Document, mesh.Version) {},
		OnRejected:     func(tables.RejectedDocument) { h.rejected++ },
		OnSourceChange: func(string, int, error) {},
		OnEraChange:    func(uint64, uint64) { h.eraChanges++ },
	})
	h.settle()
	return h
}

func (h *harness) settle() { h.pool.StepUntilIdle(100) }

// pendingRequest returns the request to a source that was not answered yet.
func (h *harness) pendingRequest(source string) (request tables.DocumentRequest, found bool) {
	h.tables.Board.Do(func(tx *blackboard.Tx) { request, found = h.tables.DocumentRequests.Get(tx, source) }, h.tables.DocumentRequests.Read())
	return request, found
}

// answerStore answers the pending request to the store and advances the clock
// past the delay after it.
func (h *harness) answerStore(result tables.DocumentResult) {
	t := h.tables
	t.Board.Do(func(tx *blackboard.Tx) {
		t.DocumentRequests.Delete(tx, approved.SourceStore)
		t.DocumentResults.Put(tx, approved.SourceStore, result)
	}, t.DocumentRequests.Write(), t.DocumentResults.Write())
	h.settle()
	h.clock.Advance(2 * time.Second)
	h.settle()
}

// answer answers the pending request to a source without advancing the clock.
func (h *harness) answer(source string, result tables.DocumentResult) {
	t := h.tables
	t.Board.Do(func(tx *blackboard.Tx) {
		t.DocumentRequests.Delete(tx, source)
		t.DocumentResults.Put(tx, source, result)
	}, t.DocumentRequests.Write(), t.DocumentResults.Write())
	h.settle()
}

// putInForce ends the wait for peers and checks the version in force.
func (h *harness) putInForce(t *testing.T, want mesh.Version) {
	t.Helper()
	h.clock.Advance(5 * time.Second)
	h.settle()
	must.Eq(t, want, h.activeVersion())
}

func (h *harness) setEra(era uint64) {
	h.tables.Board.Do(func(tx *blackboard.Tx) { h.tables.StoreEra.Set(tx, era) }, h.tables.StoreEra.Write())
	h.settle()
}

func (h *harness) addPeer() {
	h.tables.Board.Do(func(tx *blackboard.Tx) {
		h.tables.Members.Put(tx, "other", mesh.Member{Host: "other", State: mesh.Alive, PeerAddress: "10.0.0.2:1"})
	}, h.tables.Members.Write())
}

func document(version mesh.Version, prefix string) tables.Document {
	return tables.Document{Version: version, Raw: "raw", Config: &mesh.ApprovedConfig{Version: version, Routes: []mesh.Route{{
		Rule: mesh.Rule{ID: "r", HostName: "h", PathPrefix: prefix, Service: "s", Class: mesh.Lookup, DeadlineMillis: 1},
	}}}}
}

func (h *harness) activeVersion() mesh.Version {
	if routes := h.tables.Routes.Load(); routes != nil {
		return routes.Version
	}
	return 0
}

// Guards against fetching superseded versions: while a failed node retries,
// many versions are published, and reading on from the cursor would transfer
// each of them over a link on which a few take a second.
func TestReadAfterAFailureHasNoCursor(t *testing.T) {
	h := newHarness(t)
	h.answerStore(tables.DocumentResult{Document: document(3, "/a/"), Cursor: 40})
	request, _ := h.pendingRequest(approved.SourceStore)
	must.Eq(t, 40, request.Cursor)
	h.answerStore(tables.DocumentResult{Err: eris.New("no answer")})
	request, _ = h.pendingRequest(approved.SourceStore)
	must.Zero(t, request.Cursor)
	must.Eq(t, 3, request.NewerThan)
}

func TestVersionInForceOnlyRises(t *testing.T) {
	h := newHarness(t)
	h.answerStore(tables.DocumentResult{Document: document(7, "/a/")})
	h.answerStore(tables.DocumentResult{Document: document(5, "/a/")})
	must.Eq(t, 7, h.activeVersion())
}

// Guards against activating a document with faults, and against requesting it
// again and again.
func TestFaultyDocumentChangesNothing(t *testing.T) {
	h := newHarness(t)
	h.answerStore(tables.DocumentResult{Document: document(7, "/a/")})
	h.answerStore(tables.DocumentResult{Document: document(8, "no slash")})
	must.Eq(t, 7, h.activeVersion())
	must.Eq(t, 1, h.rejected)
	request, _ := h.pendingRequest(approved.SourceStore)
	must.Eq(t, 8, request.NewerThan)
	h.answerStore(tables.DocumentResult{Document: document(9, "/b/")})
	must.Eq(t, 9, h.activeVersion())
}

// Guards against treating a document that cannot be decoded as a source that is
// lost: the read would be repeated with a short delay and fail each time, and the
// node would report an outage of the store instead of the document.
func TestUndecodableDocumentIsRejectedOnce(t *testing.T) {
	h := newHarness(t)
	h.answerStore(tables.DocumentResult{Document: document(7, "/a/"), Cursor: 40})
	h.answerStore(tables.DocumentResult{Rejected: tables.RejectedDocument{Version: 8, Reason: "route without a host"}, Cursor: 41})
	must.Eq(t, 7, h.activeVersion())
	must.Eq(t, 1, h.rejected)
	must.Eq(t, 8, h.tables.Rejected.Load().Version)
	request, _ := h.pendingRequest(approved.SourceStore)
	must.Eq(t, 41, request.Cursor, must.Sprint("the read continues after the rejected document"))
	h.answerStore(tables.DocumentResult{Document: document(9, "/b/"), Cursor: 42})
	must.Eq(t, 9, h.activeVersion())
	must.Eq(t, "", h.tables.Rejected.Load().Reason)
}

// Guards against a restarted node that serves nothing because the newest version
// has faults: another node still has the version before it.
func TestNodeWithARejectedDocumentTakesAnOlderOneFromAPeer(t *testing.T) {
	h := newHarness(t)
	h.answerStore(tables.DocumentResult{Document: document(9, "no slash"), Cursor: 40})
	must.Eq(t, 0, h.activeVersion())
	h.tables.Board.Do(func(tx *blackboard.Tx) {
		h.tables.Members.Put(tx, "other", mesh.Member{Host: "other", State: mesh.Alive, PeerAddress: "10.0.0.2:1"})
		h.tables.Announced.Set(tx, tables.Announcement{Version: 8, Host: "other", ReceivedAt: h.clock.Now()})
	}, h.tables.Members.Write(), h.tables.Announced.Write())
	h.settle()
	h.clock.Advance(time.Second)
	h.settle()
	request, asked := h.pendingRequest(approved.SourcePeers)
	must.True(t, asked)
	must.Zero(t, request.NewerThan)
	h.tables.Board.Do(func(tx *blackboard.Tx) {
		h.tables.DocumentRequests.Delete(tx, approved.SourcePeers)
		h.tables.DocumentResults.Put(tx, approved.SourcePeers, tables.DocumentResult{Document: document(8, "/a/")})
	}, h.tables.DocumentRequests.Write(), h.tables.DocumentResults.Write())
	h.settle()
	must.Eq(t, 8, h.activeVersion())
	must.Eq(t, 9, h.tables.Rejected.Load().Version, must.Sprint("the newest version is still not in force"))
}

// Guards against a node that stays behind while the store holds its read
// without an answer: another node has announced a newer version and is asked
// for it.
func TestNodeThatAnnouncedANewerVersionIsAsked(t *testing.T) {
	h := newHarness(t)
	h.answerStore(tables.DocumentResult{Document: document(3, "/a/"), Cursor: 40})
	h.tables.Board.Do(func(tx *blackboard.Tx) {
		h.tables.Members.Put(tx, "other", mesh.Member{Host: "other", State: mesh.Alive, PeerAddress: "10.0.0.2:1"})
		h.tables.Announced.Set(tx, tables.Announcement{Version: 5, Host: "other", ReceivedAt: h.clock.Now()})
	}, h.tables.Members.Write(), h.tables.Announced.Write())
	h.settle()
	_, asked := h.pendingRequest(approved.SourcePeers)
	must.False(t, asked, must.Sprint("the peer is asked only after the grace for the store"))
	h.clock.Advance(time.Second)
	h.settle()
	request, asked := h.pendingRequest(approved.SourcePeers)
	must.True(t, asked)
	must.Eq(t, "10.0.0.2:1", request.Address)
	must.Eq(t, 3, request.NewerThan)
}

// Guards against a cursor that is used in another era, where its offset stands for
// another record, and against a late answer of the former era that brings it back.
func TestCursorOfAFormerEraIsDiscarded(t *testing.T) {
	h := newHarness(t)
	h.answerStore(tables.DocumentResult{Document: document(3, "/a/"), Cursor: 40, Era: 1})
	h.putInForce(t, 3)
	request, _ := h.pendingRequest(approved.SourceStore)
	must.Eq(t, 1, request.CursorEra)
	must.Eq(t, 40, request.Cursor)
	h.setEra(2) // observed by the reader of announcements
	h.answerStore(tables.DocumentResult{Request: request, Document: document(4, "/a/"), Cursor: 41, Era: 1})
	must.Eq(t, 3, h.activeVersion(), must.Sprint("the late answer is ignored"))
	request, _ = h.pendingRequest(approved.SourceStore)
	must.Zero(t, request.Cursor)
	must.Eq(t, 2, request.Era)
	h.answerStore(tables.DocumentResult{Request: request, Document: document(5, "/a/"), Cursor: 12, Era: 2})
	must.Eq(t, 5, h.activeVersion())
	request, _ = h.pendingRequest(approved.SourceStore)
	must.Eq(t, 12, request.Cursor)
	must.Eq(t, 0, h.eraChanges, must.Sprint("the change was observed by another reader"))
	h.answerStore(tables.DocumentResult{Request: request, Err: eris.New("status 503"), Era: 3})
	must.Eq(t, 1, h.eraChanges)
}

// Guards against a started node that puts an older version of a restored store in
// force before a peer could name the newer one.
func TestFirstDocumentOfTheStoreWaitsForAPeer(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers []tables.DocumentResult
		want    mesh.Version
	}{
		{"a peer has a newer one", []tables.DocumentResult{{Document: document(7, "/a/")}}, 7},
		{"a peer has the same", []tables.DocumentResult{{InForce: 5}}, 5},
		{"a peer has none", []tables.DocumentResult{{}}, 0},
		{"three peers have none", []tables.DocumentResult{{}, {}, {}}, 5},
		{"a peer fails", []tables.DocumentResult{{Err: eris.New("no answer")}}, 0},
	} {
		h := newHarness(t)
		h.addPeer()
		h.answer(approved.SourceStore, tables.DocumentResult{Document: document(5, "/a/"), Cursor: 9, Era: 2})
		must.Zero(t, h.activeVersion(), must.Sprint(c.name))
		for _, result := range c.answers {
			h.clock.Advance(250 * time.Millisecond)
			h.settle()
			request, asked := h.pendingRequest(approved.SourcePeers)
			must.True(t, asked, must.Sprint(c.name))
			must.Eq(t, 5, request.NewerThan, must.Sprint(c.name))
			result.Request = request
			h.answer(approved.SourcePeers, result)
		}
		must.Eq(t, c.want, h.activeVersion(), must.Sprint(c.name))
		h.clock.Advance(5 * time.Second)
		h.settle()
		must.Eq(t, max(c.want, 5), h.activeVersion(), must.Sprint(c.name, ", after the wait"))
	}
}

// Guards against a document that is dropped: it is newer than the one in force at
// the peer that the node hears of first, and the cursor is already past it.
func TestHeldDocumentThatIsNewerThanThatOfAPeerIsPutInForce(t *testing.T) {
	h := newHarness(t)
	h.addPeer()
	h.answer(approved.SourceStore, tables.DocumentResult{Document: document(6, "/a/"), Cursor: 9, Era: 2})
	h.answer(approved.SourceFeed, tables.DocumentResult{Document: document(5, "/a/")})
	must.Eq(t, 6, h.activeVersion())
}
