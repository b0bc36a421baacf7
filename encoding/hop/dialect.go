package hop

import (
	"net/http"
	"time"

	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// CallerRequest holds the request headers that a caller sets.
type CallerRequest struct {
	// ID is the caller's ID of the request; empty when absent.
	ID string
	// ParentID is the caller's ID of the request for which a backend server makes
	// this one; empty for other requests and if the ID does not tell.
	ParentID string
	// Timeout is how long the caller waits; zero when absent.
	Timeout time.Duration
	// Key is the hash of the key of the caller's account; zero when absent.
	Key mesh.KeyHash
}

// BackendRequest holds the values of the request headers for a backend server.
type BackendRequest struct {
	// Timeout is the time left until the request's deadline.
	Timeout time.Duration
	// Instance is the backend server that the request is meant for; empty for
	// any.
	Instance string
	// Origin is the service on the host where the request entered the mesh;
	// empty when unknown.
	Origin mesh.ServiceName
	// Account is the client account of the request; empty for none.
	Account mesh.AccountName
}

// ResponseClass classifies a response on a connection to a backend server.
type ResponseClass uint8

// The classes of a response.
const (
	// ResponseAccepted: the backend server ran the request; the response
	// goes to the caller.
	ResponseAccepted ResponseClass = iota
	// ResponseShed: the backend server guarantees that it did not run the
	// request.
	ResponseShed
	// ResponseOtherInstance: another backend server has the address. It did
	// not run the request.
	ResponseOtherInstance
	// ResponseMismatched: the response belongs to another request.
	ResponseMismatched
	// ResponseNotAuthentic: the response lacks the proof that the backend server
	// sent it.
	ResponseNotAuthentic
)

// Dialect maps the metadata of requests and responses to the headers that
// callers and backend servers use. The nodes' own headers between each other are
// not part of it.
type Dialect interface {
	// ReadCallerRequest parses a caller's headers. It returns an error if one is
	// malformed.
	ReadCallerRequest(http.Header) (CallerRequest, error)
	// RemoveAccount removes the headers by which a caller states an account: the
	// key, which backend servers must not see, and an account's name, which only
	// the nodes set. It is called if the configuration has accounts.
	RemoveAccount(http.Header)
	// WriteBackendRequest sets the request headers for a backend server.
	WriteBackendRequest(http.Header, BackendRequest)
	// ClassifyResponse classifies a response that was received where the response
	// to sent was expected.
	ClassifyResponse(response *http.Response, sent *http.Request) ResponseClass
	// WriteResponseHeaders adds headers for the caller to a backend server's
	// response.
	WriteResponseHeaders(http.Header)
	// WriteRefusal writes the response to a caller whose request failed.
	WriteRefusal(http.ResponseWriter, Refusal)
}

// DefaultDialect is the dialect of the nodes' own headers. Nodes without a
// platform adapter use it.
type DefaultDialect struct {
	// NotRunHeader is the header by which a backend server guarantees with
	// status 429 or 503 that it did not run the request; empty for none.
	NotRunHeader string
}

// ReadCallerRequest implements Dialect.
func (DefaultDialect) ReadCallerRequest(h http.Header) (CallerRequest, error) {
	timeout, err := ReadTimeout(h)
	return CallerRequest{Timeout: timeout}, err
}

// RemoveAccount implements Dialect. The nodes' own configuration has no accounts.
func (DefaultDialect) RemoveAccount(http.Header) {}

// WriteBackendRequest implements Dialect.
func (DefaultDialect) WriteBackendRequest(h http.Header, r BackendRequest) {
	WriteTimeout(h, r.Timeout)
}

// ClassifyResponse implements Dialect.
func (d DefaultDialect) ClassifyResponse(response *http.Response, _ *http.Request) ResponseClass {
	refused := response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
	if refused && d.NotRunHeader != "" && response.Header.Get(d.NotRunHeader) != "" {
		return ResponseShed
	}
	return ResponseAccepted
}

// WriteResponseHeaders implements Dialect.
func (DefaultDialect) WriteResponseHeaders(h http.Header) { h.Set(HeaderVerdict, verdict.Ran.String()) }

// WriteRefusal implements Dialect.
func (DefaultDialect) WriteRefusal(w http.ResponseWriter, r Refusal) { r.Send(w) }
