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

// fakeNode answers every request that changes something in one way, and says
// that no version is in force.
type fakeNode struct {
	*httptest.Server
	status int
	answer string
	// cut breaks the connection in place of an answer.
	cut bool
	// posted has the bodies that came.
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
		if f.cut {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(f.status)
		w.Write([]byte(f.answer))
	}))
	t.Cleanup(f.Close)
	return f
}

func (f *fakeNode) says(status int, answer string) { f.status, f.answer, f.cut = status, answer, false }

// do runs the command line against the node.
func (f *fakeNode) do(t *testing.T, draft string, args ...string) (int, string) {
	t.Helper()
	var out, errs bytes.Buffer
	code := run(append([]string{"--node", f.URL, "--draft", draft}, args...), &out, &errs)
	return code, out.String() + errs.String()
}

const (
	accepted = `{"id":"x","state":"in_log","outcome":{"accepted":true,"version":9}}`
	refused  = `{"id":"x","state":"in_log","outcome":{"accepted":false,"refusal":"not_open","detail":"it is vetoed","version":9}}`
	unknown  = `{"id":"x","state":"unknown"}`
	notSent  = `{"id":"x","state":"not_appended"}`
)

func TestExitCodeSaysWhetherAChangeWasMade(t *testing.T) {
	node := newFakeNode(t)
	draft := filepath.Join(t.TempDir(), "draft.json")
	for _, c := range []struct {
		name   string
		status int
		answer string
		args   []string
		want   int
	}{
		{"accepted", 200, accepted, []string{"release", "p"}, exitDone},
		{"refused", 409, refused, []string{"release", "p"}, exitNotMade},
		{"unknown", 202, unknown, []string{"release", "p"}, exitMayBeMade},
		{"refused by the platform", 503, notSent, []string{"release", "p"}, exitNotMade},
		{"refused by the platform, repeated", 503, notSent, []string{"release", "p", "--id", "x"}, exitMayBeMade},
		{"wrong role", 403, `{"code":"wrong_role","error":"no"}`, []string{"approve", "p", "--digest", "d"}, exitNotMade},
		{"interrupted", 503, `{"code":"interrupted","error":"no"}`, []string{"withhold", "p"}, exitMayBeMade},
		{"not a node's answer", 502, `bad gateway`, []string{"release", "p"}, exitMayBeMade},
		{"no digest", 200, accepted, []string{"veto", "p"}, exitUsage},
		{"drained", 200, `{"host":"h","draining":true}`, []string{"drain", "h"}, exitDone},
		{"other host", 409, `{"code":"wrong_host","error":"no"}`, []string{"drain", "h"}, exitNotMade},
		{"no record", 200, "", []string{"propose"}, exitNotMade},
	} {
		node.says(c.status, c.answer)
		code, text := node.do(t, draft, c.args...)
		must.Eq(t, c.want, code, must.Sprintf("%s: %s", c.name, text))
		code, text = node.do(t, draft, append(c.args, "--json")...)
		must.Eq(t, c.want, code, must.Sprintf("%s: %s", c.name, text))
	}
	node.cut = true
	code, _ := node.do(t, draft, "release", "p")
	must.Eq(t, exitMayBeMade, code)
	node.Close()
	code, _ = node.do(t, draft, "release", "p") // nobody listens: nothing was sent
	must.Eq(t, exitNotMade, code)
	code, _ = node.do(t, draft, "status")
	must.Eq(t, exitFailed, code)
}

func TestProposalOfUnknownEndIsSentAgainAsItWas(t *testing.T) {
	node := newFakeNode(t)
	folder := t.TempDir()
	draft := filepath.Join(folder, "draft.json")
	file := filepath.Join(folder, "register.json")
	must.NoError(t, os.WriteFile(file, []byte(`{"services":[{"name":"desk","customer":"menders"}],"hosts":[]}`), 0o600))
	code, text := node.do(t, draft, "register", file)
	must.Eq(t, exitDone, code, must.Sprint(text))
	must.SliceEmpty(t, node.posted)

	node.says(202, unknown)
	code, _ = node.do(t, draft, "propose", "--reason", "june")
	must.Eq(t, exitMayBeMade, code)
	code, _ = node.do(t, draft, "register", file) // not over one whose end is not known
	must.Eq(t, exitNotMade, code)
	node.says(503, notSent) // the first one may be in the log all the same
	code, _ = node.do(t, draft, "propose")
	must.Eq(t, exitMayBeMade, code)
	node.says(200, accepted)
	code, _ = node.do(t, draft, "propose")
	must.Eq(t, exitDone, code)
	must.Len(t, 3, node.posted)
	must.Eq(t, node.posted[0], node.posted[1])
	must.Eq(t, node.posted[0], node.posted[2])
	must.FileNotExists(t, draft)
}

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
