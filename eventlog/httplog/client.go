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

// maxResponseBytes bounds a response body of the log service.
const maxResponseBytes = 64 << 20

// Client implements eventlog.Log over HTTP. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the log service at the URL base, such as
// "http://10.0.0.5:7000".
func NewClient(base string, c *http.Client) *Client {
	return &Client{base: base, http: c}
}

// Append implements eventlog.Log.
func (c *Client) Append(ctx context.Context, s eventlog.Stream, data []byte) (uint64, error) {
	var result appendResult
	err := c.do(ctx, http.MethodPost, c.recordsURL(s), bytes.NewReader(data), &result)
	return result.Offset, err
}

// Read implements eventlog.Log.
func (c *Client) Read(ctx context.Context, s eventlog.Stream, from uint64, wait time.Duration) ([]eventlog.Record, error) {
	query := url.Values{
		"from":    {strconv.FormatUint(from, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var result readResult
	if err := c.do(ctx, http.MethodGet, c.recordsURL(s)+"?"+query.Encode(), nil, &result); err != nil {
		return nil, err
	}
	return fromWire(result), nil
}

// Bounds implements eventlog.Log.
func (c *Client) Bounds(ctx context.Context, s eventlog.Stream) (eventlog.Bounds, error) {
	var result boundsResult
	err := c.do(ctx, http.MethodGet, c.base+"/streams/"+url.PathEscape(string(s)), nil, &result)
	return eventlog.Bounds(result), err
}

func (c *Client) recordsURL(s eventlog.Stream) string {
	return c.base + "/streams/" + url.PathEscape(string(s)) + "/records"
}

// do sends one request and decodes the JSON body of its response into result. A
// failed append is ErrRefused only if the record was not appended: the request
// could not be created, or the status is 400, 413 or 429.
func (c *Client) do(ctx context.Context, method, target string, body io.Reader, result any) error {
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
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes))
	if err := decoder.Decode(result); err != nil {
		return eris.Wrap(eventlog.ErrUnavailable, err.Error())
	}
	return nil
}

// statusError maps a response status to the errors of package eventlog.
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

// expiredError returns an ExpiredError with the oldest retained offset from the
// body. If the body is malformed it returns ErrUnavailable, and the caller has
// to request the bounds.
func expiredError(body io.Reader) error {
	var result expiredResult
	if err := json.NewDecoder(io.LimitReader(body, maxResponseBytes)).Decode(&result); err != nil {
		return eris.Wrap(eventlog.ErrUnavailable, err.Error())
	}
	return &eventlog.ExpiredError{Oldest: result.Oldest}
}
