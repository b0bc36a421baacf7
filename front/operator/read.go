package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/decide/drain"
	"github.com/marigoldshelf/marigoldshelf/decide/submit"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// maxWatchWait limits how long a watch request is held open.
const maxWatchWait = 30 * time.Second

// Configuration is the response to GET /v1/configuration: the newest released
// configuration that the node has read from the log, and its version.
type Configuration struct {
	Version mesh.Version `json:"version"`
	Config  mesh.Config  `json:"config"`
}

func (a *API) configuration(ctx iris.Context) {
	state := a.Tables.Changes.Load()
	ctx.JSON(Configuration{Version: state.Version, Config: state.Config})
}

// proposals responds with the proposals in log order, filtered by ?status= if it
// is set.
func (a *API) proposals(ctx iris.Context) {
	status := change.Status(ctx.URLParam("status"))
	list := []change.Proposal{}
	for _, p := range change.InLogOrder(a.Tables.Changes.Load().Proposals) {
		if status == "" || p.Status == status {
			list = append(list, p)
		}
	}
	ctx.JSON(list)
}

func (a *API) proposal(ctx iris.Context) {
	if p, found := a.findProposal(ctx, a.Tables.Changes.Load()); found {
		ctx.JSON(p)
	}
}

// findProposal returns the proposal whose ID is in the path. If there is none, it
// ends the request with a problem and returns false.
func (a *API) findProposal(ctx iris.Context, state change.State) (change.Proposal, bool) {
	id := ctx.Params().Get("id")
	p, found := state.Proposals[id]
	if !found {
		a.writeProblem(ctx, NotFound, "no proposal "+id+" at this node")
	}
	return p, found
}

// Diff is the response to GET /v1/proposals/{id}/diff: what an open proposal
// changes in the newest released configuration that the node has read.
type Diff struct {
	Proposal string       `json:"proposal"`
	Digest   string       `json:"digest"`
	Base     mesh.Version `json:"base"`
	change.Comparison
	Approved []mesh.Customer `json:"approved"`
}

func (a *API) diff(ctx iris.Context) {
	state := a.Tables.Changes.Load()
	p, found := a.findProposal(ctx, state)
	if !found {
		return
	}
	if p.Status != change.Open {
		a.writeProblem(ctx, NotOpen, "proposal "+p.ID+" is "+string(p.Status)+"; only an open proposal has a diff")
		return
	}
	view := change.Compare(state.Config, state.Config.Apply(p.Edits))
	ctx.JSON(Diff{Proposal: p.ID, Digest: p.Digest, Base: p.Base, Comparison: view, Approved: p.ApprovedBy})
}

// RecordResponse is the response to GET /v1/records/{id}: whether the record is in
// the part of the log that the node has read.
type RecordResponse struct {
	ID    string       `json:"id"`
	State submit.State `json:"state"`
	// Offset is the record's offset in the log. If the node has not read the
	// record, it is the offset up to which the node has read.
	Offset  uint64          `json:"offset"`
	Outcome *change.Outcome `json:"outcome,omitempty"`
}

// record responds with the state of a record: in_log, pending, or unknown. Only
// in_log is certain; unknown means that the node has not read the record up to
// the offset.
func (a *API) record(ctx iris.Context) {
	id := ctx.Params().Get("id")
	t := a.Tables
	response := RecordResponse{ID: id, State: submit.OutcomeUnknown}
	t.Board.Do(func(tx *blackboard.Tx) {
		state := t.Changes.Get(tx)
		response.Offset = state.Offset
		if seen, found := state.FindSeen(id); found {
			response = RecordResponse{ID: id, State: submit.InLog, Offset: seen.Offset, Outcome: &seen.Outcome}
			return
		}
		if s, found := t.Submissions.Get(tx, id); found && s.State == submit.Pending {
			response.State = submit.Pending
		}
	}, t.Changes.Read(), t.Submissions.Read())
	ctx.JSON(response)
}

// WatchResponse is the response to GET /v1/watch.
type WatchResponse struct {
	// Offset is the offset up to which the node has read the log, at least
	// ?after=. It is the value of ?after= for the next watch.
	Offset uint64 `json:"offset"`
	// Version is the newest version released in the log; VersionInForce is the
	// version that the node serves.
	Version        mesh.Version `json:"version"`
	VersionInForce mesh.Version `json:"in_force"`
	// Proposals has the proposals that changed after ?after=, in log order.
	Proposals []change.Proposal `json:"proposals"`
}

// watch waits until the node has read the log past ?after= and responds with the
// changes. After maxWatchWait it responds without changes.
func (a *API) watch(ctx iris.Context) {
	after := uint64(ctx.URLParamInt64Default("after", 0))
	waitCtx, cancel := context.WithTimeout(ctx.Request().Context(), maxWatchWait)
	defer cancel()
	state, err := a.Tables.Changes.Await(waitCtx, func(s change.State) bool { return s.Offset > after })
	if ctx.Request().Context().Err() != nil {
		a.writeProblem(ctx, Interrupted, "the client closed the request")
		return
	}
	if err != nil {
		state = a.Tables.Changes.Load()
	}
	response := WatchResponse{Offset: max(state.Offset, after), Version: state.Version, Proposals: []change.Proposal{}}
	if routes := a.Tables.Routes.Load(); routes != nil {
		response.VersionInForce = routes.Version
	}
	for _, p := range change.InLogOrder(state.Proposals) {
		if p.LastOffset() > after {
			response.Proposals = append(response.Proposals, p)
		}
	}
	ctx.JSON(response)
}

// DrainRequest is the body of POST /v1/drain and /v1/undrain.
type DrainRequest struct {
	// Host must be the node's own host, so that a request sent to the wrong
	// address drains nothing.
	Host mesh.HostID `json:"host"`
}

// DrainResponse is the response to POST /v1/drain and /v1/undrain.
type DrainResponse struct {
	Host     mesh.HostID `json:"host"`
	Draining bool        `json:"draining"`
	// Changed is false if the state was already as requested, or if the node is
	// stopping.
	Changed bool `json:"changed"`
}

// drain returns a handler that starts or ends the drain of the node's backend
// server.
func (a *API) drain(draining bool) iris.Handler {
	return func(ctx iris.Context) {
		var request DrainRequest
		if !a.readBody(ctx, &request) {
			return
		}
		switch {
		case principal(ctx).Role != change.Operator:
			a.writeProblem(ctx, WrongRole, "only an operator drains")
		case request.Host != a.Self.Host:
			a.writeProblem(ctx, WrongHost, "this is the node of host "+string(a.Self.Host))
		default:
			ctx.StopWithJSON(http.StatusOK, DrainResponse{Host: request.Host, Draining: draining, Changed: a.setDraining(draining)})
		}
	}
}

// setDraining returns false without a change if the state is already as
// requested or the node is stopping.
func (a *API) setDraining(draining bool) (changed bool) {
	t := a.Tables
	t.Board.Do(func(tx *blackboard.Tx) {
		current := t.Drain.Get(tx)
		if current.Draining == draining || current.Stopping {
			return
		}
		changed = true
		next := drain.State{Draining: draining}
		if draining {
			next.Since = a.Clock.Now()
		}
		t.Drain.Set(tx, next)
	}, t.Drain.Write())
	return changed
}
