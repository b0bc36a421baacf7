package hop

import (
	"net/http"
	"time"

	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// CallerRequest is what a caller says of its request.
type CallerRequest struct {
	// ID is the caller's name for it; empty when it gave none.
	ID string
	// Timeout is how long the caller waits; zero when it did not say.
	Timeout time.Duration
}

// BackendRequest is what a backend server is told of a request.
type BackendRequest struct {
	// Timeout is the time left.
	Timeout time.Duration
	// Instance is the backend server that is meant; empty for any.
	Instance string
	// Origin is the service at whose host the request began; empty when unknown.
	Origin mesh.ServiceName
}

// BackendWord is what a backend server's answer means.
type BackendWord uint8

// The meanings of an answer.
const (
	// Answered: it ran the request; the answer goes to the caller.
	Answered BackendWord = iota
	// Shed: it promises that it did not run the request.
	Shed
	// OtherInstance: another backend server has the address; it did not run
	// the request.
	OtherInstance
	// Foreign: the answer belongs to another request.
	Foreign
	// Unproven: the answer lacks what shows that it is the backend server's.
	Unproven
)

// Dialect is how callers and backend servers word what goes with every
// request. The nodes' own headers between each other are not part of it.
type Dialect interface {
	// ReadCaller reads a caller's headers; a malformed one is an error.
	ReadCaller(http.Header) (CallerRequest, error)
	// WriteBackend puts what the backend server is told into the headers.
	WriteBackend(http.Header, BackendRequest)
	// ReadBackend says what an answer means that came where the answer to
	// sent was due.
	ReadBackend(answer *http.Response, sent *http.Request) BackendWord
	// Answer adds to the head of a backend server's answer what a caller is
	// told beside it.
	Answer(http.Header)
	// Refuse answers a caller whose request failed.
	Refuse(http.ResponseWriter, Refusal)
}

// Plain is the dialect of the nodes' own headers.
type Plain struct {
	// NotRunHeader is the header by which a backend server's 429 or 503
	// promises that the request was not run; empty for none.
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
func (p Plain) ReadBackend(answer *http.Response, _ *http.Request) BackendWord {
	refused := answer.StatusCode == http.StatusServiceUnavailable || answer.StatusCode == http.StatusTooManyRequests
	if refused && p.NotRunHeader != "" && answer.Header.Get(p.NotRunHeader) != "" {
		return Shed
	}
	return Answered
}

// Answer implements Dialect.
func (Plain) Answer(h http.Header) { h.Set(HeaderVerdict, verdict.Ran.String()) }

// Refuse implements Dialect.
func (Plain) Refuse(w http.ResponseWriter, r Refusal) { r.Send(w) }
