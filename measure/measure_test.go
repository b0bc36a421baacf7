package measure

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/clock"
)

// TestParseReportsEveryInvalidField guards against an error that stops at the
// first invalid field, and against unknown fields being ignored.
func TestParseReportsEveryInvalidField(t *testing.T) {
	_, err := Parse([]byte(`{"duration_ms":0,"outstanding":-1,"streams":[{"path":"x","rates":[{"at_ms":5,"per_second":-1}]}]}`))
	must.Error(t, err)
	for _, key := range []string{"duration_ms", "outstanding", "streams[0].name", "streams[0].host_name",
		"streams[0].path", "streams[0].rates must begin", "streams[0].rates[0].per_second"} {
		must.StrContains(t, err.Error(), key)
	}
	_, err = Parse([]byte(`{"duration_ms":1,"unknown":1}`))
	must.Error(t, err)
}

// TestArrivalsFollowTheRatesAndTheSeed checks that the number of arrivals follows
// changes of the rate, including a rate of 0, and that the same seed gives the
// same arrivals.
func TestArrivalsFollowTheRatesAndTheSeed(t *testing.T) {
	stream := Stream{Rates: []Rate{{0, 100}, {1000, 0}, {2000, 300}}}
	e := Experiment{Seed: 1, DurationMillis: 4000, Streams: []Stream{stream}}
	count := func() (early, idle, late int) {
		r := newRunner(e, Config{Clock: clock.NewVirtual(time.Unix(0, 0))})
		for at := r.nextArrival(0, 0); at < e.length(); at = r.nextArrival(0, at) {
			switch {
			case at < time.Second:
				early++
			case at < 2*time.Second:
				idle++
			default:
				late++
			}
		}
		return early, idle, late
	}
	early, idle, late := count()
	must.Between(t, 70, early, 130)
	must.Zero(t, idle)
	must.Between(t, 520, late, 680)
	early2, _, late2 := count()
	must.Eq(t, early, early2)
	must.Eq(t, late, late2)
}

// TestSummariseLeavesOutTheWarmupAndCountsFailures guards against samples of the
// warm-up and of failed requests in the latencies and the rate.
func TestSummariseLeavesOutTheWarmupAndCountsFailures(t *testing.T) {
	samples := []sample{{due: 0, latency: time.Hour}}
	for i := 1; i <= 100; i++ {
		samples = append(samples, sample{due: time.Second, latency: time.Duration(i) * time.Millisecond})
	}
	samples = append(samples, sample{due: time.Second, failure: "not-run shed", wrong: true})
	r := summarise("s", samples, time.Second, 10*time.Second)
	must.Eq(t, 101, r.Sent)
	must.Eq(t, 100, r.Answered)
	must.Eq(t, 10.0, r.AnsweredPerSecond)
	must.Eq(t, map[string]int{"not-run shed": 1}, r.Failed)
	must.Eq(t, 1, r.MismatchedResponses)
	must.Eq(t, Quantiles{P50: 50, P90: 90, P99: 99, P999: 100, Max: 100}, r.Latency)
}

// serveOtherEcho answers every tenth request, those whose path ends in 7, with
// the echo of another request, and fails the others.
func serveOtherEcho(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "7") {
		w.Write([]byte(`{"Path":"/other","SHA256":""}`))
		return
	}
	http.Error(w, "no", http.StatusServiceUnavailable)
}

// TestRunCountsEveryRequestOnce guards against lost or repeated results with
// concurrent requests, and against undetected responses to another request.
func TestRunCountsEveryRequestOnce(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(serveOtherEcho))
	defer server.Close()
	e := Experiment{Seed: 3, DurationMillis: 100, MaxOutstanding: 8, Streams: []Stream{{
		Name: "s", Method: "GET", HostName: "h", Path: "/", TimeoutMillis: 60_000, VerifyEcho: true,
		Rates: []Rate{{0, 500}},
	}}}
	report, err := Run(t.Context(), e, Config{
		Targets:   []string{strings.TrimPrefix(server.URL, "http://")},
		Transport: &http.Transport{},
		Clock:     clock.System{},
	})
	must.NoError(t, err)
	s := report.Streams[0]
	must.Positive(t, s.Sent)
	must.Positive(t, s.Answered)
	must.Eq(t, s.Answered, s.MismatchedResponses)
	must.Eq(t, s.Sent, s.Answered+s.Failed["status 503"])
}
