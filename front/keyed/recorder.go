package keyed

import (
	"net/http"
	"strings"

	"github.com/marigoldshelf/marigoldshelf/decide/idempotency"
	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// recorder passes an answer on and keeps a copy of it up to a limit. It goes
// on recording when the caller is gone.
type recorder struct {
	http.ResponseWriter
	limit  int
	status int
	body   []byte
	over   bool
	gone   bool
}

// WriteHeader passes the status on.
func (r *recorder) WriteHeader(status int) {
	if r.status == 0 && status >= http.StatusOK {
		r.status = status
	}
	r.ResponseWriter.WriteHeader(status)
}

// Write passes bytes on. A caller that is gone does not end the answer.
func (r *recorder) Write(p []byte) (int, error) {
	if r.status == 0 {
		r.status = http.StatusOK
	}
	r.keep(p)
	if r.gone {
		return len(p), nil
	}
	if _, err := r.ResponseWriter.Write(p); err != nil {
		r.gone = true
	}
	return len(p), nil
}

func (r *recorder) keep(p []byte) {
	if r.over || len(r.body)+len(p) > r.limit {
		r.over = true
		r.body = nil
		return
	}
	r.body = append(r.body, p...)
}

// FlushError sends on what was written.
func (r *recorder) FlushError() error {
	if !r.gone && http.NewResponseController(r.ResponseWriter).Flush() != nil {
		r.gone = true
	}
	return nil
}

// Flush sends on what was written.
func (r *recorder) Flush() { _ = r.FlushError() }

// verdict returns what the answer says of the run. Without a word it may have
// run.
func (r *recorder) verdict() verdict.Verdict {
	if r.status == 0 {
		return verdict.MayHaveRun
	}
	return verdict.Parse(r.Header().Get(hop.HeaderVerdict))
}

// answer returns the copy, or nil when it is not the whole of a run's answer.
func (r *recorder) answer(whole bool) *idempotency.Answer {
	if !whole || r.over || r.verdict() != verdict.Ran {
		return nil
	}
	a := &idempotency.Answer{Status: r.status, Body: r.body}
	for name, values := range r.Header() {
		if strings.HasPrefix(name, "Marigold-") {
			continue
		}
		for _, value := range values {
			a.Headers = append(a.Headers, name, value)
		}
	}
	return a
}
