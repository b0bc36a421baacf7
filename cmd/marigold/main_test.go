package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/front/operator"
)

// fakeNode is a fake operator API. It answers every POST with the configured
// status and body, and every GET with an empty configuration at version 0.
type fakeNode struct {
	*httptest.Server
	status int
	body   string
	// abort closes the connection instead of answering a POST.
	abort bool
	// posted holds the bodies of the POST requests, in order.
	posted []operator.ProposeRequest
}

func newFakeNode(t *testing.T) *fakeNode {
	f := &fakeNode{}
	f.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			w.Write([]byte(`{"version":0,"config":{"services":{},"hosts":{},"rules":{}}}`))
			return
		}
		var body operator.ProposeRequest
		_ = json.NewDecoder(r.Body).Decode(&body)
		f.posted = append(f.posted, body)
		if f.abort {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(f.status)
		w.Write([]byte(f.body))
	}))
	t.Cleanup(f.Close)
	return f
}

func (f *fakeNode) respondWith(status int, body string) {
	f.status, f.body, f.abort = status, body, false
}

// runCommand runs the command line against the node and returns its exit code and
// its combined output.
func (f *fakeNode) runCommand(t *testing.T, draft string, args ...string) (int, string) {
	t.Helper()
	var out, errs bytes.Buffer
	code := run(append([]string{"--node", f.URL, "--draft", draft}, args...), &out, &errs)
	return code, out.String() + errs.String()
}

const (
	accepted    = `{"id":"x","state":"in_log","outcome":{"accepted":true,"version":9}}`
	refused     = `{"id":"x","state":"in_log","outcome":{"accepted":false,"refusal":"not_open","detail":"it is vetoed","version":9}}`
	unknown     = `{"id":"x","state":"unknown"}`
	notAppended = `{"id":"x","state":"not_appended"}`
)

// Scripts rely on the exit code: it must report a change as not made only if the
// record cannot be in the log, and as possibly made after a lost or unusable
// response.
func TestExitCodeSaysWhetherAChangeWasMade(t *testing.T) {
	node := newFakeNode(t)
	draft := filepath.Join(t.TempDir(), "draft.json")
	for _, c := range []struct {
		name   string
		status int
		body   string
		args   []string
		want   int
	}{
		{"accepted", 200, accepted, []string{"release", "p"}, exitDone},
		{"refused", 409, refused, []string{"release", "p"}, exitNotMade},
		{"unknown", 202, unknown, []string{"release", "p"}, exitMaybeMade},
		{"refused by the platform", 503, notAppended, []string{"release", "p"}, exitNotMade},
		{"refused by the platform, repeated", 503, notAppended, []string{"release", "p", "--id", "x"}, exitMaybeMade},
		{"wrong role", 403, `{"code":"wrong_role","error":"no"}`, []string{"approve", "p", "--digest", "d"}, exitNotMade},
		{"interrupted", 503, `{"code":"interrupted","error":"no"}`, []string{"withhold", "p"}, exitMaybeMade},
		{"not a node's response", 502, `bad gateway`, []string{"release", "p"}, exitMaybeMade},
		{"no digest", 200, accepted, []string{"veto", "p"}, exitUsage},
		{"drained", 200, `{"host":"h","draining":true}`, []string{"drain", "h"}, exitDone},
		{"other host", 409, `{"code":"wrong_host","error":"no"}`, []string{"drain", "h"}, exitNotMade},
		{"no record", 200, "", []string{"propose"}, exitNotMade},
	} {
		node.respondWith(c.status, c.body)
		code, text := node.runCommand(t, draft, c.args...)
		must.Eq(t, c.want, code, must.Sprintf("%s: %s", c.name, text))
		code, text = node.runCommand(t, draft, append(c.args, "--json")...)
		must.Eq(t, c.want, code, must.Sprintf("%s: %s", c.name, text))
	}
	node.abort = true
	code, _ := node.runCommand(t, draft, "release", "p")
	must.Eq(t, exitMaybeMade, code)
	node.Close()
	code, _ = node.runCommand(t, draft, "release", "p") // connection refused: nothing was sent
	must.Eq(t, exitNotMade, code)
	code, _ = node.runCommand(t, draft, "status")
	must.Eq(t, exitFailed, code)
}

// A proposal whose response is lost may be in the log. It is resent with the same ID
// and content and cannot be replaced by a newly staged file, so that it cannot take
// effect twice.
func TestProposalWithUnknownOutcomeIsResentUnchanged(t *testing.T) {
	node := newFakeNode(t)
	folder := t.TempDir()
	draft := filepath.Join(folder, "draft.json")
	file := filepath.Join(folder, "register.json")
	must.NoError(t, os.WriteFile(file, []byte(`{"services":[{"name":"desk","customer":"menders"}],"hosts":[]}`), 0o600))
	code, text := node.runCommand(t, draft, "register", file)
	must.Eq(t, exitDone, code, must.Sprint(text))
	must.SliceEmpty(t, node.posted)

	node.respondWith(202, unknown)
	code, _ = node.runCommand(t, draft, "propose", "--reason", "june")
	must.Eq(t, exitMaybeMade, code)
	code, _ = node.runCommand(t, draft, "register", file) // must not replace a proposal with unknown outcome
	must.Eq(t, exitNotMade, code)
	node.respondWith(503, notAppended) // the first attempt may still be in the log
	code, _ = node.runCommand(t, draft, "propose")
	must.Eq(t, exitMaybeMade, code)
	node.respondWith(200, accepted)
	code, _ = node.runCommand(t, draft, "propose")
	must.Eq(t, exitDone, code)
	must.Len(t, 3, node.posted)
	must.Eq(t, node.posted[0], node.posted[1])
	must.Eq(t, node.posted[0], node.posted[2])
	must.FileNotExists(t, draft)
}

// check reports all faults of a file at once, and none for the example files.
func TestCheckListsEveryFault(t *testing.T) {
	folder := t.TempDir()
	file := filepath.Join(folder, "rules.json")
	must.NoError(t, os.WriteFile(file, []byte(`{"rules":[{"id":"r","host_name":"a.example","path_prefix":"a","service":"desk",
		"class":"lookup","deadline_ms":1},{"id":"r"}]}`), 0o600))
	var out, errs bytes.Buffer
	must.Eq(t, exitFailed, run([]string{"check", "--rules", file, "--register", "../../examples/register.json"}, &out, &errs))
	must.StrContains(t, out.String(), "rule r: is listed twice, as entry 1 and entry 2")
	out.Reset()
	must.Eq(t, exitDone, run([]string{"check", "--rules", "../../examples/rules.json", "--register", "../../examples/register.json",
		"--settings", "../../examples/node.json"}, &out, &errs), must.Sprint(out.String()))
}
