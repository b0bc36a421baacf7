// Package hop carries callers' requests over HTTP, from a node to a peer and from
// there to its backend server. It encodes the metadata that two nodes exchange as
// headers of the forwarded request and of the response, and has the connection
// pools, the copying of headers and bodies, and the error responses to callers.
// Headers with the prefix Marigold- are the nodes' own: CopyHeaders strips them
// from what callers and backend servers send.
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

// prefix is the prefix of the nodes' own headers, in canonical form.
const prefix = "Marigold-"

// The nodes' own headers.
const (
	headerCall      = prefix + "Call"
	headerTarget    = prefix + "Target"
	headerService   = prefix + "Service"
	headerClass     = prefix + "Class"
	headerVersion   = prefix + "Version"
	headerPriority  = prefix + "Priority"
	headerObjective = prefix + "Objective-Ms"
	headerOrigin    = prefix + "Origin"
	headerCallerID  = prefix + "Caller-Id"
	headerAccount   = prefix + "Account"
	// headerAccountPriority is absent for priority 0.
	headerAccountPriority = prefix + "Account-Priority"
	headerNested          = prefix + "Nested"
	headerLoad            = prefix + "Load"
	// headerSpeeds holds mesh.Load.Speeds. It is apart from headerLoad because a
	// node of an earlier version rejects a load with more fields. It is absent
	// without speeds.
	headerSpeeds     = prefix + "Speeds"
	headerRetryAfter = prefix + "Retry-After-Ms"
	// headerRetriesExhausted marks a failure that was already retried by the node
	// closest to it. It is passed up the call chain to suppress further retries.
	headerRetriesExhausted = prefix + "Retries-Exhausted"

	// HeaderTimeout is the time left for a request, in milliseconds. Callers can
	// set it.
	HeaderTimeout = prefix + "Timeout-Ms"
	// HeaderVerdict is the verdict.Verdict: whether the request possibly ran.
	HeaderVerdict = prefix + "Verdict"
	// HeaderReason is the verdict.Reason of a failed request.
	HeaderReason = prefix + "Reason"
)

// Request is the metadata of a forwarded request, from the node that received it
// from the caller to the node that admits it to its backend server.
type Request struct {
	// AttemptID identifies this attempt; no two attempts share one.
	AttemptID string
	Target    mesh.HostID
	Service   mesh.ServiceName
	Class     mesh.Class
	Version   mesh.Version
	// Timeout is the time left until the request's deadline, in whole
	// milliseconds on the wire. It is relative because the hosts' clocks differ.
	Timeout time.Duration
	// Priority is the route's priority; 0 is the highest.
	Priority int
	// LatencyObjective is the time left until the latency objective is missed;
	// zero when there is none, and a millisecond when it has passed.
	LatencyObjective time.Duration
	// Origin is the service on the host where the request entered the mesh; empty
	// when unknown.
	Origin mesh.ServiceName
	// CallerID is the caller's ID of the request, for logs; empty when absent.
	CallerID string
	// Account is the client account of the request; empty for none. Its priority
	// goes before Priority.
	Account         mesh.AccountName
	AccountPriority int
	// Nested is true for a call that a backend server makes while it runs a
	// request; the priorities are those of that request.
	Nested bool
}

// IsForwarded reports whether an HTTP request was forwarded by a node.
func IsForwarded(h http.Header) bool { return h.Get(headerCall) != "" }

// Write sets the request's headers in h.
func (r Request) Write(h http.Header) {
	h.Set(headerCall, r.AttemptID)
	h.Set(headerTarget, string(r.Target))
	h.Set(headerService, string(r.Service))
	h.Set(headerClass, string(r.Class))
	h.Set(headerVersion, strconv.FormatUint(uint64(r.Version), 10))
	h.Set(HeaderTimeout, formatMillis(r.Timeout))
	if r.Priority > 0 {
		h.Set(headerPriority, strconv.Itoa(r.Priority))
	}
	if r.LatencyObjective > 0 {
		h.Set(headerObjective, formatMillis(r.LatencyObjective))
	}
	if r.Origin != "" {
		h.Set(headerOrigin, string(r.Origin))
	}
	if r.CallerID != "" {
		h.Set(headerCallerID, r.CallerID)
	}
	if r.Account != "" {
		h.Set(headerAccount, string(r.Account))
	}
	if r.AccountPriority > 0 {
		h.Set(headerAccountPriority, strconv.Itoa(r.AccountPriority))
	}
	if r.Nested {
		h.Set(headerNested, "1")
	}
}

// ReadRequest parses the headers that Write sets. It returns an error if one is
// malformed.
func ReadRequest(h http.Header) (Request, error) {
	version, err := strconv.ParseUint(h.Get(headerVersion), 10, 64)
	if err != nil {
		return Request{}, eris.Wrap(err, "hop: parse configuration version")
	}
	timeout, err := ReadTimeout(h)
	if err != nil {
		return Request{}, err
	}
	r := Request{
		AttemptID: h.Get(headerCall),
		Target:    mesh.HostID(h.Get(headerTarget)),
		Service:   mesh.ServiceName(h.Get(headerService)),
		Class:     mesh.Class(h.Get(headerClass)),
		Version:   mesh.Version(version),
		Timeout:   timeout,
		Origin:    mesh.ServiceName(h.Get(headerOrigin)),
		CallerID:  h.Get(headerCallerID),
		Account:   mesh.AccountName(h.Get(headerAccount)),
		Nested:    h.Get(headerNested) != "",
	}
	if r.Priority, err = optionalInt(h, headerPriority); err != nil {
		return Request{}, err
	}
	if r.AccountPriority, err = optionalInt(h, headerAccountPriority); err != nil {
		return Request{}, err
	}
	objective, err := optionalInt(h, headerObjective)
	if err != nil {
		return Request{}, err
	}
	r.LatencyObjective = time.Duration(objective) * time.Millisecond
	if !r.Class.Valid() {
		return Request{}, eris.Errorf("hop: unknown class %q", r.Class)
	}
	return r, nil
}

// optionalInt parses a header that holds a non-negative integer. It returns zero
// if the header is absent.
func optionalInt(h http.Header, name string) (int, error) {
	text := h.Get(name)
	if text == "" {
		return 0, nil
	}
	number, err := strconv.Atoi(text)
	if err != nil || number < 0 {
		return 0, eris.Errorf("hop: header %s is not a non-negative integer: %q", name, text)
	}
	return number, nil
}

// ReadTimeout parses the HeaderTimeout of h. It returns zero if the header is
// absent, and an error if it is not an integer from 1 to 3,600,000.
func ReadTimeout(h http.Header) (time.Duration, error) {
	text := h.Get(HeaderTimeout)
	if text == "" {
		return 0, nil
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis < 1 || millis > time.Hour.Milliseconds() {
		return 0, eris.Errorf("hop: timeout %q is not an integer from 1 to 3600000 milliseconds", text)
	}
	return time.Duration(millis) * time.Millisecond, nil
}

// WriteTimeout sets HeaderTimeout in h to the time left, so that a backend server
// can pass it on with its own calls.
func WriteTimeout(h http.Header, d time.Duration) { h.Set(HeaderTimeout, formatMillis(d)) }

// ResponseInfo is the metadata of a response from the admitting node.
type ResponseInfo struct {
	Verdict verdict.Verdict
	// Reason is empty if the response is the backend server's own.
	Reason verdict.Reason
	// Load is the load of the admitting node's backend server.
	Load mesh.Load
	// RetryAfter is how long to wait before a retry; zero for no value.
	RetryAfter time.Duration
	// RetriesExhausted marks a failure that must not be retried again.
	RetriesExhausted bool
}

// Write sets the response's headers in h.
func (r ResponseInfo) Write(h http.Header) {
	h.Set(HeaderVerdict, r.Verdict.String())
	h.Set(headerLoad, formatLoad(r.Load))
	if r.Load.Speeds != [mesh.NumClasses]int{} {
		h.Set(headerSpeeds, formatSpeeds(r.Load.Speeds))
	}
	if r.RetriesExhausted {
		h.Set(headerRetriesExhausted, "1")
	}
	if r.Reason != "" {
		h.Set(HeaderReason, string(r.Reason))
	}
	if r.RetryAfter > 0 {
		h.Set(headerRetryAfter, formatMillis(r.RetryAfter))
	}
}

// ReadResponseInfo parses the headers that Write sets. An absent or unknown
// verdict reads as MayHaveRun, and malformed headers as absent.
func ReadResponseInfo(h http.Header) ResponseInfo {
	r := ResponseInfo{
		Verdict:          verdict.Parse(h.Get(HeaderVerdict)),
		Reason:           verdict.Reason(h.Get(HeaderReason)),
		Load:             parseLoad(h.Get(headerLoad)),
		RetriesExhausted: RetriesExhausted(h),
	}
	r.Load.Speeds = parseSpeeds(h.Get(headerSpeeds))
	if millis, err := strconv.ParseInt(h.Get(headerRetryAfter), 10, 64); err == nil && millis > 0 {
		r.RetryAfter = time.Duration(millis) * time.Millisecond
	}
	return r
}

// formatLoad formats a load as SLOTS/BUSY/QUEUED, with /FAILING if not zero.
func formatLoad(l mesh.Load) string {
	text := strconv.Itoa(l.Slots) + "/" + strconv.Itoa(l.Busy) + "/" + strconv.Itoa(l.Queued)
	if l.Failing > 0 {
		text += "/" + strconv.Itoa(l.Failing)
	}
	return text
}

// parseLoad parses the result of formatLoad. A malformed text reads as the zero
// load.
func parseLoad(text string) mesh.Load {
	var numbers [4]int // the last one is optional
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

// formatSpeeds formats the speeds by class index, separated by slashes.
func formatSpeeds(speeds [mesh.NumClasses]int) string {
	text := make([]byte, 0, 8*len(speeds))
	for i, speed := range speeds {
		if i > 0 {
			text = append(text, '/')
		}
		text = strconv.AppendInt(text, int64(speed), 10)
	}
	return string(text)
}

// parseSpeeds parses the result of formatSpeeds. A malformed text, and one of
// another number of classes, reads as no speeds.
func parseSpeeds(text string) (speeds [mesh.NumClasses]int) {
	parts := strings.Split(text, "/")
	if len(parts) != len(speeds) {
		return speeds
	}
	for i, part := range parts {
		number, err := strconv.Atoi(part)
		if err != nil || number < 0 {
			return [mesh.NumClasses]int{}
		}
		speeds[i] = number
	}
	return speeds
}

// RetriesExhausted reports whether a response is a failure that was already
// retried downstream. Backend servers are allowed to pass the header on, since it
// can only suppress retries.
func RetriesExhausted(h http.Header) bool { return h.Get(headerRetriesExhausted) != "" }

// CopyRetriesExhausted copies the header that RetriesExhausted checks from a
// backend server's response.
func CopyRetriesExhausted(to, from http.Header) {
	if RetriesExhausted(from) {
		to.Set(headerRetriesExhausted, "1")
	}
}

// formatMillis formats a duration in milliseconds, rounded up and at least 1,
// because zero reads as absent or malformed.
func formatMillis(d time.Duration) string {
	millis := (d + time.Millisecond - 1) / time.Millisecond
	return strconv.FormatInt(int64(max(millis, 1)), 10)
}
