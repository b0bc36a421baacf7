package operator

import (
	"context"
	"net/http"

	"github.com/kataras/iris/v12"

	submitting "github.com/marigoldshelf/marigoldshelf/controllers/submit"
	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/decide/submit"
	"github.com/marigoldshelf/marigoldshelf/encoding/record"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// ProposeRequest is the body of POST /v1/proposals. It has either the edits or
// the whole configuration wanted.
type ProposeRequest struct {
	// ID may be left out; a request that is repeated with it counts once.
	ID string `json:"id"`
	// Base is the version that the change was made from.
	Base mesh.Version `json:"base"`
	// Edits is what changes.
	Edits *mesh.Edits `json:"edits,omitempty"`
	// Config is the whole configuration wanted, in place of Edits: the node
	// works the edits out, and must itself be at version Base.
	Config mesh.Config `json:"config,omitzero"`
	Reason string      `json:"reason,omitempty"`
}

func (a *API) propose(ctx iris.Context) {
	var request ProposeRequest
	if !a.read(ctx, &request) {
		return
	}
	if request.Edits == nil {
		state := a.Tables.Changes.Load()
		if state.Version != request.Base {
			a.fail(ctx, StaleBase, staleText(state, request.ID))
			return
		}
		edits := mesh.Diff(state.Config, request.Config)
		request.Edits = &edits
	}
	a.submit(ctx, change.Record{
		ID: request.ID, Kind: change.Propose, Base: request.Base, Edits: request.Edits, Reason: request.Reason,
	})
}

// staleText says why a whole configuration cannot be compared, and that an
// earlier request with the ID may have been made.
func staleText(state change.State, id string) string {
	if _, found := state.Recall(id); found {
		return "the ID is in the log already: ask GET /v1/records/" + id
	}
	return "this node is at another version than the base; send edits, or make the change anew"
}

// AnswerRequest is the body of POST /v1/proposals/{id}/{verb}.
type AnswerRequest struct {
	// ID may be left out; a request that is repeated with it counts once.
	ID string `json:"id"`
	// Digest is the digest of the proposal's content, as its diff shows it.
	// Approvals and vetoes need it.
	Digest string `json:"digest"`
	Reason string `json:"reason"`
}

func (a *API) answerProposal(kind change.Kind) iris.Handler {
	return func(ctx iris.Context) {
		var request AnswerRequest
		if !a.read(ctx, &request) {
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
	ID    string       `json:"id"`
	State submit.State `json:"state"`
	// Outcome is what the record did, or why it was refused; nil when the
	// state is not_appended or unknown.
	Outcome *change.Outcome `json:"outcome,omitempty"`
	// Digest is that of the proposal, in the answer to a propose request.
	Digest string `json:"digest,omitempty"`
}

// submit puts the record on its way and answers with what came of it.
func (a *API) submit(ctx iris.Context, r change.Record) {
	r.By = principal(ctx)
	r.AtMillis = a.Clock.Now().UnixMilli()
	if r.ID == "" {
		r.ID = a.NewID()
	}
	if r.Kind == change.Propose {
		r.Proposal = r.ID
	}
	if !a.allowed(ctx, r.Kind) {
		return
	}
	if fault := r.Malformation(); fault != "" {
		a.fail(ctx, BadRequest, fault)
		return
	}
	if _, err := record.EncodeChange(r); err != nil {
		a.fail(ctx, BodyTooLarge, err.Error())
		return
	}
	s, taken := a.await(ctx.Request().Context(), r)
	if !taken {
		a.fail(ctx, Busy, "too many submissions are under way at this node")
		return
	}
	a.answer(ctx, s)
}

// allowed reports whether the login's role may write the kind of record.
func (a *API) allowed(ctx iris.Context, kind change.Kind) bool {
	wanted := change.Operator
	if kind == change.Approve || kind == change.Veto {
		wanted = change.CustomerRole
	}
	if principal(ctx).Role != wanted {
		a.fail(ctx, WrongRole, "only a login with role "+string(wanted)+" may "+string(kind))
		return false
	}
	return true
}

func (a *API) answer(ctx iris.Context, s submit.Submission) {
	answer := Submitted{ID: s.Record.ID, State: s.State}
	if s.Record.Kind == change.Propose {
		answer.Digest = change.Digest(s.Record.Base, *s.Record.Edits)
	}
	status := http.StatusOK
	switch s.State {
	case submit.InLog, submit.Refused:
		answer.Outcome = &s.Outcome
		status = a.outcomeStatus(s.Outcome)
	case submit.NotAppended:
		status = http.StatusServiceUnavailable
		a.Meter.Count(refusedEvent, verdict.Reason(submit.NotAppended))
	default:
		status = http.StatusAccepted
		a.Meter.Count(refusedEvent, verdict.Reason(submit.Unknown))
	}
	ctx.StopWithJSON(status, answer)
}

// outcomeStatus returns the HTTP status of an outcome, and counts a refusal.
func (a *API) outcomeStatus(o change.Outcome) int {
	if o.Accepted {
		return http.StatusOK
	}
	a.Meter.Count(refusedEvent, verdict.Reason(o.Refusal))
	switch o.Refusal {
	case change.BadConfiguration, change.BadEdits, change.EmptyChange:
		return http.StatusUnprocessableEntity
	case change.NoSuchProposal:
		return http.StatusNotFound
	case change.Malformed:
		return http.StatusBadRequest
	case change.WrongRole, change.NotConcerned:
		return http.StatusForbidden
	default:
		return http.StatusConflict
	}
}

// await submits a record and waits for its end. It reports false when the node
// has too many under way.
func (a *API) await(ctx context.Context, r change.Record) (submit.Submission, bool) {
	begun, taken := submitting.Take(a.Tables, r, a.Clock.Now().Add(submitTimeout))
	if !taken || begun.State != submit.Pending {
		return begun, taken
	}
	s, err := a.Tables.Submissions.Await(ctx, r.ID, func(s submit.Submission, found bool) bool {
		return !found || s.State != submit.Pending
	})
	if err != nil || s.Record.ID == "" {
		begun.State = submit.Unknown
		return begun, true
	}
	return s, true
}
