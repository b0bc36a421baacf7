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

// Status is the response to GET /v1/status: the node's state and its view of the
// fleet.
type Status struct {
	Host mesh.HostID `json:"host"`
	Zone mesh.Zone   `json:"zone"`
	// Version is the version in force at this node; DecidedVersion is the newest
	// released version that it has read from the log.
	Version        mesh.Version `json:"version"`
	DecidedVersion mesh.Version `json:"decided"`
	// Offset is the offset up to which the node has read the log.
	Offset uint64 `json:"offset"`
	// PlatformError is the error of the last read of the log; empty if it succeeded.
	PlatformError string `json:"platform_error,omitempty"`
	Draining      bool   `json:"draining"`
	// RejectedReason is why the newest configuration could not be put in force;
	// empty if it is in force. RejectedVersion is its version; zero if unknown.
	RejectedReason  string       `json:"rejected_reason,omitempty"`
	RejectedVersion mesh.Version `json:"rejected_version,omitempty"`
	// OpenProposals is the number of open proposals.
	OpenProposals int           `json:"open_proposals"`
	Members       []mesh.Member `json:"members"`
	// Loads has the load that each host last reported to this node.
	Loads map[mesh.HostID]mesh.Load `json:"loads"`
	// LoadAgesMillis is the time since each load was reported, in milliseconds.
	// It is set only if API.ReadOnly is true.
	LoadAgesMillis map[mesh.HostID]int64 `json:"load_age_ms,omitempty"`
	// Backend is the state of the node's backend server. It is set only if
	// API.ReadOnly is true; the backend server then reports its state itself.
	Backend *BackendStatus `json:"backend,omitempty"`
	// ServedVersions has the version that each host last reported to this node as
	// served.
	ServedVersions map[mesh.HostID]mesh.Version `json:"served"`
	// Counts has the node's counters of refusals and retries.
	Counts []metrics.CounterValue `json:"counts"`
}

// BackendStatus is the state of the node's backend server, from its reports, and
// of its admission point.
type BackendStatus struct {
	Instance string    `json:"instance"`
	Phase    string    `json:"phase"`
	Load     mesh.Load `json:"load"`
	// LastReportAgeMillis is the time since the last accepted report, in
	// milliseconds; zero before the first one.
	LastReportAgeMillis int64 `json:"heard_ms"`
}

func (a *API) status(ctx iris.Context) {
	response := Status{Host: a.Self.Host, Zone: a.Self.Zone, Loads: map[mesh.HostID]mesh.Load{},
		ServedVersions: map[mesh.HostID]mesh.Version{}, Counts: a.Meter.Counts()}
	a.addConfigStatus(&response)
	a.addFleetStatus(&response)
	if a.ReadOnly {
		a.addBackendStatus(&response)
	}
	ctx.JSON(response)
}

func (a *API) addConfigStatus(s *Status) {
	t := a.Tables
	t.Board.Do(func(tx *blackboard.Tx) {
		if routes := t.Routes.Get(tx); routes != nil {
			s.Version = routes.Version
		}
		rejected := t.Rejected.Get(tx)
		s.RejectedReason, s.RejectedVersion = rejected.Reason, rejected.Version
		state := t.Changes.Get(tx)
		s.DecidedVersion = state.Version
		s.Offset = state.Offset
		for _, p := range state.Proposals {
			if p.Status == change.Open {
				s.OpenProposals++
			}
		}
		if batch, found := t.LogBatches.Get(tx, eventlog.ConfigStream); found && batch.Err != nil {
			s.PlatformError = batch.Err.Error()
		}
	}, t.Changes.Read(), t.Routes.Read(), t.Rejected.Read(), t.LogBatches.Read())
}

func (a *API) addFleetStatus(s *Status) {
	t := a.Tables
	t.Board.Do(func(tx *blackboard.Tx) {
		t.Members.Each(tx, func(_ mesh.HostID, m mesh.Member) bool {
			s.Members = append(s.Members, m)
			return true
		})
		t.HostStats.Each(tx, func(id mesh.HostID, r choose.HostStats) bool {
			s.Loads[id] = r.Load
			return true
		})
		t.ServedVersions.Each(tx, func(id mesh.HostID, v mesh.Version) bool {
			s.ServedVersions[id] = v
			return true
		})
		s.ServedVersions[a.Self.Host] = s.Version
		s.Draining = t.Drain.Get(tx).Draining
	}, t.Members.Read(), t.HostStats.Read(), t.Drain.Read(), t.ServedVersions.Read())
}

func (a *API) addBackendStatus(s *Status) {
	t := a.Tables
	now := a.Clock.Now()
	s.LoadAgesMillis = make(map[mesh.HostID]int64)
	t.Board.Do(func(tx *blackboard.Tx) {
		b := t.Backend.Backend.Get(tx)
		s.Backend = &BackendStatus{
			Instance: b.Instance, Phase: b.Phase.String(), Load: t.Occupancy.Get(tx),
		}
		if !b.LastReportAt.IsZero() {
			s.Backend.LastReportAgeMillis = now.Sub(b.LastReportAt).Milliseconds()
		}
		t.HostStats.Each(tx, func(id mesh.HostID, r choose.HostStats) bool {
			s.LoadAgesMillis[id] = r.LoadAge(now).Milliseconds()
			return true
		})
	}, t.HostStats.Read(), t.Backend.Backend.Read(), t.Occupancy.Read())
}
