// Package measure is the load and experiment tool: it sends callers' requests
// at given rates, whatever becomes of the earlier ones, and reports for each
// stream what was answered, refused and why, and how long it took.
//
// Latency counts from the instant a request was due, so that a system that
// makes requests wait cannot hide it. The tool has the shape of the node: a
// controller for each stream puts requests into an outbox table, I/O workers
// send them, and a controller collects the inbox.
package measure

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Experiment is one run: some streams of requests, side by side.
type Experiment struct {
	// Seed starts the draw of arrivals; the same seed gives the same arrivals.
	Seed uint64 `json:"seed"`
	// WarmupMillis is the time at the start that the report leaves out, in
	// milliseconds.
	WarmupMillis int `json:"warmup_ms"`
	// DurationMillis is the length of the run after the warm-up, in
	// milliseconds, 1 to 3,600,000.
	DurationMillis int `json:"duration_ms"`
	// Outstanding bounds the requests under way at once, 1 to 8192. Default
	// 512. One that is due while all are taken waits, and its latency shows it.
	Outstanding int      `json:"outstanding"`
	Streams     []Stream `json:"streams"`
}

// Stream is requests of one kind.
type Stream struct {
	Name string `json:"name"`
	// Method is the HTTP method. Default GET.
	Method   string `json:"method"`
	HostName string `json:"host_name"`
	// Path is what each request's path begins with; the tool adds a segment
	// that is the request's own.
	Path string `json:"path"`
	// Query is added to each request, without the question mark.
	Query string `json:"query"`
	// BodyBytes is the size of each request's body.
	BodyBytes int `json:"body_bytes"`
	// TimeoutMillis bounds each request. Default 10,000.
	TimeoutMillis int `json:"timeout_ms"`
	// Keyed gives each request an Idempotency-Key of its own.
	Keyed bool `json:"keyed"`
	// Echo checks that each answer names the request's own path and the digest
	// of its body, as the stand-in of a backend server does.
	Echo bool `json:"echo"`
	// Rates are the arrivals a second, from an instant on. The first is at 0.
	Rates []Rate `json:"rates"`
}

// Rate is the arrivals a second from an instant of the run on.
type Rate struct {
	AtMillis  int     `json:"at_ms"`
	PerSecond float64 `json:"per_second"`
}

// Bounds and defaults.
const (
	maxDurationMillis    = 3_600_000
	maxOutstanding       = 8192
	defaultOutstanding   = 512
	defaultTimeoutMillis = 10_000
	maxPerSecond         = 100_000
)

// Parse reads and checks an experiment. The error names every fault.
func Parse(data []byte) (Experiment, error) {
	var e Experiment
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&e); err != nil {
		return e, eris.Wrap(err, "experiment")
	}
	e.fillDefaults()
	if faults := e.faults(); len(faults) > 0 {
		return e, eris.Errorf("experiment: %s", strings.Join(faults, "; "))
	}
	return e, nil
}

func (e *Experiment) fillDefaults() {
	if e.Outstanding == 0 {
		e.Outstanding = defaultOutstanding
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
	if e.Outstanding < 1 || e.Outstanding > maxOutstanding {
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
		if r.PerSecond < 0 || r.PerSecond > maxPerSecond {
			faults = append(faults, "rates["+strconv.Itoa(i)+"].per_second must be 0 to "+strconv.Itoa(maxPerSecond))
		}
		if i > 0 && r.AtMillis <= s.Rates[i-1].AtMillis {
			faults = append(faults, "rates["+strconv.Itoa(i)+"].at_ms must rise")
		}
	}
	return faults
}

// length is the run's length with its warm-up.
func (e Experiment) length() time.Duration {
	return time.Duration(e.WarmupMillis+e.DurationMillis) * time.Millisecond
}

// rateAt returns the arrivals a second at an instant of the run, and when the
// rate next changes; zero for never.
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
