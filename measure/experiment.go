// Package measure is an open-loop load generator. It sends callers' requests at
// given rates, independently of the progress of earlier requests, and reports
// the responses, the failures by reason, and the latencies of each stream.
//
// Latency is measured from the time at which a request is due, so that it
// includes the wait when requests cannot be sent on time (no coordinated
// omission). The tool is built like the node: a controller puts the requests of
// each stream into an outbox table, I/O workers send them and write the results
// into an inbox table, and a second controller collects those.
package measure

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Experiment describes one run: streams of requests that are sent at the same
// time.
type Experiment struct {
	// Seed is the seed of the random arrival times; the same seed gives the same
	// arrivals.
	Seed uint64 `json:"seed"`
	// WarmupMillis is the time at the start of the run, in milliseconds, whose
	// requests the report excludes.
	WarmupMillis int `json:"warmup_ms"`
	// DurationMillis is the length of the run after the warm-up, in
	// milliseconds, 1 to 3,600,000.
	DurationMillis int `json:"duration_ms"`
	// MaxOutstanding is the maximum number of concurrent requests, 1 to 8192.
	// Default 512. A request that is due while the limit is reached waits, and
	// the wait counts in its latency.
	MaxOutstanding int      `json:"outstanding"`
	Streams        []Stream `json:"streams"`
}

// Stream describes requests of one kind.
type Stream struct {
	// Name identifies the stream in the report.
	Name string `json:"name"`
	// Method is the HTTP method. Default GET.
	Method   string `json:"method"`
	HostName string `json:"host_name"`
	// Path is the prefix of each request's path; the tool appends a segment that
	// is unique to the request.
	Path string `json:"path"`
	// Query is the query string of each request, without the question mark.
	Query string `json:"query"`
	// BodyBytes is the size of each request's body; 0 for no body.
	BodyBytes int `json:"body_bytes"`
	// TimeoutMillis is the timeout of each request, from when it is sent, in
	// milliseconds. Default 10,000.
	TimeoutMillis int `json:"timeout_ms"`
	// SendIdempotencyKey sends a unique Idempotency-Key header with each request.
	SendIdempotencyKey bool `json:"keyed"`
	// VerifyEcho checks that each response contains the path of its request and
	// the digest of the request's body, as responses of backend-standin do.
	VerifyEcho bool `json:"echo"`
	// Rates are the arrival rates in order of time. The first starts at 0.
	Rates []Rate `json:"rates"`
}

// Rate is an arrival rate that applies until the next one starts.
type Rate struct {
	// AtMillis is when the rate starts, in milliseconds since the start of the
	// run.
	AtMillis int `json:"at_ms"`
	// PerSecond is the mean number of requests a second, 0 to 100,000.
	PerSecond float64 `json:"per_second"`
}

// Limits and defaults of an experiment.
const (
	maxDurationMillis    = 3_600_000
	maxOutstanding       = 8192
	defaultOutstanding   = 512
	defaultTimeoutMillis = 10_000
	maxRequestsPerSecond = 100_000
)

// Parse decodes an experiment from JSON, sets the defaults and validates it. The
// error lists every invalid field.
func Parse(data []byte) (Experiment, error) {
	var e Experiment
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&e); err != nil {
		return e, eris.Wrap(err, "decode experiment")
	}
	e.fillDefaults()
	if faults := e.faults(); len(faults) > 0 {
		return e, eris.Errorf("invalid experiment: %s", strings.Join(faults, "; "))
	}
	return e, nil
}

func (e *Experiment) fillDefaults() {
	if e.MaxOutstanding == 0 {
		e.MaxOutstanding = defaultOutstanding
	}
	for i := range e.Streams {
		s := &e.Streams[i]
		if s.Method == "" {
			s.Method = "GET"
		}
		if s.TimeoutMillis == 0 {
			s.TimeoutMillis = defaultTimeoutMillis
		}
	}
}

func (e Experiment) faults() (faults []string) {
	if e.DurationMillis < 1 || e.DurationMillis > maxDurationMillis {
		faults = append(faults, "duration_ms must be 1 to "+strconv.Itoa(maxDurationMillis))
	}
	if e.WarmupMillis < 0 {
		faults = append(faults, "warmup_ms must not be negative")
	}
	if e.MaxOutstanding < 1 || e.MaxOutstanding > maxOutstanding {
		faults = append(faults, "outstanding must be 1 to "+strconv.Itoa(maxOutstanding))
	}
	if len(e.Streams) == 0 {
		faults = append(faults, "streams must not be empty")
	}
	for i, s := range e.Streams {
		where := "streams[" + strconv.Itoa(i) + "]"
		for _, fault := range s.faults() {
			faults = append(faults, where+"."+fault)
		}
	}
	return faults
}

func (s Stream) faults() (faults []string) {
	if s.Name == "" {
		faults = append(faults, "name is required")
	}
	if s.HostName == "" {
		faults = append(faults, "host_name is required")
	}
	if !strings.HasPrefix(s.Path, "/") {
		faults = append(faults, "path must begin with /")
	}
	if s.BodyBytes < 0 {
		faults = append(faults, "body_bytes must not be negative")
	}
	if s.TimeoutMillis < 1 {
		faults = append(faults, "timeout_ms must be at least 1")
	}
	if len(s.Rates) == 0 || s.Rates[0].AtMillis != 0 {
		faults = append(faults, "rates must begin at 0")
	}
	for i, r := range s.Rates {
		if r.PerSecond < 0 || r.PerSecond > maxRequestsPerSecond {
			faults = append(faults, "rates["+strconv.Itoa(i)+"].per_second must be 0 to "+strconv.Itoa(maxRequestsPerSecond))
		}
		if i > 0 && r.AtMillis <= s.Rates[i-1].AtMillis {
			faults = append(faults, "rates["+strconv.Itoa(i)+"].at_ms must be greater than the one before")
		}
	}
	return faults
}

// length returns the length of the run, including the warm-up.
func (e Experiment) length() time.Duration {
	return time.Duration(e.WarmupMillis+e.DurationMillis) * time.Millisecond
}

// rateAt returns the arrival rate at a time since the start of the run, and the
// time at which it changes next; zero if it does not change again.
func (s Stream) rateAt(elapsed time.Duration) (perSecond float64, until time.Duration) {
	for _, r := range s.Rates {
		at := time.Duration(r.AtMillis) * time.Millisecond
		if at > elapsed {
			return perSecond, at
		}
		perSecond = r.PerSecond
	}
	return perSecond, 0
}
