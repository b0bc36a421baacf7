package httplog

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/eventlog"
)

// maxAnswerBytes bounds an answer of the platform.
const maxAnswerBytes = 64 << 20

// Client implements eventlog.Log over HTTP. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the log service at base, such as
// "http://10.0.0.5:7000".
func NewClient(base string, c *http.Client) *Client {
	return &Client{base: base, http: c}
}

// Append implements eventlog.Log.
func (c *Client) Append(ctx context.Context, s eventlog.Stream, data []byte) (uint64, error) {
	var answer appendAnswer
	err := c.do(ctx, http.MethodPost, c.recordsURL(s), bytes.NewReader(data), &answer)
	return answer.Offset, err
}

// Read implements eventlog.Log.
func (c *Client) Read(ctx context.Context, s eventlog.Stream, from uint64, wait time.Duration) ([]eventlog.Record, error) {
	query := url.Values{
		"from":    {strconv.FormatUint(from, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var answer recordsAnswer
	if err := c.do(ctx, http.MethodGet, c.recordsURL(s)+"?"+query.Encode(), nil, &answer); err != nil {
		return nil, err
	}
	return fromWire(answer), nil
}

// Bounds implements eventlog.Log.
func (c *Client) Bounds(ctx context.Context, s eventlog.Stream) (eventlog.Bounds, error) {
	var answer boundsAnswer
	err := c.do(ctx, http.MethodGet, c.base+"/streams/"+url.PathEscape(string(s)), nil, &answer)
	return eventlog.Bounds(answer), err
}

func (c *Client) recordsURL(s eventlog.Stream) string {
	return c.base + "/streams/" + url.PathEscape(string(s)) + "/records"
}

func (c *Client) do(ctx context.Context, method, target string, body io.Reader, answer any) error {
	request, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return eris.Wrap(eventlog.ErrRefused, err.Error())
	}
	response, err := c.http.Do(request)
	if err != nil {
		return eris.Wrap(eventlog.ErrUnavailable, err.Error())
	}
	defer response.Body.Close()
	if err := statusError(response); err != nil {
		return err
	}
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes))
	if err := decoder.Decode(answer); err != nil {
		return eris.Wrap(eventlog.ErrUnavailable, err.Error())
	}
	return nil
}

func statusError(response *http.Response) error {
	status := response.StatusCode
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusGone:
		return expiredError(response.Body)
	case http.StatusTooManyRequests, http.StatusRequestEntityTooLarge, http.StatusBadRequest:
		return eris.Wrapf(eventlog.ErrRefused, "status %d", status)
	default:
		return eris.Wrapf(eventlog.ErrUnavailable, "status %d", status)
	}
}

// expiredError reads the oldest retained offset; without it the caller has to
// ask for the bounds.
func expiredError(body io.Reader) error {
	var answer expiredAnswer
	if err := json.NewDecoder(io.LimitReader(body, maxAnswerBytes)).Decode(&answer); err != nil {
		return eris.Wrap(eventlog.ErrUnavailable, err.Error())
	}
	return &eventlog.ExpiredError{Oldest: answer.Oldest}
}
