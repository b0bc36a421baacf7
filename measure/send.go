package measure

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
)

// maxAnswerBytes bounds the part of an answer that is kept for the check.
const maxAnswerBytes = 1 << 20

// result is what came of one request.
type result struct {
	stream int
	sample sample
}

// echo is the part of the stand-in's answer that the check reads.
type echo struct {
	Path   string
	SHA256 string
}

// send sends one request and reads its answer to the end.
func (r *runner) send(ctx context.Context, number uint64, q request) result {
	s := r.experiment.Streams[q.stream]
	ctx, cancel := context.WithTimeout(ctx, time.Duration(s.TimeoutMillis)*time.Millisecond)
	defer cancel()
	out := sample{due: q.due}
	answer, err := r.exchange(ctx, s, q)
	out.latency = r.config.Clock.Now().Sub(r.start) - q.due
	switch {
	case err != nil:
		out.failure = describe(err)
	case s.Echo:
		out.wrong = !answer.isTo(s, q)
	}
	return result{stream: q.stream, sample: out}
}

// refusal is an answer that is no success.
type refusal struct {
	verdict, reason string
	status          int
}

// Error returns verdict and reason, or the status of an answer without them.
func (r *refusal) Error() string {
	if r.reason == "" {
		return "status " + strconv.Itoa(r.status)
	}
	return r.verdict + " " + r.reason
}

// describe names a failure in few words, so that equal ones count together.
func describe(err error) string {
	var refused *refusal
	switch {
	case eris.As(err, &refused):
		return refused.Error()
	case eris.Is(err, context.DeadlineExceeded):
		return "timeout"
	case eris.Is(err, context.Canceled):
		return "cancelled"
	default:
		return "no whole answer"
	}
}

func (r *runner) exchange(ctx context.Context, s Stream, q request) (answer echo, err error) {
	httpRequest, err := r.httpRequest(ctx, s, q)
	if err != nil {
		return answer, err
	}
	response, err := r.config.Transport.RoundTrip(httpRequest)
	if err != nil {
		return answer, eris.Wrap(err, "send")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return answer, eris.Wrap(err, "read answer")
	}
	if response.StatusCode < 200 || response.StatusCode > 299 {
		return answer, &refusal{
			verdict: response.Header.Get(hop.HeaderVerdict),
			reason:  response.Header.Get(hop.HeaderReason),
			status:  response.StatusCode,
		}
	}
	if s.Echo {
		err = json.Unmarshal(body, &answer)
	}
	return answer, eris.Wrap(err, "decode answer")
}

func (r *runner) httpRequest(ctx context.Context, s Stream, q request) (*http.Request, error) {
	target := r.config.Targets[q.number%uint64(len(r.config.Targets))]
	address := "http://" + target + path(s, q)
	if s.Query != "" {
		address += "?" + s.Query
	}
	var body io.Reader
	if s.BodyBytes > 0 {
		body = bytes.NewReader(content(s, q))
	}
	out, err := http.NewRequestWithContext(ctx, s.Method, address, body)
	if err != nil {
		return nil, eris.Wrap(err, "request")
	}
	out.Host = s.HostName
	if s.Keyed {
		out.Header.Set("Idempotency-Key", r.key(q))
	}
	return out, nil
}

// key is an idempotency key that no other request or run has.
func (r *runner) key(q request) string {
	return strconv.FormatInt(r.start.UnixNano(), 36) + "-" + strconv.FormatUint(q.number, 36)
}

// path is the request's own path.
func path(s Stream, q request) string {
	return strings.TrimSuffix(s.Path, "/") + "/" + strconv.FormatUint(q.number, 10)
}

// content is the request's own body.
func content(s Stream, q request) []byte {
	unit := []byte(strconv.FormatUint(q.number, 10) + " ")
	return bytes.Repeat(unit, s.BodyBytes/len(unit)+1)[:s.BodyBytes]
}

// isTo reports whether the answer is the one to this request, whole.
func (e echo) isTo(s Stream, q request) bool {
	sum := sha256.Sum256(content(s, q))
	return e.Path == path(s, q) && e.SHA256 == hex.EncodeToString(sum[:])
}
