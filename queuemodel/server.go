package queuemodel

import (
	"slices"
	"time"

	"github.com/marigoldshelf/marigoldshelf/decide/admit"
	"github.com/marigoldshelf/marigoldshelf/decide/limit"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// job is one attempt of a request at a server.
type job struct {
	row         admit.Request // its ID is empty until the attempt reaches the server
	serviceTime time.Duration
	request     *request
	reply       func(completed bool, reason verdict.Reason, retryAfter time.Duration, load mesh.Load)
	ended       bool
	waited      time.Duration
}

// server is a backend server with its admission control.
type server struct {
	sim          *simulation
	index        int
	jobs         []*job // in order of arrival
	serviceTimes admit.ServiceTimes
	learned      limit.Learned
	queued       int // requests that the last admission left waiting
	loads        []loadSample
	rowBuffer    []admit.Request // reused by rows
}

// loadSample is the load at a past time, for delayed load reports.
type loadSample struct {
	at   time.Time
	load mesh.Load
}

func newServer(sim *simulation, index int) *server {
	return &server{sim: sim, index: index}
}

func (s *server) rows() []admit.Request {
	s.rowBuffer = s.rowBuffer[:0]
	for _, j := range s.jobs {
		s.rowBuffer = append(s.rowBuffer, j.row)
	}
	return s.rowBuffer
}

func (s *server) currentLoad() mesh.Load {
	load := mesh.Load{Slots: s.slots()}
	load.Speeds = s.learned.Speeds(s.sim.scenario.SlotsPerServer)
	for _, j := range s.jobs {
		switch j.row.State {
		case admit.Granted:
			load.Busy++
		case admit.Waiting:
			load.Queued++
		}
	}
	return load
}

// slots returns the limit in force.
func (s *server) slots() int { return s.learned.Slots(s.sim.scenario.SlotsPerServer) }

func (s *server) remove(j *job) {
	s.jobs = slices.DeleteFunc(s.jobs, func(other *job) bool { return other == j })
}

func (s *server) find(id string) *job {
	return s.jobs[slices.IndexFunc(s.jobs, func(j *job) bool { return j.row.ID == id })]
}

// enqueue adds a job and runs admission control, now and again at the job's
// deadline if the job still waits then.
func (s *server) enqueue(j *job) {
	s.sim.attempts++
	s.jobs = append(s.jobs, j)
	s.applyAdmission()
	sim := s.sim
	sim.schedule(j.row.Deadline.Sub(sim.now), func() {
		if !j.ended && j.row.State == admit.Waiting {
			s.applyAdmission()
		}
	})
}

// applyAdmission runs the scheme's admission policy, then starts the granted
// jobs and replies to the refused ones.
func (s *server) applyAdmission() {
	sim := s.sim
	s.learned = s.learned.Advance(sim.now, s.queued)
	limits := admit.Limits{
		Slots: s.slots(), Queue: sim.scheme.QueueLimit, ServiceTimes: s.serviceTimes, PriorityOnly: sim.scenario.PriorityOnly,
	}
	for _, row := range sim.scheme.Admit(sim.now, limits, s.rows()) {
		j := s.find(row.ID)
		j.row = row
		if row.State == admit.Granted {
			s.start(j)
			continue
		}
		s.remove(j)
		j.ended = true
		j.reply(false, row.Reason, row.RetryAfter, s.reportedLoad())
	}
	s.queued = s.currentLoad().Queued
	if sim.scheme.LoadReportDelay > 0 {
		s.loads = append(s.loads, loadSample{sim.now, s.currentLoad()})
	}
}

func (s *server) start(j *job) {
	sim := s.sim
	sim.runs++
	j.waited = sim.now.Sub(j.row.Arrived)
	j.request.started++
	if j.request.started > 1 && !j.row.Class.Idempotent() {
		sim.doubleRuns++
	}
	slowdown := 1.0
	if sim.scenario.SlowFactor != nil {
		slowdown = sim.scenario.SlowFactor(s.index, sim.now.Sub(epoch))
	}
	if sim.scenario.CrowdFactor != nil {
		slowdown *= sim.scenario.CrowdFactor(s.index, j.row.BusyAtGrant)
	}
	sim.schedule(time.Duration(slowdown*float64(j.serviceTime)), func() { s.end(j, true) })
}

// end frees the job's slot. If completed is true it sends the response;
// otherwise the job was cancelled. Further calls for the same job have no effect.
func (s *server) end(j *job, completed bool) {
	if j.ended {
		return
	}
	j.ended = true
	s.remove(j)
	if completed {
		s.serviceTimes = s.serviceTimes.ObserveDuration(j.row.Class, s.sim.now.Sub(j.row.Granted))
		if s.sim.scheme.LearnsLimit {
			s.learned = s.learned.Observe(s.sim.now, s.sim.scenario.SlotsPerServer, limit.Sample{
				Class: j.row.Class, Granted: j.row.Granted, Took: s.sim.now.Sub(j.row.Granted), Busy: j.row.BusyAtGrant,
			})
		}
		j.reply(true, "", 0, s.reportedLoad())
	}
	s.applyAdmission()
}

// reportedLoad returns the load that a response reports: the current one, or one
// that is at least LoadReportDelay old.
func (s *server) reportedLoad() mesh.Load {
	sim := s.sim
	if sim.scheme.LoadReportDelay == 0 {
		return s.currentLoad()
	}
	for i := len(s.loads) - 1; i >= 0; i-- {
		if sim.now.Sub(s.loads[i].at) >= sim.scheme.LoadReportDelay {
			s.loads = s.loads[i:]
			return s.loads[0].load
		}
	}
	return mesh.Load{Slots: sim.scenario.SlotsPerServer}
}
