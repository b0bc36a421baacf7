package node

import (
	"fmt"
	"strings"
	"time"

	"github.com/phuslu/log"

	"github.com/marigoldshelf/marigoldshelf/decide/admit"
	"github.com/marigoldshelf/marigoldshelf/decide/call"
	"github.com/marigoldshelf/marigoldshelf/decide/registration"
	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
	"github.com/marigoldshelf/marigoldshelf/logs"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/metrics"
	"github.com/marigoldshelf/marigoldshelf/tables"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// The values of the field "part", which names the subject of a log line.
const (
	partCall     = "call"     // a caller's request, at the node that received it
	partAdmit    = "admit"    // a request at the admission point
	partBackend  = "backend"  // the own backend server
	partConfig   = "config"   // the active configuration
	partSource   = "source"   // a source of configuration: the store or the peers
	partMember   = "member"   // another node
	partProcess  = "process"  // this process
	partSettings = "settings" // the settings file
)

// recorder logs the node's decisions and the changes of its state.
type recorder struct {
	events  *logs.Events
	metrics *metrics.Metrics
	// malformedLines limits the lines about malformed entries.
	malformedLines *logs.PerKey
}

// callFields adds the fields that all lines about a caller's request have.
func callFields(e *log.Entry, c call.Call, now time.Time) *log.Entry {
	if c.Account != "" {
		e.Str("account", string(c.Account))
	}
	return e.Str("request", c.Request.CallerID).Str("id", c.Request.ID).
		Str("route", c.Rule.ID).Uint64("version", uint64(c.Version)).Str("service", string(c.Rule.Service)).
		Int64("took_ms", now.Sub(c.Request.Arrived).Milliseconds())
}

// AttemptFailed implements caller.Recorder.
func (r recorder) AttemptFailed(c call.Call, attempt int, o call.Outcome) {
	e := r.events.Line(logs.Failure, partCall)
	if e == nil {
		return
	}
	a := c.Attempts[attempt]
	now := a.Sent.Add(o.Latency)
	candidate := a.Target
	callFields(e, c, now).Int("attempt", attempt).Str("host", string(candidate.Host)).
		Str("zone", string(candidate.Zone)).Int("in_flight", candidate.InFlight.Count).
		Int("load_busy", candidate.Stats.Load.Busy).Int("load_queued", candidate.Stats.Load.Queued).
		Int64("load_age_ms", candidate.Stats.LoadAge(a.Sent).Milliseconds()).
		Str("verdict", o.Verdict.String()).Str("reason", string(o.Reason)).Msg("attempt failed")
}

// Refused implements caller.Recorder.
func (r recorder) Refused(c call.Call, now time.Time) {
	if c.Step.Refusal.Reason == verdict.NoRoute && c.Version == 0 {
		c.Rule.ID = c.Request.HostName + c.Request.Path
	}
	if e := r.events.Line(logs.Failure, partCall); e != nil {
		callFields(e, c, now).Int("attempts", len(c.Attempts)).Str("verdict", c.Step.Refusal.Verdict.String()).
			Str("reason", string(c.Step.Refusal.Reason)).Int64("retry_after_ms", c.Step.RetryAfter.Milliseconds()).
			Int64("deadline_in_ms", c.Deadline.Sub(now).Milliseconds()).Msg("refused")
	}
}

// Answered implements caller.Recorder.
func (r recorder) Answered(c call.Call, status int, now time.Time) {
	r.metrics.Observe("call_seconds", string(c.Rule.Class), now.Sub(c.Request.Arrived))
	kind := logs.Success
	if late := !c.Objective.IsZero() && now.After(c.Objective); late || status >= 500 || len(c.Attempts) > 1 {
		kind = logs.Failure
	}
	if e := r.events.Line(kind, partCall); e != nil {
		last := c.Attempts[c.Step.Attempt]
		callFields(e, c, now).Int("attempts", len(c.Attempts)).Str("host", string(last.Target.Host)).
			Int("status", status).Msg("answered")
	}
}

// Ended implements caller.Recorder.
func (r recorder) Ended(c call.Call, reason verdict.Reason, now time.Time) {
	if e := r.events.Line(logs.Failure, partCall); e != nil {
		callFields(e, c, now).Int("attempts", len(c.Attempts)).Str("reason", string(reason)).Msg("ended without an answer")
	}
}

// admitted logs the outcome of a request at the admission point; failure is nil if
// the backend server answered it.
func (r recorder) admitted(request hop.Request, row admit.Request, load mesh.Load, failure *verdict.Error) {
	kind, outcome := logs.Success, "passed on"
	if failure != nil {
		kind, outcome = logs.Failure, "not answered"
	}
	e := r.events.Line(kind, partAdmit)
	if e == nil {
		return
	}
	e.Str("request", request.CallerID).Str("id", request.AttemptID).Str("class", string(request.Class)).
		Int("priority", request.Priority).Int64("timeout_ms", request.Timeout.Milliseconds()).
		Int("slots", load.Slots).Int("busy", load.Busy).Int("queued", load.Queued)
	if !row.Granted.IsZero() {
		e.Int64("waited_ms", row.Granted.Sub(row.Arrived).Milliseconds())
	}
	if failure != nil {
		e.Str("verdict", failure.Verdict.String()).Str("reason", string(failure.Reason)).
			Int64("retry_after_ms", row.RetryAfter.Milliseconds())
		if cause := failure.Unwrap(); cause != nil {
			e.Str("cause", cause.Error())
		}
	}
	e.Msg(outcome)
}

func (r recorder) backendChanged(from, to registration.Backend, cause string) {
	if e := r.events.Line(logs.StateChange, partBackend); e != nil {
		e.Str("instance", to.Instance).Str("was", from.Instance).Str("phase", to.Phase.String()).
			Str("phase_was", from.Phase.String()).Int("slots", to.Slots).Uint64("sequence", to.Sequence).
			Int64("born", to.StartedAtMillis).Int("failures", to.ConnectFailures).Str("cause", cause).Msg("backend server changed")
	}
}

func (r recorder) reportRejected(report registration.Report, outcome registration.ReportOutcome) {
	if e := r.events.Line(logs.StateChange, partBackend); e != nil {
		e.Str("instance", report.Instance).Uint64("sequence", report.Sequence).Int64("born", report.StartedAtMillis).
			Str("address", report.Address).Str("verdict", outcome.String()).Msg("report does not count")
	}
}

// malformedEvent counts the entries of other writers that cannot be used, by
// where they came from.
const malformedEvent = "malformed"

// malformedInterval is the minimum time between two lines about malformed entries
// of one writer.
const malformedInterval = time.Minute

// maxWriterBytes limits the name of a writer in the log.
const maxWriterBytes = 64

func (r recorder) reportMalformed(instance string, cause error) {
	r.malformed("report", instance, cause)
}

// malformed counts an entry of another writer that cannot be used, and logs the
// first one of a writer and minute.
func (r recorder) malformed(source, writer string, cause error) {
	r.metrics.Count(malformedEvent, verdict.Reason(source))
	writer = writer[:min(len(writer), maxWriterBytes)]
	if !r.malformedLines.Allow(source+" "+writer, time.Now()) {
		return
	}
	if e := r.events.Warning(logs.StateChange, partBackend); e != nil {
		e.Str("source", source).Str("writer", writer).Str("cause", firstLine(cause)).Msg("malformed entry ignored")
	}
}

func (r recorder) configActivated(d tables.Document, previous mesh.Version) {
	if e := r.events.Line(logs.StateChange, partConfig); e != nil {
		e.Uint64("version", uint64(d.Version)).Uint64("was", uint64(previous)).Int("routes", len(d.Config.Routes)).
			Str("from", d.Source).Msg("configuration in force")
	}
	if len(d.Config.Warnings) == 0 {
		return
	}
	if e := r.events.Warning(logs.StateChange, partConfig); e != nil {
		first := d.Config.Warnings[0]
		e.Uint64("version", uint64(d.Version)).Int("entries", len(d.Config.Warnings)).
			Str("entry", first.Entry).Str("cause", first.Problem).Msg("configuration read in part")
	}
}

func (r recorder) configRejected(d tables.RejectedDocument) {
	if e := r.events.Warning(logs.StateChange, partConfig); e != nil {
		e.Uint64("version", uint64(d.Version)).Str("from", d.Source).Str("cause", d.Reason).Msg("configuration rejected")
	}
}

func (r recorder) sourceChanged(source string, failures int, err error) {
	e := r.events.Line(logs.StateChange, partSource)
	switch {
	case e == nil:
	case err != nil:
		e.Str("source", source).Str("cause", firstLine(err)).Msg("source lost")
	default:
		e.Str("source", source).Int("failures", failures).Msg("source regained")
	}
}

func (r recorder) storeEraChanged(previous, current uint64) {
	if e := r.events.Line(logs.StateChange, partSource); e != nil {
		e.Str("source", "store").Uint64("era_before", previous).Uint64("era", current).Msg("store restored from a copy")
	}
}

func (r recorder) member(m mesh.Member, found bool) {
	if e := r.events.Line(logs.StateChange, partMember); e != nil {
		state := "forgotten"
		if found {
			state = m.State.String()
		}
		e.Str("host", string(m.Host)).Str("zone", string(m.Zone)).Str("service", string(m.Service)).
			Str("state", state).Uint64("incarnation", uint64(m.Incarnation)).Msg("member changed")
	}
}

// panicEvent counts the requests whose handler has panicked.
const panicEvent = "handler_panic"

func (r recorder) panicked(value any, stack []byte) {
	r.metrics.Count(panicEvent, "")
	if e := r.events.Warning(logs.Failure, partProcess); e != nil {
		e.Str("cause", fmt.Sprint(value)).Bytes("stack", stack).Msg("a handler has panicked")
	}
}

func (r recorder) process(message string) {
	if e := r.events.Line(logs.StateChange, partProcess); e != nil {
		e.Msg(message)
	}
}

// firstLine returns the first line of an error's text. Stack traces start on the
// second.
func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}
