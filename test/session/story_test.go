package session_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// story runs a session and writes down what each party sent and was told.
type story struct {
	*testing.T
	*world
	text strings.Builder
}

// request is one request under way.
type request struct {
	title string
	done  chan struct{}
	told  *httptest.ResponseRecorder
}

func (s *story) chapter(title string) { fmt.Fprintf(&s.text, "\n## %s\n\n", title) }

func (s *story) note(format string, values ...any) {
	fmt.Fprintf(&s.text, "%6.1fs  %s\n", s.clock.Now().Sub(began).Seconds(), fmt.Sprintf(format, values...))
}

// send begins a request and lets the nodes do what they can.
func (s *story) send(who string, n *testNode, method, path string, body any) *request {
	data, err := json.Marshal(body)
	must.NoError(s, err)
	r := &request{
		title: fmt.Sprintf("%s at %s: %s %s", who, n.name, method, path),
		done:  make(chan struct{}),
		told:  httptest.NewRecorder(),
	}
	sent := httptest.NewRequest(method, path, bytes.NewReader(data))
	sent.Header.Set("Authorization", "Bearer "+who)
	go func() {
		defer close(r.done)
		n.api.ServeHTTP(r.told, sent)
	}()
	synctest.Wait()
	s.settle()
	synctest.Wait()
	s.note("%s %s", r.title, shortBody(data))
	return r
}

// told writes the answer to a request down, or that there is none yet.
func (s *story) told(r *request) {
	synctest.Wait()
	select {
	case <-r.done:
		answer, err := io.ReadAll(r.told.Body)
		must.NoError(s, err)
		s.note("  -> %d %s", r.told.Code, strings.TrimSpace(string(answer)))
	default:
		s.note("  -> no answer yet (%s)", r.title)
	}
}

func (s *story) post(who string, n *testNode, path string, body any) {
	s.told(s.send(who, n, "POST", "/v1/"+path, body))
}

func (s *story) get(who string, n *testNode, path string) {
	s.told(s.send(who, n, "GET", "/v1/"+path, nil))
}

// digest returns the digest of a proposal, as its customers see it.
func (s *story) digest(n *testNode, id string) string {
	return n.tables.Changes.Load().Proposals[id].Digest
}

// state writes down what each node serves and knows.
func (s *story) state() {
	for _, n := range s.nodes {
		known := n.tables.Changes.Load()
		inForce := mesh.Version(0)
		if routes := n.tables.Routes.Load(); routes != nil {
			inForce = routes.Version
		}
		s.note("%s serves version %d and has read to offset %d", n.name, inForce, known.Offset)
	}
}

// history writes down every proposal that a node knows, and the answers to it.
func (s *story) history(n *testNode) {
	for _, p := range change.InLogOrder(n.tables.Changes.Load().Proposals) {
		s.note("%d: %s by %s, from version %d, is %s; needs %v, approved by %v",
			p.Offset, p.ID, p.By.Name, p.Base, p.Status, p.Needs, p.Approved)
		for _, a := range p.Answers {
			s.note("  %d: %s by %s, late: %t %s", a.Offset, a.Kind, a.By.Name, a.Late, a.Reason)
		}
	}
}

// digests are shortened, so that the story can be read.
var digests = regexp.MustCompile(`[0-9a-f]{64}`)

func shortDigests(text string) string {
	return digests.ReplaceAllStringFunc(text, func(d string) string { return d[:8] })
}

func shortBody(data []byte) string {
	const longest = 160
	text := shortDigests(string(data))
	if text == "null" {
		return ""
	}
	if len(text) > longest {
		return text[:longest] + "..."
	}
	return text
}

func newStory(t *testing.T, names ...string) *story {
	return &story{T: t, world: newWorld(t, names...)}
}

// play runs the story in a bubble of virtual time: requests are goroutines that
// wait in tables, and are known to wait.
func (s *story) play(tell func()) string {
	synctest.Test(s.T, func(*testing.T) {
		tell()
		s.advance(time.Minute)
		synctest.Wait()
	})
	return shortDigests(s.text.String())
}
