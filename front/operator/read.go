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

// maxWatch bounds how long a watch request is held.
const maxWatch = 30 * time.Second

// Configuration is the configuration in force and its version.
type Configuration struct {
	Version mesh.Version `json:"version"`
	Config  mesh.Config  `json:"config"`
}

func (a *API) configuration(ctx iris.Context) {
	state := a.Tables.Changes.Load()
	ctx.JSON(Configuration{Version: state.Version, Config: state.Config})
}

// proposals answers with the proposals in log order; ?status= picks some.
func (a *API) proposals(ctx iris.Context) {
	wanted := change.Status(ctx.URLParam("status"))
	list := []change.Proposal{}
	for _, p := range change.InLogOrder(a.Tables.Changes.Load().Proposals) {
		if wanted == "" || p.Status == wanted {
			list = append(list, p)
		}
	}
	ctx.JSON(list)
}

func (a *API) proposal(ctx iris.Context) {
	if p, found := a.find(ctx, a.Tables.Changes.Load()); found {
		ctx.JSON(p)
	}
}

// find returns the proposal that the path names, or ends the request.
func (a *API) find(ctx iris.Context, state change.State) (change.Proposal, bool) {
	id := ctx.Params().Get("id")
	p, found := state.Proposals[id]
	if !found {
		a.fail(ctx, NotFound, "no proposal "+id+" at this node")
	}
	return p, found
}

// Diff is what an open proposal changes.
type Diff struct {
	Proposal string       `json:"proposal"`
	Digest   string       `json:"digest"`
	Base     mesh.Version `json:"base"`
	change.View
	Approved []mesh.Customer `json:"approved"`
}

func (a *API) diff(ctx iris.Context) {
	state := a.Tables.Changes.Load()
	p, found := a.find(ctx, state)
	if !found {
		return
	}
	if p.Status != change.Open {
		a.fail(ctx, NotOpen, "proposal "+p.ID+" is "+string(p.Status)+"; there is no diff of a closed one")
		return
	}
	view := change.Compare(state.Config, state.Config.Apply(p.Edits))
	ctx.JSON(Diff{Proposal: p.ID, Digest: p.Digest, Base: p.Base, View: view, Approved: p.Approved})
}

// Recorded says whether a record is in the log, as far as the node has read it.
type Recorded struct {
	ID    string       `json:"id"`
	State submit.State `json:"state"`
	// Offset is the record's place in the log, or how far the node has read
	// when it has not met the record.
	Offset  uint64          `json:"offset"`
	Outcome *change.Outcome `json:"outcome,omitempty"`
}

// record tells what became of a record: in_log for certain, or pending, or
// unknown, which means that the node has not read it up to the offset.
func (a *API) record(ctx iris.Context) {
	id := ctx.Params().Get("id")
	t := a.Tables
	answer := Recorded{ID: id, State: submit.Unknown}
	t.Board.Do(func(tx *blackboard.Tx) {
		state := t.Changes.Get(tx)
		answer.Offset = state.Offset
		if seen, found := state.Recall(id); found {
			answer = Recorded{ID: id, State: submit.InLog, Offset: seen.Offset, Outcome: &seen.Outcome}
			return
		}
		if s, found := t.Submissions.Get(tx, id); found && s.State == submit.Pending {
			answer.State = submit.Pending
		}
	}, t.Changes.Read(), t.Submissions.Read())
	ctx.JSON(answer)
}

// Watched is the answer to GET /v1/watch.
type Watched struct {
	// Offset is how far the node has read the log; it is what to watch after
	// next.
	Offset uint64 `json:"offset"`
	// Version is the version decided in the log, InForce the one that the node
	// serves.
	Version mesh.Version `json:"version"`
	InForce mesh.Version `json:"in_force"`
	// Proposals has those that changed, in log order.
	Proposals []change.Proposal `json:"proposals"`
}

// watch waits until the node has read the log past ?after=, and answers with
// what changed; after the longest wait it answers with nothing new.
func (a *API) watch(ctx iris.Context) {
	after := uint64(ctx.URLParamInt64Default("after", 0))
	waiting, cancel := context.WithTimeout(ctx.Request().Context(), maxWatch)
	defer cancel()
	state, err := a.Tables.Changes.Await(waiting, func(s change.State) bool { return s.Offset > after })
	if ctx.Request().Context().Err() != nil {
		a.fail(ctx, Interrupted, "the asker went away")
		return
	}
	if err != nil {
		state = a.Tables.Changes.Load()
	}
	answer := Watched{Offset: max(state.Offset, after), Version: state.Version, Proposals: []change.Proposal{}}
	if routes := a.Tables.Routes.Load(); routes != nil {
		answer.InForce = routes.Version
	}
	for _, p := range change.InLogOrder(state.Proposals) {
		if p.LastOffset() > after {
			answer.Proposals = append(answer.Proposals, p)
		}
	}
	ctx.JSON(answer)
}

// DrainRequest is the body of POST /v1/drain and /v1/undrain.
type DrainRequest struct {
	// Host must be the node's own host, so that a wrong address drains none.
	Host mesh.HostID `json:"host"`
}

// Drained is the answer to POST /v1/drain and /v1/undrain.
type Drained struct {
	Host     mesh.HostID `json:"host"`
	Draining bool        `json:"draining"`
	// Changed is false when it was so already.
	Changed bool `json:"changed"`
}

// drain begins or ends the drain of the node's backend server.
func (a *API) drain(wanted bool) iris.Handler {
	return func(ctx iris.Context) {
		var request DrainRequest
		if !a.read(ctx, &request) {
			return
		}
		switch {
		case principal(ctx).Role != change.Operator:
			a.fail(ctx, WrongRole, "only an operator drains")
		case request.Host != a.Self.Host:
			a.fail(ctx, WrongHost, "this is the node of host "+string(a.Self.Host))
		default:
			ctx.StopWithJSON(http.StatusOK, Drained{Host: request.Host, Draining: wanted, Changed: a.setDrain(wanted)})
		}
	}
}

func (a *API) setDrain(wanted bool) (changed bool) {
	t := a.Tables
	t.Board.Do(func(tx *blackboard.Tx) {
		present := t.Drain.Get(tx)
		if present.Draining == wanted || present.Stopping {
			return
		}
		changed = true
		next := drain.State{Draining: wanted}
		if wanted {
			next.Since = a.Clock.Now()
		}
		t.Drain.Set(tx, next)
	}, t.Drain.Write())
	return changed
}
