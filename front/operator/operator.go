// Package operator is the front end for operators and customers: an HTTP API
// over iris. It authenticates requests, submits records through the table
// Submissions and waits for their outcome, and reads the node's state.
// docs/API.md is the API's reference.
package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/metrics"
	"github.com/marigoldshelf/marigoldshelf/settings"
	"github.com/marigoldshelf/marigoldshelf/tables"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

const (
	// submitTimeout limits how long appends of a record are retried.
	submitTimeout = 5 * time.Second
	// maxBodyBytes limits a request's body.
	maxBodyBytes = 4 << 20
	// principalKey is the iris context key of the authenticated principal.
	principalKey = "principal"
	// refusedEvent counts refused records and requests, by reason.
	refusedEvent = "change_refused"
)

// Meter counts events of the API and lists the node's counters. metrics.Metrics
// implements it.
type Meter interface {
	Count(event string, reason verdict.Reason)
	Counts() []metrics.CounterValue
}

// API serves operators and customers.
type API struct {
	Tables      *tables.Tables
	Clock       clock.Clock
	Self        mesh.Member
	Credentials []settings.Credential
	Meter       Meter
	// NewID returns an ID for a record that was submitted without one.
	NewID func() string
	// ReadOnly is true if configuration is approved outside the mesh: the node
	// has no change log and refuses changes. The status then includes the
	// backend server's reports.
	ReadOnly bool
}

// Handler returns the API's HTTP handler.
func (a *API) Handler() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	v1 := app.Party("/v1", a.authenticate, iris.LimitRequestBodySize(maxBodyBytes))
	v1.Get("/status", a.status)
	v1.Get("/configuration", a.configuration)
	v1.Get("/proposals", a.proposals)
	v1.Get("/proposals/{id:string}", a.proposal)
	v1.Get("/proposals/{id:string}/diff", a.diff)
	v1.Get("/records/{id:string}", a.record)
	v1.Get("/watch", a.watch)
	v1.Post("/proposals", a.requireChangeLog(a.propose))
	for _, kind := range []change.Kind{change.Approve, change.Veto, change.Release, change.Withhold} {
		v1.Post("/proposals/{id:string}/"+string(kind), a.requireChangeLog(a.proposalAction(kind)))
	}
	v1.Post("/drain", a.drain(true))
	v1.Post("/undrain", a.drain(false))
	if err := app.Build(); err != nil {
		return nil, err
	}
	return app, nil
}

// requireChangeLog returns a handler that refuses all requests if the node has no
// change log, else next.
func (a *API) requireChangeLog(next iris.Handler) iris.Handler {
	if !a.ReadOnly {
		return next
	}
	return func(ctx iris.Context) {
		a.writeProblem(ctx, NoChangeLog, "this node has no change log: its configuration is approved outside the mesh")
	}
}

// authenticate sets the request's principal from its bearer token. It compares
// the token with all credentials, each in constant time, so that the response
// time reveals nothing about them.
func (a *API) authenticate(ctx iris.Context) {
	token, _ := strings.CutPrefix(ctx.GetHeader("Authorization"), "Bearer ")
	tokenHash := sha256.Sum256([]byte(token))
	var found *settings.Credential
	for i := range a.Credentials {
		credentialHash := sha256.Sum256([]byte(a.Credentials[i].Token))
		if subtle.ConstantTimeCompare(tokenHash[:], credentialHash[:]) == 1 {
			found = &a.Credentials[i]
		}
	}
	if found == nil {
		a.writeProblem(ctx, Unauthorized, "unknown credential")
		return
	}
	ctx.Values().Set(principalKey, change.Principal{Name: found.Name, Role: found.Role, Customer: found.Customer})
	ctx.Next()
}

func principal(ctx iris.Context) change.Principal {
	return ctx.Values().Get(principalKey).(change.Principal)
}
