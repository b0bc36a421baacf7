package queuemodel

import (
	"slices"
	"time"

	"github.com/marigoldshelf/marigoldshelf/decide/admit"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// job is one attempt at a server.
type job struct {
	row    admit.Request
	work   time.Duration
	call   *exchange
	reply  func(whole bool, reason verdict.Reason, retryAfter time.Duration, load mesh.Load)
	ended  bool
	waited time.Duration
}

// server is a backend server with the admission point beside it.
type server struct {
	world   *world
	index   int
	jobs    []*job // in the order of arrival
	service admit.ServiceTimes
	loads   []loadAt
	buffer  []admit.Request // of rows, used again
}

// loadAt is the load at an instant; late reports read old ones.
type loadAt struct {
	at   time.Time
	load mesh.Load
}

func newServer(w *world, index int) *server {
	return &server{world: w, index: index}
}

func (s *server) rows() []admit.Request {
	s.buffer = s.buffer[:0]
	for _, j := range s.jobs {
		s.buffer = append(s.buffer, j.row)
	}
	return s.buffer
}

func (s *server) occupancy() mesh.Load {
	load := mesh.Load{Slots: s.world.plan.Slots}
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

func (s *server) remove(j *job) {
	s.jobs = slices.DeleteFunc(s.jobs, func(other *job) bool { return other == j })
}

func (s *server) find(id string) *job {
	return s.jobs[slices.IndexFunc(s.jobs, func(j *job) bool { return j.row.ID == id })]
}

func (s *server) enter(j *job) {
	s.world.sent++
	s.jobs = append(s.jobs, j)
	s.decide()
	w := s.world
	w.after(j.row.Deadline.Sub(w.now), func() {
		if !j.ended && j.row.State == admit.Waiting {
			s.decide()
		}
	})
}

// decide lets the admission decision change the rows and acts on it.
func (s *server) decide() {
	w := s.world
	limits := admit.Limits{Slots: w.plan.Slots, Queue: w.scheme.Queue, Service: s.service}
	for _, row := range w.scheme.Admit(w.now, limits, s.rows()) {
		j := s.find(row.ID)
		j.row = row
		if row.State == admit.Granted {
			s.start(j)
			continue
		}
		s.remove(j)
		j.ended = true
		j.reply(false, row.Reason, row.RetryAfter, s.load())
	}
	if w.scheme.LateLoads > 0 {
		s.loads = append(s.loads, loadAt{w.now, s.occupancy()})
	}
}

func (s *server) start(j *job) {
	w := s.world
	w.runs++
	j.waited = w.now.Sub(j.row.Arrived)
	j.call.started++
	if j.call.started > 1 && !j.row.Class.Idempotent() {
		w.ranTwo++
	}
	slow := 1.0
	if w.plan.Slow != nil {
		slow = w.plan.Slow(s.index, w.now.Sub(epoch))
	}
	w.after(time.Duration(slow*float64(j.work)), func() { s.end(j, true) })
}

// end gives the slot back, once.
func (s *server) end(j *job, whole bool) {
	if j.ended {
		return
	}
	j.ended = true
	s.remove(j)
	if whole {
		s.service = s.service.Observe(j.row.Class, s.world.now.Sub(j.row.Granted))
		j.reply(true, "", 0, s.load())
	}
	s.decide()
}

// load is what an answer reports: the present load, or an old one.
func (s *server) load() mesh.Load {
	w := s.world
	if w.scheme.LateLoads == 0 {
		return s.occupancy()
	}
	for i := len(s.loads) - 1; i >= 0; i-- {
		if w.now.Sub(s.loads[i].at) >= w.scheme.LateLoads {
			s.loads = s.loads[i:]
			return s.loads[0].load
		}
	}
	return mesh.Load{Slots: w.plan.Slots}
}
