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

// maxResponseBytes is the maximum size of a response body that the check reads.
const maxResponseBytes = 1 << 20

// result is a row of the inbox table: the sample of one request.
type result struct {
	stream int
	sample sample
}

// echoResponse is the part of a response that the check compares with the
// request. backend-standin sends it as JSON.
type echoResponse struct {
	Path   string
	SHA256 string
}

// send performs one request and checks its response. It is run by an I/O worker.
func (r *runner) send(ctx context.Context, number uint64, q request) result {
	s := r.experiment.Streams[q.stream]
	ctx, cancel := context.WithTimeout(ctx, time.Duration(s.TimeoutMillis)*time.Millisecond)
	defer cancel()
	out := sample{due: q.due}
	echo, err := r.roundTrip(ctx, s, q)
	out.latency = r.config.Clock.Now().Sub(r.start) - q.due
	switch {
	case err != nil:
		out.failure = failureLabel(err)
	case s.VerifyEcho:
		out.wrong = !echo.matches(s, q)
	}
	return result{stream: q.stream, sample: out}
}

// statusError is a response with a status outside 200 to 299. Verdict and reason
// are those that a node sets; empty for the backend server's own responses.
type statusError struct {
	verdict, reason string
	status          int
}

// Error returns the verdict and the reason, or the status if there is no reason.
func (e *statusError) Error() string {
	if e.reason == "" {
		return "status " + strconv.Itoa(e.status)
	}
	return e.verdict + " " + e.reason
}

// failureLabel returns the key of StreamReport.Failed under which an error is
// counted.
func failureLabel(err error) string {
	var statusErr *statusError
	switch {
	case eris.As(err, &statusErr):
		return statusErr.Error()
	case eris.Is(err, context.DeadlineExceeded):
		return "timeout"
	case eris.Is(err, context.Canceled):
		return "cancelled"
	default:
		return "no whole answer"
	}
}

// roundTrip sends a request and reads its response, up to maxResponseBytes. It
// decodes the response only for streams that check it. A status outside 200 to 299 is
// returned as a *statusError.
func (r *runner) roundTrip(ctx context.Context, s Stream, q request) (echo echoResponse, err error) {
	httpRequest, err := r.httpRequest(ctx, s, q)
	if err != nil {
		return echo, err
	}
	response, err := r.config.Transport.RoundTrip(httpRequest)
	if err != nil {
		return echo, eris.Wrap(err, "send request")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return echo, eris.Wrap(err, "read response")
	}
	if response.StatusCode < 200 || response.StatusCode > 299 {
		return echo, &statusError{
			verdict: response.Header.Get(hop.HeaderVerdict),
			reason:  response.Header.Get(hop.HeaderReason),
			status:  response.StatusCode,
		}
	}
	if s.VerifyEcho {
		err = json.Unmarshal(body, &echo)
	}
	return echo, eris.Wrap(err, "decode response")
}

func (r *runner) httpRequest(ctx context.Context, s Stream, q request) (*http.Request, error) {
	target := r.config.Targets[q.number%uint64(len(r.config.Targets))]
	address := "http://" + target + requestPath(s, q)
	if s.Query != "" {
		address += "?" + s.Query
	}
	var body io.Reader
	if s.BodyBytes > 0 {
		body = bytes.NewReader(requestBody(s, q))
	}
	out, err := http.NewRequestWithContext(ctx, s.Method, address, body)
	if err != nil {
		return nil, eris.Wrap(err, "create request")
	}
	out.Host = s.HostName
	if s.SendIdempotencyKey {
		out.Header.Set("Idempotency-Key", r.idempotencyKey(q))
	}
	return out, nil
}

// idempotencyKey returns a key that is unique among requests and runs.
func (r *runner) idempotencyKey(q request) string {
	return strconv.FormatInt(r.start.UnixNano(), 36) + "-" + strconv.FormatUint(q.number, 36)
}

// requestPath returns the path of a request, which is unique in the run.
func requestPath(s Stream, q request) string {
	return strings.TrimSuffix(s.Path, "/") + "/" + strconv.FormatUint(q.number, 10)
}

// requestBody returns the body of a request: its number, repeated up to the
// stream's body size.
func requestBody(s Stream, q request) []byte {
	unit := []byte(strconv.FormatUint(q.number, 10) + " ")
	return bytes.Repeat(unit, s.BodyBytes/len(unit)+1)[:s.BodyBytes]
}

// matches reports whether the response has the path of the request and the digest
// of its whole body.
func (e echoResponse) matches(s Stream, q request) bool {
	sum := sha256.Sum256(requestBody(s, q))
	return e.Path == requestPath(s, q) && e.SHA256 == hex.EncodeToString(sum[:])
}
