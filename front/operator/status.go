package operator

import (
	"github.com/kataras/iris/v12"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/decide/choose"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/metrics"
)

// Status is the answer to GET /v1/status: what the node knows.
type Status struct {
	Host mesh.HostID `json:"host"`
	Zone mesh.Zone   `json:"zone"`
	// Version is the version in force at this node, Decided the last one that
	// it read in the log.
	Version mesh.Version `json:"version"`
	Decided mesh.Version `json:"decided"`
	// Offset is how far it has read the log.
	Offset uint64 `json:"offset"`
	// Platform is empty while the last read of the log succeeded, else its
	// error.
	Platform string `json:"platform_error,omitempty"`
	Draining bool   `json:"draining"`
	// Open is the number of open proposals.
	Open    int           `json:"open_proposals"`
	Members []mesh.Member `json:"members"`
	// Loads is the load last reported by each host, as far as this node asked.
	Loads map[mesh.HostID]mesh.Load `json:"loads"`
	// LoadAges is how long ago each load was reported, in milliseconds.
	LoadAges map[mesh.HostID]int64 `json:"load_age_ms,omitempty"`
	// Backend is the own backend server, where it reports itself.
	Backend *BackendStatus `json:"backend,omitempty"`
	// Served is the version that each host last told this node to serve.
	Served map[mesh.HostID]mesh.Version `json:"served"`
	// Counts has the node's counters of refusals and retries.
	Counts []metrics.Counted `json:"counts"`
}

// BackendStatus is what the node believes of its own backend server, and the
// state of its admission point.
type BackendStatus struct {
	Instance string    `json:"instance"`
	Phase    string    `json:"phase"`
	Load     mesh.Load `json:"load"`
	// HeardMillis is how long ago its last report that counted came.
	HeardMillis int64 `json:"heard_ms"`
}

func (a *API) status(ctx iris.Context) {
	answer := Status{Host: a.Self.Host, Zone: a.Self.Zone, Loads: map[mesh.HostID]mesh.Load{},
		Served: map[mesh.HostID]mesh.Version{}, Counts: a.Meter.Counts()}
	a.configStatus(&answer)
	a.fleetStatus(&answer)
	if a.ReadOnly {
		a.backendStatus(&answer)
	}
	ctx.JSON(answer)
}

func (a *API) configStatus(answer *Status) {
	t := a.Tables
	t.Board.Do(func(tx *blackboard.Tx) {
		if routes := t.Routes.Get(tx); routes != nil {
			answer.Version = routes.Version
		}
		state := t.Changes.Get(tx)
		answer.Decided = state.Version
		answer.Offset = state.Offset
		for _, p := range state.Proposals {
			if p.Status == change.Open {
				answer.Open++
			}
		}
		if batch, found := t.LogBatches.Get(tx, eventlog.Config); found && batch.Err != nil {
			answer.Platform = batch.Err.Error()
		}
	}, t.Changes.Read(), t.Routes.Read(), t.LogBatches.Read())
}

func (a *API) fleetStatus(answer *Status) {
	t := a.Tables
	t.Board.Do(func(tx *blackboard.Tx) {
		t.Members.Each(tx, func(_ mesh.HostID, m mesh.Member) bool {
			answer.Members = append(answer.Members, m)
			return true
		})
		t.Reports.Each(tx, func(id mesh.HostID, r choose.Report) bool {
			answer.Loads[id] = r.Load
			return true
		})
		t.ServedVersions.Each(tx, func(id mesh.HostID, v mesh.Version) bool {
			answer.Served[id] = v
			return true
		})
		answer.Served[a.Self.Host] = answer.Version
		answer.Draining = t.Drain.Get(tx).Draining
	}, t.Members.Read(), t.Reports.Read(), t.Drain.Read(), t.ServedVersions.Read())
}

func (a *API) backendStatus(answer *Status) {
	t := a.Tables
	now := a.Clock.Now()
	answer.LoadAges = make(map[mesh.HostID]int64)
	t.Board.Do(func(tx *blackboard.Tx) {
		b := t.Backend.Backend.Get(tx)
		answer.Backend = &BackendStatus{
			Instance: b.Instance, Phase: b.Phase.String(), Load: t.Occupancy.Get(tx),
		}
		if !b.HeardAt.IsZero() {
			answer.Backend.HeardMillis = now.Sub(b.HeardAt).Milliseconds()
		}
		t.Reports.Each(tx, func(id mesh.HostID, r choose.Report) bool {
			answer.LoadAges[id] = r.Age(now).Milliseconds()
			return true
		})
	}, t.Reports.Read(), t.Backend.Backend.Read(), t.Occupancy.Read())
}
