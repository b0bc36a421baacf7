// Package hop encodes what two nodes tell each other about a caller's request:
// headers on the HTTP request that carries it, and on the answer. Headers with
// the prefix are the nodes' own: they are stripped from what callers and
// backend servers send.
package hop

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// prefix begins the name of each of the nodes' own headers, in canonical form.
const prefix = "Marigold-"

// The headers.
const (
	headerCall       = prefix + "Call"
	headerTarget     = prefix + "Target"
	headerService    = prefix + "Service"
	headerClass      = prefix + "Class"
	headerVersion    = prefix + "Version"
	headerLoad       = prefix + "Load"
	headerRetryAfter = prefix + "Retry-After-Ms"

	// HeaderTimeout bounds a request, in milliseconds; callers may set it.
	HeaderTimeout = prefix + "Timeout-Ms"
	// HeaderVerdict tells the caller whether a failed request may have run.
	HeaderVerdict = prefix + "Verdict"
	// HeaderReason tells the caller why a request failed.
	HeaderReason = prefix + "Reason"
)

// Request is what the node that took a request tells the one that admits it.
type Request struct {
	// ID names this attempt; no two attempts share one.
	ID      string
	Target  mesh.HostID
	Service mesh.ServiceName
	Class   mesh.Class
	Version mesh.Version
	// Timeout is the time left, in whole milliseconds on the wire. It is
	// relative because hosts' clocks differ.
	Timeout time.Duration
}

// IsRequest reports whether an HTTP request carries a caller's request.
func IsRequest(h http.Header) bool { return h.Get(headerCall) != "" }

// Write puts the request's headers into h.
func (r Request) Write(h http.Header) {
	h.Set(headerCall, r.ID)
	h.Set(headerTarget, string(r.Target))
	h.Set(headerService, string(r.Service))
	h.Set(headerClass, string(r.Class))
	h.Set(headerVersion, strconv.FormatUint(uint64(r.Version), 10))
	h.Set(HeaderTimeout, formatMillis(r.Timeout))
}

// ReadRequest reads what Write wrote; a malformed header is an error.
func ReadRequest(h http.Header) (Request, error) {
	version, err := strconv.ParseUint(h.Get(headerVersion), 10, 64)
	if err != nil {
		return Request{}, eris.Wrap(err, "hop: version")
	}
	timeout, err := ReadTimeout(h)
	if err != nil {
		return Request{}, err
	}
	r := Request{
		ID:      h.Get(headerCall),
		Target:  mesh.HostID(h.Get(headerTarget)),
		Service: mesh.ServiceName(h.Get(headerService)),
		Class:   mesh.Class(h.Get(headerClass)),
		Version: mesh.Version(version),
		Timeout: timeout,
	}
	if !r.Class.Valid() {
		return Request{}, eris.Errorf("hop: unknown class %q", r.Class)
	}
	return r, nil
}

// ReadTimeout reads the time left, zero when there is none in h. A value that
// is no whole number of milliseconds, 1 to 3,600,000, is an error.
func ReadTimeout(h http.Header) (time.Duration, error) {
	text := h.Get(HeaderTimeout)
	if text == "" {
		return 0, nil
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis < 1 || millis > time.Hour.Milliseconds() {
		return 0, eris.Errorf("hop: bad timeout %q", text)
	}
	return time.Duration(millis) * time.Millisecond, nil
}

// WriteTimeout puts the time left into h, for a backend server that passes it
// on with calls of its own.
func WriteTimeout(h http.Header, d time.Duration) { h.Set(HeaderTimeout, formatMillis(d)) }

// Answer is what the admitting node tells about an answer.
type Answer struct {
	Verdict verdict.Verdict
	// Reason is empty on the backend server's own answer.
	Reason     verdict.Reason
	Load       mesh.Load
	RetryAfter time.Duration
}

// Write puts the answer's headers into h.
func (a Answer) Write(h http.Header) {
	h.Set(HeaderVerdict, a.Verdict.String())
	h.Set(headerLoad, fmt.Sprintf("%d/%d/%d", a.Load.Slots, a.Load.Busy, a.Load.Queued))
	if a.Reason != "" {
		h.Set(HeaderReason, string(a.Reason))
	}
	if a.RetryAfter > 0 {
		h.Set(headerRetryAfter, formatMillis(a.RetryAfter))
	}
}

// ReadAnswer reads what Write wrote. Without a verdict it is MayHaveRun.
func ReadAnswer(h http.Header) (Answer, error) {
	a := Answer{
		Verdict: verdict.Parse(h.Get(HeaderVerdict)),
		Reason:  verdict.Reason(h.Get(HeaderReason)),
	}
	if millis, err := strconv.ParseInt(h.Get(headerRetryAfter), 10, 64); err == nil && millis > 0 {
		a.RetryAfter = time.Duration(millis) * time.Millisecond
	}
	_, err := fmt.Sscanf(h.Get(headerLoad), "%d/%d/%d", &a.Load.Slots, &a.Load.Busy, &a.Load.Queued)
	return a, eris.Wrap(err, "hop: load")
}

// Strip removes the nodes' own headers from h.
func Strip(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, prefix) {
			delete(h, name)
		}
	}
}

// formatMillis rounds up, so that no time left never reads as none.
func formatMillis(d time.Duration) string {
	millis := (d + time.Millisecond - 1) / time.Millisecond
	return strconv.FormatInt(int64(max(millis, 1)), 10)
}
