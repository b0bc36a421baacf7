// Package operator is the front end for operators and customers: an HTTP API
// over iris. It authenticates, puts records into the table Submissions, and
// waits for what comes of them.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/kataras/iris/v12"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/decide/submit"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/settings"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

const (
	// submitTimeout bounds how long a record is tried for.
	submitTimeout = 5 * time.Second
	// maxBodyBytes bounds a request's body.
	maxBodyBytes = 4 << 20
	// principalKey is where a request keeps who sent it.
	principalKey = "principal"
)

// API serves operators and customers.
type API struct {
	Tables *tables.Tables
	Clock  clock.Clock
	Self   mesh.Member
	Logins []settings.Credential
}

// Handler builds the API's HTTP handler.
func (a *API) Handler() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	v1 := app.Party("/v1", a.authenticate, iris.LimitRequestBodySize(maxBodyBytes))
	v1.Get("/status", a.status)
	v1.Get("/configuration", a.configuration)
	v1.Get("/proposals", a.proposals)
	v1.Post("/proposals", a.propose)
	for _, kind := range []change.Kind{change.Approve, change.Veto, change.Release, change.Withhold} {
		v1.Post("/proposals/{id:string}/"+string(kind), a.answerProposal(kind))
	}
	if err := app.Build(); err != nil {
		return nil, err
	}
	return app, nil
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
		ctx.StopWithJSON(http.StatusUnauthorized, Problem{Error: "unknown credential"})
		return
	}
	ctx.Values().Set(principalKey, change.Principal{Name: found.Name, Role: found.Role, Customer: found.Customer})
	ctx.Next()
}

// Problem is the body of an answer to a request that was not understood.
type Problem struct {
	Error string `json:"error"`
}

// Status is the answer to GET /v1/status.
type Status struct {
	Host    mesh.HostID   `json:"host"`
	Zone    mesh.Zone     `json:"zone"`
	Version mesh.Version  `json:"version"`
	Offset  uint64        `json:"offset"`
	Members []mesh.Member `json:"members"`
}

func (a *API) status(ctx iris.Context) {
	answer := Status{Host: a.Self.Host, Zone: a.Self.Zone}
	t := a.Tables
	t.Board.Do(func(tx *blackboard.Tx) {
		if routes := t.Routes.Get(tx); routes != nil {
			answer.Version = routes.Version
		}
		answer.Offset = t.Changes.Get(tx).Offset
		t.Members.Each(tx, func(_ mesh.HostID, m mesh.Member) bool {
			answer.Members = append(answer.Members, m)
			return true
		})
	}, t.Changes.Read(), t.Routes.Read(), t.Members.Read())
	ctx.JSON(answer)
}

// Configuration is the configuration in force and its version.
type Configuration struct {
	Version mesh.Version `json:"version"`
	Config  mesh.Config  `json:"config"`
}

func (a *API) configuration(ctx iris.Context) {
	state := a.Tables.Changes.Load()
	ctx.JSON(Configuration{Version: state.Version, Config: state.Config})
}

func (a *API) proposals(ctx iris.Context) {
	state := a.Tables.Changes.Load()
	list := make([]change.Proposal, 0, len(state.Proposals))
	for _, id := range slices.Sorted(maps.Keys(state.Proposals)) {
		list = append(list, state.Proposals[id])
	}
	ctx.JSON(list)
}

// ProposeRequest is the body of POST /v1/proposals: the whole configuration
// wanted, and the version that it was made from.
type ProposeRequest struct {
	// ID may be left out; a request that is repeated with it counts once.
	ID     string       `json:"id"`
	Base   mesh.Version `json:"base"`
	Config mesh.Config  `json:"config"`
}

func (a *API) propose(ctx iris.Context) {
	var request ProposeRequest
	if err := ctx.ReadJSON(&request, iris.JSONReader{DisallowUnknownFields: true}); err != nil {
		ctx.StopWithJSON(http.StatusBadRequest, Problem{Error: err.Error()})
		return
	}
	edits := mesh.Diff(a.Tables.Changes.Load().Config, request.Config)
	a.submit(ctx, change.Record{ID: request.ID, Kind: change.Propose, Base: request.Base, Edits: &edits})
}

// AnswerRequest is the body of POST /v1/proposals/{id}/{verb}.
type AnswerRequest struct {
	ID     string `json:"id"`
	Digest string `json:"digest"`
	Reason string `json:"reason"`
}

func (a *API) answerProposal(kind change.Kind) iris.Handler {
	return func(ctx iris.Context) {
		var request AnswerRequest
		if err := ctx.ReadJSON(&request, iris.JSONReader{DisallowUnknownFields: true}); err != nil {
			ctx.StopWithJSON(http.StatusBadRequest, Problem{Error: err.Error()})
			return
		}
		a.submit(ctx, change.Record{
			ID: request.ID, Kind: kind, Proposal: ctx.Params().Get("id"),
			Digest: request.Digest, Reason: request.Reason,
		})
	}
}

// Submitted is the answer to a request that submits a record.
type Submitted struct {
	ID      string          `json:"id"`
	State   submit.State    `json:"state"`
	Outcome *change.Outcome `json:"outcome,omitempty"`
}

// submit puts the record on its way and answers with what came of it.
func (a *API) submit(ctx iris.Context, r change.Record) {
	r.By = ctx.Values().Get(principalKey).(change.Principal)
	if r.ID == "" {
		r.ID = uuid.NewString()
	}
	if r.Kind == change.Propose {
		r.Proposal = r.ID
	}
	s := a.await(ctx.Request().Context(), r)
	answer := Submitted{ID: r.ID, State: s.State}
	status := http.StatusOK
	switch s.State {
	case submit.InLog:
		answer.Outcome = &s.Outcome
		if !s.Outcome.Accepted {
			status = http.StatusConflict
		}
	case submit.NotInLog:
		status = http.StatusServiceUnavailable
	default:
		status = http.StatusAccepted
	}
	ctx.StopWithJSON(status, answer)
}

func (a *API) await(ctx context.Context, r change.Record) submit.Submission {
	t := a.Tables
	row := submit.Submission{Record: r, State: submit.Pending, Deadline: a.Clock.Now().Add(submitTimeout)}
	t.Board.Do(func(tx *blackboard.Tx) { t.Submissions.Put(tx, r.ID, row) }, t.Submissions.Write())
	s, err := t.Submissions.Await(ctx, r.ID, func(s submit.Submission, found bool) bool {
		return found && s.State != submit.Pending
	})
	t.Board.Do(func(tx *blackboard.Tx) { t.Submissions.Delete(tx, r.ID) }, t.Submissions.Write())
	if err != nil {
		row.State = submit.Unknown
		return row
	}
	return s
}
