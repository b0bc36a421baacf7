package main

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/shoenig/test/must"
	"github.com/uber-go/tally/v4"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/front/operator"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/metrics"
	"github.com/marigoldshelf/marigoldshelf/settings"
	"github.com/marigoldshelf/marigoldshelf/tables"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

var (
	nadia = change.Principal{Name: "nadia", Role: change.Operator}
	samir = change.Principal{Name: "samir", Role: change.CustomerRole, Customer: "menders"}
)

// changeHistory returns the state after a released, a vetoed and an open proposal.
func changeHistory() change.State {
	rule := mesh.Rule{ID: "all", HostName: "desk.example", PathPrefix: "/", Service: "desk", Class: mesh.Lookup, DeadlineMillis: 2000}
	book := mesh.Rule{ID: "book", HostName: "desk.example", PathPrefix: "/book", Service: "store", Class: mesh.Booking, DeadlineMillis: 5000}
	first := &mesh.Edits{
		PutServices: []mesh.Service{{Name: "desk", Customer: "menders"}, {Name: "store", Customer: "menders"}},
		PutHosts:    []mesh.Host{{ID: "fes-1", Zone: "fes", Service: "desk"}, {ID: "fes-2", Zone: "fes", Service: "store"}},
		PutRules:    []mesh.Rule{rule},
	}
	second := &mesh.Edits{PutHosts: []mesh.Host{{ID: "fes-1", Zone: "fes", Service: "desk"}, {ID: "fes-3", Zone: "fes", Service: "desk"}}}
	third := &mesh.Edits{PutServices: []mesh.Service{{Name: "store", Customer: "stickers"}}, PutRules: []mesh.Rule{book},
		PutHosts: []mesh.Host{{ID: "fes-3", Zone: "fes", Service: "desk"}}}
	decision := func(kind change.Kind, author change.Principal, p string, base mesh.Version, e *mesh.Edits, reason string) change.Record {
		return change.Record{ID: p + string(kind), Kind: kind, Author: author, Proposal: p, Digest: change.Digest(base, *e), Reason: reason}
	}
	fold := change.NewFold(change.State{})
	for i, r := range []change.Record{
		{ID: "first", Kind: change.Propose, Author: nadia, Proposal: "first", Edits: first},
		decision(change.Approve, samir, "first", 0, first, ""),
		decision(change.Release, nadia, "first", 0, first, ""),
		decision(change.Veto, samir, "first", 0, first, "too late"),
		{ID: "second", Kind: change.Propose, Author: nadia, Proposal: "second", Base: 3, Edits: second},
		decision(change.Veto, samir, "second", 3, second, "not before the final"),
		{ID: "third", Kind: change.Propose, Author: nadia, Proposal: "third", Base: 3, Edits: third},
		decision(change.Approve, samir, "third", 3, third, ""),
	} {
		r.AtMillis = time.Date(2026, 6, 1, 9, i, 0, 0, time.UTC).UnixMilli()
		fold.Apply(uint64(i)+1, r)
	}
	return fold.State()
}

// newStaticNode serves the operator API from tables that do not change.
func newStaticNode(t *testing.T) *httptest.Server {
	board := tables.New(blackboard.New(blackboard.PanicOnNested()))
	state := changeHistory()
	routes, faults := route.Compile(state.Version, state.Config)
	must.SliceEmpty(t, faults)
	board.Board.Do(func(tx *blackboard.Tx) {
		board.Changes.Set(tx, state)
		board.Routes.Set(tx, routes)
		for i, zone := range []mesh.Zone{"fes", "fes", "meknes"} {
			host := mesh.HostID(fmt.Sprintf("%s-%d", zone, i+1))
			board.Members.Put(tx, host, mesh.Member{Host: host, Zone: zone, Service: "desk", State: mesh.MemberState(i + 1)})
			board.ServedVersions.Put(tx, host, mesh.Version(3-i))
		}
	}, board.Changes.Write(), board.Routes.Write(), board.Members.Write(), board.ServedVersions.Write())
	meter := metrics.New(tally.NoopScope)
	meter.Count("refused", verdict.NoRoute)
	api := &operator.API{Tables: board, Clock: clock.System{}, Self: mesh.Member{Host: "fes-1", Zone: "fes"}, Meter: meter,
		Credentials: []settings.Credential{{Name: "nadia", Role: change.Operator, Token: "nadia"}}}
	handler, err := api.Handler()
	must.NoError(t, err)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server
}

// A customer must not approve a change other than the one shown: diff fails if the
// digest from the node does not match the edits from the node.
func TestDiffChecksTheDigest(t *testing.T) {
	proposal := `{"id":"p","status":"open","base":0,"digest":"DIGEST","edits":{"delete_hosts":["fes-1"]}}`
	for digest, want := range map[string]int{
		change.Digest(0, mesh.Edits{DeleteHosts: []mesh.HostID{"fes-1"}}): exitDone,
		change.Digest(0, mesh.Edits{DeleteHosts: []mesh.HostID{"fes-2"}}): exitFailed,
	} {
		node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/v1/configuration" {
				w.Write([]byte(`{"version":0,"config":{"hosts":{"fes-1":{"id":"fes-1"}}}}`))
				return
			}
			w.Write([]byte(strings.Replace(proposal, "DIGEST", digest, 1)))
		}))
		var out, errs bytes.Buffer
		must.Eq(t, want, run([]string{"--node", node.URL, "diff", "p"}, &out, &errs), must.Sprint(errs.String()))
		node.Close()
	}
}

// TestScreens compares the output of the commands with a golden file.
func TestScreens(t *testing.T) {
	node := newStaticNode(t)
	var text strings.Builder
	for _, command := range []string{
		"status", "diff third", "diff second", "history", "history --record firstveto", "history --record none",
		"watch --after 6 --count 1", "register", "rules --json",
	} {
		var out, errs bytes.Buffer
		args := append([]string{"--node", node.URL, "--token", "nadia", "--draft", filepath.Join(t.TempDir(), "d")}, strings.Fields(command)...)
		code := run(args, &out, &errs)
		fmt.Fprintf(&text, "$ marigold %s\n%s%s[exit %d]\n\n", command, out.String(), errs.String(), code)
	}
	goldie.New(t, goldie.WithNameSuffix(".txt")).Assert(t, "screens", []byte(text.String()))
}
