package measure

import (
	"math"
	"slices"
	"time"
)

// Report is what came of a run.
type Report struct {
	Seconds float64        `json:"seconds"`
	Streams []StreamReport `json:"streams"`
}

// StreamReport is what came of one stream, without the warm-up.
type StreamReport struct {
	Name string `json:"name"`
	// Sent is the number of requests that were due.
	Sent int `json:"sent"`
	// Answered is the number with a whole answer of status 200 to 299.
	Answered int `json:"answered"`
	// PerSecond is the answered ones a second.
	PerSecond float64 `json:"answered_per_second"`
	// Failed counts the others by "verdict reason", or by what the tool saw.
	Failed map[string]int `json:"failed,omitempty"`
	// Wrong counts answers that were not those to their own request.
	Wrong int `json:"wrong"`
	// Latency is of the answered ones.
	Latency Quantiles `json:"latency_ms"`
	// FailedLatency is of the others: how soon a refusal comes.
	FailedLatency Quantiles `json:"failed_latency_ms"`
}

// Quantiles are latencies in milliseconds.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// sample is one finished request.
type sample struct {
	due     time.Duration // from the start of the run
	latency time.Duration
	failure string // empty when answered
	wrong   bool
}

// summarise makes the report of one stream from its samples.
func summarise(name string, samples []sample, warmup, duration time.Duration) StreamReport {
	r := StreamReport{Name: name, Failed: make(map[string]int)}
	var answered, failed []time.Duration
	for _, s := range samples {
		if s.due < warmup {
			continue
		}
		r.Sent++
		if s.wrong {
			r.Wrong++
		}
		if s.failure != "" {
			r.Failed[s.failure]++
			failed = append(failed, s.latency)
			continue
		}
		answered = append(answered, s.latency)
	}
	r.Answered = len(answered)
	r.PerSecond = float64(r.Answered) / duration.Seconds()
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
