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

// transcript runs a session and logs the requests, the responses and the nodes'
// states as text, for comparison with a golden file.
type transcript struct {
	*testing.T
	*cluster
	text strings.Builder
}

// request is an HTTP request to a node's API.
type request struct {
	title    string
	done     chan struct{} // closed when the response is complete
	response *httptest.ResponseRecorder
}

// section starts a section of the text.
func (s *transcript) section(title string) { fmt.Fprintf(&s.text, "\n## %s\n\n", title) }

// printf adds a line with the virtual time since the start.
func (s *transcript) printf(format string, values ...any) {
	fmt.Fprintf(&s.text, "%6.1fs  %s\n", s.clock.Now().Sub(startTime).Seconds(), fmt.Sprintf(format, values...))
}

// send starts a request with the token of a login and runs the nodes until they have
// nothing to do at the current time. The request can still be unanswered then.
func (s *transcript) send(login string, n *testNode, method, path string, body any) *request {
	data, err := json.Marshal(body)
	must.NoError(s, err)
	r := &request{
		title:    fmt.Sprintf("%s at %s: %s %s", login, n.name, method, path),
		done:     make(chan struct{}),
		response: httptest.NewRecorder(),
	}
	sent := httptest.NewRequest(method, path, bytes.NewReader(data))
	sent.Header.Set("Authorization", "Bearer "+login)
	go func() {
		defer close(r.done)
		n.api.ServeHTTP(r.response, sent)
	}()
	synctest.Wait()
	s.settle()
	synctest.Wait()
	s.printf("%s %s", r.title, shortenBody(data))
	return r
}

// printResponse logs the response to a request, or that there is none yet.
func (s *transcript) printResponse(r *request) {
	synctest.Wait()
	select {
	case <-r.done:
		body, err := io.ReadAll(r.response.Body)
		must.NoError(s, err)
		s.printf("  -> %d %s", r.response.Code, strings.TrimSpace(string(body)))
	default:
		s.printf("  -> no answer yet (%s)", r.title)
	}
}

func (s *transcript) post(login string, n *testNode, path string, body any) {
	s.printResponse(s.send(login, n, "POST", "/v1/"+path, body))
}

func (s *transcript) get(login string, n *testNode, path string) {
	s.printResponse(s.send(login, n, "GET", "/v1/"+path, nil))
}

// digest returns the digest of a proposal in the state of a node.
func (s *transcript) digest(n *testNode, id string) string {
	return n.tables.Changes.Load().Proposals[id].Digest
}

// printVersions logs each node's version in force and the last offset that it
// applied.
func (s *transcript) printVersions() {
	for _, n := range s.nodes {
		state := n.tables.Changes.Load()
		inForce := mesh.Version(0)
		if routes := n.tables.Routes.Load(); routes != nil {
			inForce = routes.Version
		}
		s.printf("%s serves version %d and has read to offset %d", n.name, inForce, state.Offset)
	}
}

// printProposals logs every proposal in the state of a node, with the decisions on
// it.
func (s *transcript) printProposals(n *testNode) {
	for _, p := range change.InLogOrder(n.tables.Changes.Load().Proposals) {
		s.printf("%d: %s by %s, from version %d, is %s; needs %v, approved by %v",
			p.Offset, p.ID, p.Author.Name, p.Base, p.Status, p.RequiredApprovers, p.ApprovedBy)
		for _, a := range p.Decisions {
			s.printf("  %d: %s by %s, late: %t %s", a.Offset, a.Kind, a.Author.Name, a.Late, a.Reason)
		}
	}
}

// digestPattern matches the digests that shortenDigests shortens to 8 digits, to keep
// the text readable.
var digestPattern = regexp.MustCompile(`[0-9a-f]{64}`)

func shortenDigests(text string) string {
	return digestPattern.ReplaceAllStringFunc(text, func(d string) string { return d[:8] })
}

func shortenBody(data []byte) string {
	const maxBytes = 160
	text := shortenDigests(string(data))
	if text == "null" {
		return ""
	}
	if len(text) > maxBytes {
		return text[:maxBytes] + "..."
	}
	return text
}

func newTranscript(t *testing.T, names ...string) *transcript {
	return &transcript{T: t, cluster: newCluster(t, names...)}
}

// run calls steps in a synctest bubble and returns the text. Each request is a
// goroutine that waits for rows of tables; the bubble shows when all of them are
// blocked.
func (s *transcript) run(steps func()) string {
	synctest.Test(s.T, func(*testing.T) {
		steps()
		s.advance(time.Minute)
		synctest.Wait()
	})
	return shortenDigests(s.text.String())
}
