package metrics_test

import (
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/metrics"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

func TestPrometheusPageHasOneCounterPerReason(t *testing.T) {
	m, page, reporting := metrics.NewPrometheus()
	m.Count("refused", verdict.NoRoute)
	m.Count("refused", verdict.NoRoute)
	m.Count("refused", verdict.QueueFull)
	m.Set("version", 7)
	must.NoError(t, reporting.Close()) // flushes
	recorder := httptest.NewRecorder()
	page.ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	text := recorder.Body.String()
	must.StrContains(t, text, `marigold_refused{reason="no_route"} 2`)
	must.StrContains(t, text, `marigold_refused{reason="queue_full"} 1`)
	must.StrContains(t, text, `marigold_version 7`)
	must.Eq(t, []metrics.CounterValue{
		{Event: "refused", Reason: verdict.NoRoute, Count: 2},
		{Event: "refused", Reason: verdict.QueueFull, Count: 1},
	}, m.Counts())
}
