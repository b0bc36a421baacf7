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
	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

// rig steps the controller on a virtual clock; the test answers its asks.
type rig struct {
	t        *testing.T
	clock    *clock.Virtual
	pool     *controller.Pool
	tables   *tables.Tables
	rejected int
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, clock: clock.NewVirtual(time.Unix(1_700_000_000, 0))}
	r.pool = controller.New(r.clock, 1)
	r.tables = tables.New(blackboard.New(blackboard.CheckOrder()))
	approved.Register(r.pool, r.tables, approved.Config{
		Self: "self", Random: rand.New(rand.NewPCG(1, 2)),
		Taken:    func(tables.Document, mesh.Version) {},
		Rejected: func(tables.Document, route.Faults) { r.rejected++ },
		Reached:  func(string, int, error) {},
	})
	r.settle()
	return r
}

func (r *rig) settle() { r.pool.Settle(100) }

// ask returns the ask of a source that is under way.
func (r *rig) ask(source string) (ask tables.DocumentAsk, found bool) {
	r.tables.Board.Do(func(tx *blackboard.Tx) { ask, found = r.tables.DocumentAsks.Get(tx, source) }, r.tables.DocumentAsks.Read())
	return ask, found
}

// answer answers the store's ask, and lets the pause after it pass.
func (r *rig) answer(result tables.DocumentResult) {
	t := r.tables
	t.Board.Do(func(tx *blackboard.Tx) {
		t.DocumentAsks.Delete(tx, approved.Store)
		t.DocumentResults.Put(tx, approved.Store, result)
	}, t.DocumentAsks.Write(), t.DocumentResults.Write())
	r.settle()
	r.clock.Advance(2 * time.Second)
	r.settle()
}

func document(version mesh.Version, prefix string) tables.Document {
	return tables.Document{Version: version, Raw: "raw", Config: &mesh.Approved{Version: version, Routes: []mesh.Route{{
		Rule: mesh.Rule{ID: "r", HostName: "h", PathPrefix: prefix, Service: "s", Class: mesh.Lookup, DeadlineMillis: 1},
	}}}}
}

func (r *rig) version() mesh.Version {
	if routes := r.tables.Routes.Load(); routes != nil {
		return routes.Version
	}
	return 0
}

// A node that the store turned away during a storm of changes would read every
// version between, on a link that takes a second for a few of them.
func TestAfterAFailureTheNewestIsLookedUp(t *testing.T) {
	r := newRig(t)
	r.answer(tables.DocumentResult{Document: document(3, "/a/"), Cursor: 40})
	ask, _ := r.ask(approved.Store)
	must.Eq(t, 40, ask.Cursor)
	r.answer(tables.DocumentResult{Err: eris.New("no answer")})
	ask, _ = r.ask(approved.Store)
	must.Zero(t, ask.Cursor)
	must.Eq(t, 3, ask.Above)
}

func TestVersionInForceOnlyRises(t *testing.T) {
	r := newRig(t)
	r.answer(tables.DocumentResult{Document: document(7, "/a/")})
	r.answer(tables.DocumentResult{Document: document(5, "/a/")})
	must.Eq(t, 7, r.version())
}

// A document with faults changes nothing and is not asked for again.
func TestFaultyDocumentChangesNothing(t *testing.T) {
	r := newRig(t)
	r.answer(tables.DocumentResult{Document: document(7, "/a/")})
	r.answer(tables.DocumentResult{Document: document(8, "no slash")})
	must.Eq(t, 7, r.version())
	must.Eq(t, 1, r.rejected)
	ask, _ := r.ask(approved.Store)
	must.Eq(t, 8, ask.Above)
	r.answer(tables.DocumentResult{Document: document(9, "/b/")})
	must.Eq(t, 9, r.version())
}

// The store holds a read and does not answer it, while another node speaks of a
// newer version: that node is asked for it.
func TestNodeThatSpeaksOfANewerVersionIsAsked(t *testing.T) {
	r := newRig(t)
	r.answer(tables.DocumentResult{Document: document(3, "/a/"), Cursor: 40})
	r.tables.Board.Do(func(tx *blackboard.Tx) {
		r.tables.Members.Put(tx, "other", mesh.Member{Host: "other", State: mesh.Alive, PeerAddress: "10.0.0.2:1"})
		r.tables.Announced.Set(tx, tables.Announcement{Version: 5, Host: "other", HeardAt: r.clock.Now()})
	}, r.tables.Members.Write(), r.tables.Announced.Write())
	r.settle()
	_, asked := r.ask(approved.Peers)
	must.False(t, asked, must.Sprint("the store has its time first"))
	r.clock.Advance(time.Second)
	r.settle()
	ask, asked := r.ask(approved.Peers)
	must.True(t, asked)
	must.Eq(t, "10.0.0.2:1", ask.Address)
	must.Eq(t, 3, ask.Above)
}
