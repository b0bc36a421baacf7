// Package hop encodes what two nodes tell each other about a caller's request:
// headers on the HTTP request that carries it, and on the answer. Headers with
// the prefix are the nodes' own: they are stripped from what callers and
// backend servers send.
package hop

import (
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
	headerPriority   = prefix + "Priority"
	headerObjective  = prefix + "Objective-Ms"
	headerOrigin     = prefix + "Origin"
	headerCallerID   = prefix + "Caller-Id"
	headerLoad       = prefix + "Load"
	headerRetryAfter = prefix + "Retry-After-Ms"
	// headerExhausted goes up the chain of calls with a failure that was
	// already retried next to where it happened.
	headerExhausted = prefix + "Retries-Exhausted"

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
	// Priority is the route's; 0 goes first.
	Priority int
	// Objective is the time left until an answer is worth less to the caller;
	// zero when nobody said or it has passed.
	Objective time.Duration
	// Origin is the service at whose host the request began; empty when the
	// node does not know.
	Origin mesh.ServiceName
	// CallerID is the caller's own name for the request, for logs; may be empty.
	CallerID string
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
	if r.Priority > 0 {
		h.Set(headerPriority, strconv.Itoa(r.Priority))
	}
	if r.Objective > 0 {
		h.Set(headerObjective, formatMillis(r.Objective))
	}
	if r.Origin != "" {
		h.Set(headerOrigin, string(r.Origin))
	}
	if r.CallerID != "" {
		h.Set(headerCallerID, r.CallerID)
	}
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
		ID:       h.Get(headerCall),
		Target:   mesh.HostID(h.Get(headerTarget)),
		Service:  mesh.ServiceName(h.Get(headerService)),
		Class:    mesh.Class(h.Get(headerClass)),
		Version:  mesh.Version(version),
		Timeout:  timeout,
		Origin:   mesh.ServiceName(h.Get(headerOrigin)),
		CallerID: h.Get(headerCallerID),
	}
	if r.Priority, err = optionalInt(h, headerPriority); err != nil {
		return Request{}, err
	}
	objective, err := optionalInt(h, headerObjective)
	if err != nil {
		return Request{}, err
	}
	r.Objective = time.Duration(objective) * time.Millisecond
	if !r.Class.Valid() {
		return Request{}, eris.Errorf("hop: unknown class %q", r.Class)
	}
	return r, nil
}

// optionalInt reads a header that is a whole number, zero when it is absent.
func optionalInt(h http.Header, name string) (int, error) {
	text := h.Get(name)
	if text == "" {
		return 0, nil
	}
	number, err := strconv.Atoi(text)
	if err != nil || number < 0 {
		return 0, eris.Errorf("hop: bad %s %q", name, text)
	}
	return number, nil
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
	// Exhausted is true on a failure that nobody should try again.
	Exhausted bool
}

// Write puts the answer's headers into h.
func (a Answer) Write(h http.Header) {
	h.Set(HeaderVerdict, a.Verdict.String())
	h.Set(headerLoad, formatLoad(a.Load))
	if a.Exhausted {
		h.Set(headerExhausted, "1")
	}
	if a.Reason != "" {
		h.Set(HeaderReason, string(a.Reason))
	}
	if a.RetryAfter > 0 {
		h.Set(headerRetryAfter, formatMillis(a.RetryAfter))
	}
}

// ReadAnswer reads what Write wrote. Without a verdict it is MayHaveRun.
func ReadAnswer(h http.Header) Answer {
	a := Answer{
		Verdict:   verdict.Parse(h.Get(HeaderVerdict)),
		Reason:    verdict.Reason(h.Get(HeaderReason)),
		Load:      parseLoad(h.Get(headerLoad)),
		Exhausted: Exhausted(h),
	}
	if millis, err := strconv.ParseInt(h.Get(headerRetryAfter), 10, 64); err == nil && millis > 0 {
		a.RetryAfter = time.Duration(millis) * time.Millisecond
	}
	return a
}

func formatLoad(l mesh.Load) string {
	text := strconv.Itoa(l.Slots) + "/" + strconv.Itoa(l.Busy) + "/" + strconv.Itoa(l.Queued)
	if l.Failing > 0 {
		text += "/" + strconv.Itoa(l.Failing)
	}
	return text
}

// parseLoad reads what formatLoad wrote; a malformed text is no load.
func parseLoad(text string) mesh.Load {
	var numbers [4]int // the last may be left out
	parts := strings.Split(text, "/")
	if len(parts) < len(numbers)-1 || len(parts) > len(numbers) {
		return mesh.Load{}
	}
	for i, part := range parts {
		number, err := strconv.Atoi(part)
		if err != nil || number < 0 {
			return mesh.Load{}
		}
		numbers[i] = number
	}
	return mesh.Load{Slots: numbers[0], Busy: numbers[1], Queued: numbers[2], Failing: numbers[3]}
}

// Exhausted reports whether an answer is of a failure that was already retried
// further down. It can only make a node do less, so backend servers may pass
// it on.
func Exhausted(h http.Header) bool { return h.Get(headerExhausted) != "" }

// CopyExhausted passes that mark on from a backend server's answer.
func CopyExhausted(to, from http.Header) {
	if Exhausted(from) {
		to.Set(headerExhausted, "1")
	}
}

// formatMillis rounds up, so that no time left never reads as none.
func formatMillis(d time.Duration) string {
	millis := (d + time.Millisecond - 1) / time.Millisecond
	return strconv.FormatInt(int64(max(millis, 1)), 10)
}
