package measure

import (
	"math"
	"slices"
	"time"
)

// Report holds the results of a run.
type Report struct {
	// Seconds is the length of the run without the warm-up.
	Seconds float64        `json:"seconds"`
	Streams []StreamReport `json:"streams"`
}

// StreamReport holds the results of one stream, without the warm-up.
type StreamReport struct {
	Name string `json:"name"`
	// Sent is the number of requests, answered or failed.
	Sent int `json:"sent"`
	// Answered is the number of requests that got a complete response with a
	// status of 200 to 299.
	Answered int `json:"answered"`
	// AnsweredPerSecond is the number of answered requests a second.
	AnsweredPerSecond float64 `json:"answered_per_second"`
	// Failed counts the other requests by "verdict reason" for a refusal by a
	// node, and otherwise by "status N", "timeout", "cancelled" or "no whole
	// answer".
	Failed map[string]int `json:"failed,omitempty"`
	// MismatchedResponses counts the responses that did not match their request.
	// They are also counted in Answered.
	MismatchedResponses int `json:"wrong"`
	// Latency covers the answered requests.
	Latency Quantiles `json:"latency_ms"`
	// FailedLatency covers the failed requests, to show how fast refusals are.
	FailedLatency Quantiles `json:"failed_latency_ms"`
}

// Quantiles holds quantiles of latencies, in milliseconds; all zero when there
// are no samples.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// sample is the result of one finished request.
type sample struct {
	due     time.Duration // since the start of the run
	latency time.Duration // since the request was due
	failure string        // key of StreamReport.Failed; empty when answered
	wrong   bool
}

// summarise computes the report of one stream. It skips the samples that were
// due during the warm-up.
func summarise(name string, samples []sample, warmup, duration time.Duration) StreamReport {
	r := StreamReport{Name: name, Failed: make(map[string]int)}
	var answered, failed []time.Duration
	for _, s := range samples {
		if s.due < warmup {
			continue
		}
		r.Sent++
		if s.wrong {
			r.MismatchedResponses++
		}
		if s.failure != "" {
			r.Failed[s.failure]++
			failed = append(failed, s.latency)
			continue
		}
		answered = append(answered, s.latency)
	}
	r.Answered = len(answered)
	r.AnsweredPerSecond = float64(r.Answered) / duration.Seconds()
	r.Latency = quantiles(answered)
	r.FailedLatency = quantiles(failed)
	return r
}

func quantiles(latencies []time.Duration) Quantiles {
	if len(latencies) == 0 {
		return Quantiles{}
	}
	slices.Sort(latencies)
	at := func(q float64) float64 {
		rank := int(math.Ceil(q*float64(len(latencies)))) - 1
		return float64(latencies[max(rank, 0)]) / float64(time.Millisecond)
	}
	return Quantiles{P50: at(0.5), P90: at(0.9), P99: at(0.99), P999: at(0.999), Max: at(1)}
}
