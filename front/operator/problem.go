package operator

import (
	"errors"
	"net/http"

	"github.com/kataras/iris/v12"

	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// Code names why a request was turned away before anything was decided on it.
type Code string

// The codes. What becomes of a record is told by change.Refusal instead.
const (
	Unauthorized Code = "unauthorized"  // no login has the token
	WrongRole    Code = "wrong_role"    // the login's role may not do this
	BadRequest   Code = "bad_request"   // the body or a parameter is malformed
	BodyTooLarge Code = "body_too_big"  // the body or the record exceeds its bound
	NotFound     Code = "not_found"     // no such proposal or record here
	NotOpen      Code = "not_open"      // the proposal is closed: there is no diff of it
	Busy         Code = "busy"          // too many submissions are under way here
	WrongHost    Code = "wrong_host"    // the node is another host's
	StaleBase    Code = "stale_base"    // this node is at another version than the base
	Interrupted  Code = "interrupted"   // the asker went away
	NoChangeLog  Code = "no_change_log" // configuration is approved elsewhere
)

// Problem is the body of an answer to a request that was turned away. No change
// was made.
type Problem struct {
	Code  Code   `json:"code"`
	Error string `json:"error"`
}

func (c Code) status() int {
	switch c {
	case Unauthorized:
		return http.StatusUnauthorized
	case WrongRole:
		return http.StatusForbidden
	case BadRequest:
		return http.StatusBadRequest
	case BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case NotFound:
		return http.StatusNotFound
	case NotOpen, WrongHost, StaleBase, NoChangeLog:
		return http.StatusConflict
	case Busy, Interrupted:
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}

// fail ends a request with a problem, and counts it.
func (a *API) fail(ctx iris.Context, code Code, text string) {
	a.Meter.Count(refusedEvent, verdict.Reason(code))
	ctx.StopWithJSON(code.status(), Problem{Code: code, Error: text})
}

// read decodes the body; it reports whether the request goes on.
func (a *API) read(ctx iris.Context, body any) bool {
	err := ctx.ReadJSON(body, iris.JSONReader{DisallowUnknownFields: true})
	if err == nil {
		return true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		a.fail(ctx, BodyTooLarge, err.Error())
		return false
	}
	a.fail(ctx, BadRequest, err.Error())
	return false
}
