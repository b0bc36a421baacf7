package bubble

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/front/operator"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Answer is what came of a caller's request.
type Answer struct {
	Status  int
	Verdict string
	Reason  string
	Backend string
	Body    string
	// Err is set when no whole answer came.
	Err error
}

// Request is a caller's request.
type Request struct {
	Method   string
	HostName string
	Path     string
	Body     string
	// Stream is the body in place of Body; its length is unknown unless Length
	// announces one.
	Stream io.Reader
	Length int64
	// Run names the request in the backend servers' counts.
	Run string
	// Key is the idempotency key; empty for none.
	Key     string
	Timeout time.Duration
}

// Call sends a caller's request into a host's node.
func (f *Fleet) Call(at mesh.HostID, r Request) (a Answer) {
	if r.Timeout == 0 {
		r.Timeout = time.Minute
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.Timeout)
	defer cancel()
	address := "http://" + f.Hosts[at].IP + ":7100" + r.Path
	if r.Stream == nil {
		r.Stream = strings.NewReader(r.Body)
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, address, r.Stream)
	must.NoError(f.t, err)
	if r.Length > 0 {
		request.ContentLength = r.Length
	}
	request.Host = r.HostName
	request.Header.Set(HeaderRun, r.Run)
	if r.Key != "" {
		request.Header.Set("Idempotency-Key", r.Key)
	}
	response, err := f.client.RoundTrip(request)
	if err != nil {
		return Answer{Err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return Answer{
		Status:  response.StatusCode,
		Verdict: response.Header.Get("Marigold-Verdict"),
		Reason:  response.Header.Get("Marigold-Reason"),
		Backend: response.Header.Get("X-Backend"),
		Body:    string(body),
		Err:     err,
	}
}

// Operate sends a request to a host's operators' listener and decodes its
// answer; it returns the status, 0 when there was no answer.
func (f *Fleet) Operate(at mesh.HostID, token, method, path string, body, answer any) int {
	data, err := json.Marshal(body)
	must.NoError(f.t, err)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	address := "http://" + f.Hosts[at].IP + ":7300" + path
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(data))
	must.NoError(f.t, err)
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := f.client.RoundTrip(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0
	}
	if answer != nil {
		must.NoError(f.t, json.Unmarshal(raw, answer), must.Sprintf("answer %s", raw))
	}
	return response.StatusCode
}

// Propose proposes the fleet's configuration with the deadline given for every
// rule, and returns the proposal's digest.
func (f *Fleet) Propose(at mesh.HostID, id string, base mesh.Version, deadline time.Duration) string {
	f.t.Helper()
	request := operator.ProposeRequest{ID: id, Base: base, Config: f.Config(deadline)}
	var done operator.Submitted
	status := f.Operate(at, OperatorToken, "POST", "/v1/proposals", request, &done)
	must.Eq(f.t, http.StatusOK, status, must.Sprintf("propose %s: %+v", id, done.Outcome))
	var list []change.Proposal
	f.Operate(at, OperatorToken, "GET", "/v1/proposals", nil, &list)
	for _, p := range list {
		if p.ID == id {
			return p.Digest
		}
	}
	f.t.Fatalf("proposal %s is not listed", id)
	return ""
}

// Answer sends an approval, veto, release or withholding and returns the
// status and what was submitted.
func (f *Fleet) Answer(at mesh.HostID, kind change.Kind, id, digest string) (int, operator.Submitted) {
	token := OperatorToken
	if kind == change.Approve || kind == change.Veto {
		token = CustomerToken
	}
	var done operator.Submitted
	path := fmt.Sprintf("/v1/proposals/%s/%s", id, kind)
	status := f.Operate(at, token, "POST", path, operator.AnswerRequest{Digest: digest}, &done)
	return status, done
}

// Release puts the fleet's configuration in force and returns its version.
func (f *Fleet) Release(at mesh.HostID, id string, base mesh.Version, deadline time.Duration) mesh.Version {
	f.t.Helper()
	digest := f.Propose(at, id, base, deadline)
	status, _ := f.Answer(at, change.Approve, id, digest)
	must.Eq(f.t, http.StatusOK, status)
	status, done := f.Answer(at, change.Release, id, digest)
	must.Eq(f.t, http.StatusOK, status)
	return done.Outcome.Version
}

// Config is a configuration of every host of the fleet. A service's host name
// is its name with ".example"; each class has a path of its own.
func (f *Fleet) Config(deadline time.Duration) mesh.Config {
	c := mesh.Config{
		Services: make(map[mesh.ServiceName]mesh.Service),
		Hosts:    make(map[mesh.HostID]mesh.Host),
		Rules:    make(map[string]mesh.Rule),
	}
	for _, h := range f.Hosts {
		c.Services[h.Service] = mesh.Service{Name: h.Service, Customer: Customer}
		c.Hosts[h.ID] = mesh.Host{ID: h.ID, Zone: h.Zone, Service: h.Service}
		for _, class := range mesh.Classes() {
			id := string(h.Service) + "-" + string(class)
			c.Rules[id] = mesh.Rule{
				ID: id, HostName: string(h.Service) + ".example", PathPrefix: "/" + string(class),
				Service: h.Service, Class: class, DeadlineMillis: int(deadline.Milliseconds()), Retries: 2,
			}
		}
	}
	return c
}

// Status returns a node's status; ok is false when it did not answer.
func (f *Fleet) Status(at mesh.HostID) (s operator.Status, ok bool) {
	status := f.Operate(at, OperatorToken, "GET", "/v1/status", nil, &s)
	return s, status == http.StatusOK
}

// Eventually waits, in virtual time, until holds returns true, and returns how
// long that took.
func (f *Fleet) Eventually(what string, holds func() bool) time.Duration {
	f.t.Helper()
	start := time.Now()
	for time.Since(start) < patience {
		if holds() {
			return time.Since(start)
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatalf("never came about: %s", what)
	return 0
}

// AwaitVersion waits until every host named has at least the version in force.
func (f *Fleet) AwaitVersion(v mesh.Version, hosts ...mesh.HostID) time.Duration {
	f.t.Helper()
	return f.Eventually(fmt.Sprintf("version %d at %v", v, hosts), func() bool {
		for _, id := range hosts {
			if s, ok := f.Status(id); !ok || s.Version < v {
				return false
			}
		}
		return true
	})
}
