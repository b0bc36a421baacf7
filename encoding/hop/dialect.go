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
	// Timeout is how long the caller waits; zero when absent.
	Timeout time.Duration
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
}

// BackendWord classifies a response on a connection to a backend server.
type BackendWord uint8

// The classes of a response.
const (
	// Answered: the backend server ran the request; the response goes to the
	// caller.
	Answered BackendWord = iota
	// Shed: the backend server guarantees that it did not run the request.
	Shed
	// OtherInstance: another backend server has the address. It did not run the
	// request.
	OtherInstance
	// Foreign: the response belongs to another request.
	Foreign
	// Unproven: the response lacks the proof that the backend server sent it.
	Unproven
)

// Dialect maps the metadata of requests and responses to the headers that
// callers and backend servers use. The nodes' own headers between each other are
// not part of it.
type Dialect interface {
	// ReadCaller parses a caller's headers. It returns an error if one is
	// malformed.
	ReadCaller(http.Header) (CallerRequest, error)
	// WriteBackend sets the request headers for a backend server.
	WriteBackend(http.Header, BackendRequest)
	// ReadBackend classifies a response that was received where the response to
	// sent was expected.
	ReadBackend(response *http.Response, sent *http.Request) BackendWord
	// Answer adds headers for the caller to a backend server's response.
	Answer(http.Header)
	// Refuse writes the response to a caller whose request failed.
	Refuse(http.ResponseWriter, Refusal)
}

// Plain is the dialect of the nodes' own headers. Nodes without a platform
// adapter use it.
type Plain struct {
	// NotRunHeader is the header by which a backend server guarantees with
	// status 429 or 503 that it did not run the request; empty for none.
	NotRunHeader string
}

// ReadCaller implements Dialect.
func (Plain) ReadCaller(h http.Header) (CallerRequest, error) {
	timeout, err := ReadTimeout(h)
	return CallerRequest{Timeout: timeout}, err
}

// WriteBackend implements Dialect.
func (Plain) WriteBackend(h http.Header, r BackendRequest) { WriteTimeout(h, r.Timeout) }

// ReadBackend implements Dialect.
func (p Plain) ReadBackend(response *http.Response, _ *http.Request) BackendWord {
	refused := response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
	if refused && p.NotRunHeader != "" && response.Header.Get(p.NotRunHeader) != "" {
		return Shed
	}
	return Answered
}

// Answer implements Dialect.
func (Plain) Answer(h http.Header) { h.Set(HeaderVerdict, verdict.Ran.String()) }

// Refuse implements Dialect.
func (Plain) Refuse(w http.ResponseWriter, r Refusal) { r.Send(w) }
