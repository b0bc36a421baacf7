// Package operator is the front end for operators and customers: an HTTP API
// over iris. It authenticates, puts records into the table Submissions, and
// waits for what comes of them. docs/API.md is its reference.
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
	// submitTimeout bounds how long a record is tried for.
	submitTimeout = 5 * time.Second
	// maxBodyBytes bounds a request's body.
	maxBodyBytes = 4 << 20
	// principalKey is where a request keeps who sent it.
	principalKey = "principal"
	// refusedEvent counts the records and requests turned away.
	refusedEvent = "change_refused"
)

// Meter takes the counters of the API and shows those of the node;
// metrics.Metrics implements it.
type Meter interface {
	Count(event string, reason verdict.Reason)
	Counts() []metrics.Counted
}

// API serves operators and customers.
type API struct {
	Tables *tables.Tables
	Clock  clock.Clock
	Self   mesh.Member
	Logins []settings.Credential
	Meter  Meter
	// NewID makes the ID of a record that came without one.
	NewID func() string
	// ReadOnly is true where configuration is approved elsewhere: changes are
	// turned away.
	ReadOnly bool
}

// Handler builds the API's HTTP handler.
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
	v1.Post("/proposals", a.withChangeLog(a.propose))
	for _, kind := range []change.Kind{change.Approve, change.Veto, change.Release, change.Withhold} {
		v1.Post("/proposals/{id:string}/"+string(kind), a.withChangeLog(a.answerProposal(kind)))
	}
	v1.Post("/drain", a.drain(true))
	v1.Post("/undrain", a.drain(false))
	if err := app.Build(); err != nil {
		return nil, err
	}
	return app, nil
}

// withChangeLog turns a change away where the node keeps none.
func (a *API) withChangeLog(next iris.Handler) iris.Handler {
	if !a.ReadOnly {
		return next
	}
	return func(ctx iris.Context) {
		a.fail(ctx, NoChangeLog, "configuration is approved elsewhere; this node only follows it")
	}
}

// authenticate finds the login of the bearer token. Every login is compared,
// in constant time, so that the time taken tells nothing.
func (a *API) authenticate(ctx iris.Context) {
	token, _ := strings.CutPrefix(ctx.GetHeader("Authorization"), "Bearer ")
	given := sha256.Sum256([]byte(token))
	var found *settings.Credential
	for i := range a.Logins {
		wanted := sha256.Sum256([]byte(a.Logins[i].Token))
		if subtle.ConstantTimeCompare(given[:], wanted[:]) == 1 {
			found = &a.Logins[i]
		}
	}
	if found == nil {
		a.fail(ctx, Unauthorized, "unknown credential")
		return
	}
	ctx.Values().Set(principalKey, change.Principal{Name: found.Name, Role: found.Role, Customer: found.Customer})
	ctx.Next()
}

func principal(ctx iris.Context) change.Principal {
	return ctx.Values().Get(principalKey).(change.Principal)
}
