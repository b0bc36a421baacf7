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

// Response is the response to a caller's request.
type Response struct {
	Status  int
	Verdict string // Marigold-Verdict header
	Reason  string // Marigold-Reason header
	Backend string // name of the backend server that executed the request
	Body    string
	// Err is set when no complete response arrived.
	Err error
}

// Request is a caller's request.
type Request struct {
	Method   string
	HostName string
	Path     string
	Body     string
	// BodyReader replaces Body when it is set. It is sent chunked unless
	// ContentLength is set.
	BodyReader io.Reader
	// ContentLength is the Content-Length in bytes; 0 omits it for a
	// BodyReader.
	ContentLength int64
	// RunID identifies the request in the execution counts of the backend servers.
	RunID string
	// IdempotencyKey is sent in the Idempotency-Key header; empty for none.
	IdempotencyKey string
	// Timeout bounds the whole request; 0 means one minute.
	Timeout time.Duration
}

// Call sends a caller's request to a host's node and returns the response.
func (f *Fleet) Call(at mesh.HostID, r Request) (a Response) {
	if r.Timeout == 0 {
		r.Timeout = time.Minute
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.Timeout)
	defer cancel()
	url := "http://" + f.Hosts[at].IP + ":7100" + r.Path
	if r.BodyReader == nil {
		r.BodyReader = strings.NewReader(r.Body)
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, url, r.BodyReader)
	must.NoError(f.t, err)
	if r.ContentLength > 0 {
		request.ContentLength = r.ContentLength
	}
	request.Host = r.HostName
	request.Header.Set(RunHeader, r.RunID)
	if r.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	response, err := f.client.RoundTrip(request)
	if err != nil {
		return Response{Err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return Response{
		Status:  response.StatusCode,
		Verdict: response.Header.Get("Marigold-Verdict"),
		Reason:  response.Header.Get("Marigold-Reason"),
		Backend: response.Header.Get("X-Backend"),
		Body:    string(body),
		Err:     err,
	}
}

// CallOperatorAPI sends a JSON request to the operators' listener of a host and
// decodes the response body into decoded unless decoded is nil. It returns the
// HTTP status, or 0 when no complete response arrived within a minute.
func (f *Fleet) CallOperatorAPI(at mesh.HostID, token, method, path string, body, decoded any) int {
	data, err := json.Marshal(body)
	must.NoError(f.t, err)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	url := "http://" + f.Hosts[at].IP + ":7300" + path
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	must.NoError(f.t, err)
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := f.client.RoundTrip(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return 0
	}
	if decoded != nil {
		must.NoError(f.t, json.Unmarshal(responseBody, decoded), must.Sprintf("response body %s", responseBody))
	}
	return response.StatusCode
}

// Propose proposes the fleet's configuration, with the given deadline in every
// rule, and returns the proposal's digest.
func (f *Fleet) Propose(at mesh.HostID, id string, base mesh.Version, deadline time.Duration) string {
	f.t.Helper()
	request := operator.ProposeRequest{ID: id, Base: base, Config: f.Config(deadline)}
	var submitted operator.SubmitResponse
	status := f.CallOperatorAPI(at, OperatorToken, "POST", "/v1/proposals", request, &submitted)
	must.Eq(f.t, http.StatusOK, status, must.Sprintf("propose %s: %+v", id, submitted.Outcome))
	var proposals []change.Proposal
	f.CallOperatorAPI(at, OperatorToken, "GET", "/v1/proposals", nil, &proposals)
	for _, p := range proposals {
		if p.ID == id {
			return p.Digest
		}
	}
	f.t.Fatalf("proposal %s is not in the list of proposals", id)
	return ""
}

// SubmitDecision sends an approval, veto, release or withholding for a proposal.
// It returns the HTTP status and the response.
func (f *Fleet) SubmitDecision(at mesh.HostID, kind change.Kind, id, digest string) (int, operator.SubmitResponse) {
	token := OperatorToken
	if kind == change.Approve || kind == change.Veto {
		token = CustomerToken
	}
	var submitted operator.SubmitResponse
	path := fmt.Sprintf("/v1/proposals/%s/%s", id, kind)
	status := f.CallOperatorAPI(at, token, "POST", path, operator.ProposalActionRequest{Digest: digest}, &submitted)
	return status, submitted
}

// Release proposes the fleet's configuration, approves and releases it, and
// returns its version.
func (f *Fleet) Release(at mesh.HostID, id string, base mesh.Version, deadline time.Duration) mesh.Version {
	f.t.Helper()
	digest := f.Propose(at, id, base, deadline)
	status, _ := f.SubmitDecision(at, change.Approve, id, digest)
	must.Eq(f.t, http.StatusOK, status)
	status, submitted := f.SubmitDecision(at, change.Release, id, digest)
	must.Eq(f.t, http.StatusOK, status)
	return submitted.Outcome.Version
}

// Config returns a configuration with all hosts of the fleet. A service's host
// name is its name with the suffix ".example", and the path prefix of a rule is
// its class.
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

// Status returns a node's status; ok is false when it does not respond with
// status 200.
func (f *Fleet) Status(at mesh.HostID) (s operator.Status, ok bool) {
	status := f.CallOperatorAPI(at, OperatorToken, "GET", "/v1/status", nil, &s)
	return s, status == http.StatusOK
}

// Eventually polls in virtual time until condition returns true and returns how
// long that took. It fails the test after eventuallyTimeout.
func (f *Fleet) Eventually(what string, condition func() bool) time.Duration {
	f.t.Helper()
	start := time.Now()
	for time.Since(start) < eventuallyTimeout {
		if condition() {
			return time.Since(start)
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatalf("timed out waiting for: %s", what)
	return 0
}

// AwaitVersion waits until all given hosts have version v or a newer one in
// force, and returns how long that took.
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
