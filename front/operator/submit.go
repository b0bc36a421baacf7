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

// ProposeRequest is the body of POST /v1/proposals. It has either Edits or
// Config.
type ProposeRequest struct {
	// ID is optional. Repeated requests with the same ID make one proposal.
	ID string `json:"id"`
	// Base is the version that the change was made from.
	Base mesh.Version `json:"base"`
	// Edits is the change.
	Edits *mesh.Edits `json:"edits,omitempty"`
	// Config is the whole proposed configuration, used if Edits is not set. The
	// node computes the edits and must itself be at version Base.
	Config mesh.Config `json:"config,omitzero"`
	Reason string      `json:"reason,omitempty"`
}

func (a *API) propose(ctx iris.Context) {
	var request ProposeRequest
	if !a.readBody(ctx, &request) {
		return
	}
	if request.Edits == nil {
		state := a.Tables.Changes.Load()
		if state.Version != request.Base {
			a.writeProblem(ctx, StaleBase, staleBaseMessage(state, request.ID))
			return
		}
		edits := mesh.Diff(state.Config, request.Config)
		request.Edits = &edits
	}
	a.submitRecord(ctx, change.Record{
		ID: request.ID, Kind: change.Propose, Base: request.Base, Edits: request.Edits, Reason: request.Reason,
	})
}

// staleBaseMessage explains why the edits of a whole configuration cannot be
// computed. If an earlier request with the ID is in the log, it says so instead.
func staleBaseMessage(state change.State, id string) string {
	if _, found := state.FindSeen(id); found {
		return "a record with this ID is already in the log; see GET /v1/records/" + id
	}
	return "this node is at another version than the base; send edits, or make the change anew"
}

// ProposalActionRequest is the body of POST /v1/proposals/{id}/{action}, where the
// action is approve, veto, release or withhold.
type ProposalActionRequest struct {
	// ID is optional. Repeated requests with the same ID make one record.
	ID string `json:"id"`
	// Digest is the digest of the proposal's content, as in its diff. It is
	// required for approvals and vetoes.
	Digest string `json:"digest"`
	Reason string `json:"reason"`
}

// proposalAction returns a handler that submits a record of the kind for the
// proposal whose ID is in the path.
func (a *API) proposalAction(kind change.Kind) iris.Handler {
	return func(ctx iris.Context) {
		var request ProposalActionRequest
		if !a.readBody(ctx, &request) {
			return
		}
		a.submitRecord(ctx, change.Record{
			ID: request.ID, Kind: kind, Proposal: ctx.Params().Get("id"),
			Digest: request.Digest, Reason: request.Reason,
		})
	}
}

// SubmitResponse is the response to a request that submits a record.
type SubmitResponse struct {
	ID    string       `json:"id"`
	State submit.State `json:"state"`
	// Outcome is the effect of the record, or why it was refused. It is nil if
	// the state is not_appended or unknown.
	Outcome *change.Outcome `json:"outcome,omitempty"`
	// Digest is the proposal's digest, in the response to a propose request.
	Digest string `json:"digest,omitempty"`
}

// submitRecord completes and checks a record, submits it, and responds with its
// outcome.
func (a *API) submitRecord(ctx iris.Context, r change.Record) {
	r.Author = principal(ctx)
	r.AtMillis = a.Clock.Now().UnixMilli()
	if r.ID == "" {
		r.ID = a.NewID()
	}
	if r.Kind == change.Propose {
		r.Proposal = r.ID
	}
	if !a.checkRole(ctx, r.Kind) {
		return
	}
	if fault := r.FormatFault(); fault != "" {
		a.writeProblem(ctx, BadRequest, fault)
		return
	}
	if _, err := record.EncodeChange(r); err != nil {
		a.writeProblem(ctx, BodyTooLarge, err.Error())
		return
	}
	s, accepted := a.submitAndAwait(ctx.Request().Context(), r)
	if !accepted {
		a.writeProblem(ctx, Busy, "too many submissions are pending at this node")
		return
	}
	a.writeSubmission(ctx, s)
}

// checkRole reports whether the principal's role permits the kind of record. If
// not, it ends the request with a problem.
func (a *API) checkRole(ctx iris.Context, kind change.Kind) bool {
	required := change.Operator
	if kind == change.Approve || kind == change.Veto {
		required = change.CustomerRole
	}
	if principal(ctx).Role != required {
		a.writeProblem(ctx, WrongRole, "only a login with role "+string(required)+" may "+string(kind))
		return false
	}
	return true
}

// writeSubmission responds with the state of a submission and counts one that was
// not accepted.
func (a *API) writeSubmission(ctx iris.Context, s submit.Submission) {
	response := SubmitResponse{ID: s.Record.ID, State: s.State}
	if s.Record.Kind == change.Propose {
		response.Digest = change.Digest(s.Record.Base, *s.Record.Edits)
	}
	status := http.StatusOK
	switch s.State {
	case submit.InLog, submit.Refused:
		response.Outcome = &s.Outcome
		status = a.outcomeStatus(s.Outcome)
	case submit.NotAppended:
		status = http.StatusServiceUnavailable
		a.Meter.Count(refusedEvent, verdict.Reason(submit.NotAppended))
	default:
		status = http.StatusAccepted
		a.Meter.Count(refusedEvent, verdict.Reason(submit.OutcomeUnknown))
	}
	ctx.StopWithJSON(status, response)
}

// outcomeStatus returns the HTTP status of an outcome and counts a refusal.
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

// submitAndAwait submits a record and waits until the submission is no longer
// pending. It returns false if the node has too many pending submissions. The
// state is OutcomeUnknown if ctx ends or the submission is dropped before that.
func (a *API) submitAndAwait(ctx context.Context, r change.Record) (submit.Submission, bool) {
	submitted, accepted := submitting.Submit(a.Tables, r, a.Clock.Now().Add(submitTimeout))
	if !accepted || submitted.State != submit.Pending {
		return submitted, accepted
	}
	s, err := a.Tables.Submissions.Await(ctx, r.ID, func(s submit.Submission, found bool) bool {
		return !found || s.State != submit.Pending
	})
	if err != nil || s.Record.ID == "" {
		submitted.State = submit.OutcomeUnknown
		return submitted, true
	}
	return s, true
}
