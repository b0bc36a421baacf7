package operator

import (
	"errors"
	"net/http"

	"github.com/kataras/iris/v12"

	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// Code is the reason why the API refused a request before a decision on it.
type Code string

// Codes of a Problem. A decision against a record is reported as a
// change.Refusal instead.
const (
	Unauthorized Code = "unauthorized"  // no credential has the token
	WrongRole    Code = "wrong_role"    // the credential's role does not permit the request
	BadRequest   Code = "bad_request"   // the body or a parameter is malformed
	BodyTooLarge Code = "body_too_big"  // the body or the record exceeds its size limit
	NotFound     Code = "not_found"     // this node has no such proposal
	NotOpen      Code = "not_open"      // the proposal is closed, so it has no diff
	Busy         Code = "busy"          // too many submissions are pending at this node
	WrongHost    Code = "wrong_host"    // the node belongs to another host
	StaleBase    Code = "stale_base"    // this node's version differs from the base version
	Interrupted  Code = "interrupted"   // the client closed the request
	NoChangeLog  Code = "no_change_log" // configuration is approved outside the mesh
)

// Problem is the body of the response to a refused request. The request changed
// nothing.
type Problem struct {
	Code  Code   `json:"code"`
	Error string `json:"error"`
}

// status returns the HTTP status of a code.
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

// writeProblem ends a request with a Problem and counts the code.
func (a *API) writeProblem(ctx iris.Context, code Code, message string) {
	a.Meter.Count(refusedEvent, verdict.Reason(code))
	ctx.StopWithJSON(code.status(), Problem{Code: code, Error: message})
}

// readBody decodes the JSON body into body. If that fails, it ends the request
// with a problem and returns false.
func (a *API) readBody(ctx iris.Context, body any) bool {
	err := ctx.ReadJSON(body, iris.JSONReader{DisallowUnknownFields: true})
	if err == nil {
		return true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		a.writeProblem(ctx, BodyTooLarge, err.Error())
		return false
	}
	a.writeProblem(ctx, BadRequest, err.Error())
	return false
}
