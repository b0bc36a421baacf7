// Package distrib is the front end for other nodes' questions about the
// configuration stream, over twirp, and the client that asks them.
package distrib

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/twitchtv/twirp"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/decide/spread"
	messages "github.com/marigoldshelf/marigoldshelf/encoding/distrib"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

const (
	// maxWait bounds how long an answer may be held.
	maxWait = 30 * time.Second
	// busyPause is what a node is told to wait when too many wait already.
	busyPause = 2 * time.Second
)

// Server implements the twirp service. It is safe for concurrent use.
type Server struct {
	Tables *tables.Tables
	Clock  clock.Clock
}

// Pull puts the request into the table Pulls and waits for its answer.
func (s *Server) Pull(ctx context.Context, m *messages.PullRequest) (*messages.PullAnswer, error) {
	request, wait, err := messages.ToRequest(m)
	if err != nil {
		return nil, twirp.InvalidArgumentError("request", err.Error())
	}
	now := s.Clock.Now()
	id := uuid.NewString()
	row := spread.Pull{Request: request, Arrived: now, Deadline: now.Add(min(wait, maxWait))}
	if !s.enter(id, row) {
		return messages.FromAnswer(spread.Answer{Kind: spread.Busy, RetryAfter: busyPause}), nil
	}
	defer s.leave(id)
	row, err = s.Tables.Pulls.Await(ctx, id, func(p spread.Pull, found bool) bool { return found && p.Answer != nil })
	if err != nil {
		return nil, twirp.NewError(twirp.Canceled, "the asking node is gone")
	}
	return messages.FromAnswer(*row.Answer), nil
}

func (s *Server) enter(id string, row spread.Pull) (entered bool) {
	t := s.Tables
	t.Board.Do(func(tx *blackboard.Tx) {
		if entered = t.Pulls.Len(tx) < spread.MaxPulls; entered {
			t.Pulls.Put(tx, id, row)
		}
	}, t.Pulls.Write())
	return entered
}

func (s *Server) leave(id string) {
	t := s.Tables
	t.Board.Do(func(tx *blackboard.Tx) { t.Pulls.Delete(tx, id) }, t.Pulls.Write())
}

// Recall tells what this node knows of the version a host served: no host
// serves a version that was not released, so the newest release counts too.
func (s *Server) Recall(_ context.Context, m *messages.RecallRequest) (*messages.RecallAnswer, error) {
	t := s.Tables
	answer := &messages.RecallAnswer{}
	t.Board.Do(func(tx *blackboard.Tx) {
		served, _ := t.ServedVersions.Get(tx, mesh.HostID(m.Host))
		answer.Version = uint64(max(served, t.Changes.Get(tx).Version))
		answer.Settled = t.Floor.Get(tx).Known
	}, t.Changes.Read(), t.Floor.Read(), t.ServedVersions.Read())
	return answer, nil
}

// Release has the answers that are held given now, so that a node can stop.
func (s *Server) Release() {
	t := s.Tables
	now := s.Clock.Now()
	t.Board.Do(func(tx *blackboard.Tx) {
		t.Pulls.Each(tx, func(id string, p spread.Pull) bool {
			p.Deadline = now
			t.Pulls.Put(tx, id, p)
			return true
		})
	}, t.Pulls.Write())
}
