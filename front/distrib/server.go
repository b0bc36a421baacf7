// Package distrib is the front end for distribution of the configuration stream
// between nodes, over Twirp. Server writes other nodes' pulls into the table
// IncomingPulls and waits for the controller's answers; Client sends this node's
// requests.
package distrib

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/twitchtv/twirp"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/decide/distribution"
	messages "github.com/marigoldshelf/marigoldshelf/encoding/distrib"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

const (
	// maxWait limits how long a pull waits for its answer.
	maxWait = 30 * time.Second
	// busyRetryAfter is the retry delay sent to a node when the table
	// IncomingPulls is full.
	busyRetryAfter = 2 * time.Second
)

// Server implements messages.Distribution. It is safe for concurrent use.
type Server struct {
	Tables *tables.Tables
	Clock  clock.Clock
}

// Pull writes the request into the table IncomingPulls and waits for its answer.
func (s *Server) Pull(ctx context.Context, m *messages.PullRequest) (*messages.PullAnswer, error) {
	request, wait, err := messages.DecodePullRequest(m)
	if err != nil {
		return nil, twirp.InvalidArgumentError("request", err.Error())
	}
	now := s.Clock.Now()
	id := uuid.NewString()
	row := distribution.IncomingPull{Request: request, Arrived: now, Deadline: now.Add(min(wait, maxWait))}
	if !s.addPull(id, row) {
		return messages.EncodePullAnswer(distribution.PullAnswer{Kind: distribution.KindBusy, RetryAfter: busyRetryAfter}), nil
	}
	defer s.deletePull(id)
	row, err = s.Tables.IncomingPulls.Await(ctx, id, func(p distribution.IncomingPull, found bool) bool { return found && p.Answer != nil })
	if err != nil {
		return nil, twirp.NewError(twirp.Canceled, "the requesting node canceled the pull")
	}
	return messages.EncodePullAnswer(*row.Answer), nil
}

// addPull adds a row to the table IncomingPulls. It returns false if the table
// already has distribution.MaxIncomingPulls rows.
func (s *Server) addPull(id string, row distribution.IncomingPull) (added bool) {
	t := s.Tables
	t.Board.Do(func(tx *blackboard.Tx) {
		if added = t.IncomingPulls.Len(tx) < distribution.MaxIncomingPulls; added {
			t.IncomingPulls.Put(tx, id, row)
		}
	}, t.IncomingPulls.Write())
	return added
}

func (s *Server) deletePull(id string) {
	t := s.Tables
	t.Board.Do(func(tx *blackboard.Tx) { t.IncomingPulls.Delete(tx, id) }, t.IncomingPulls.Write())
}

// Recall returns the highest version that the host has reported to this node as
// served, or the newest released version if that is higher: no host serves a
// version that was not released. Settled is false while this node's own version
// floor is unknown.
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

// ExpirePulls sets the deadline of all waiting pulls to now. They are then answered
// at once, so that the node can stop.
func (s *Server) ExpirePulls() {
	t := s.Tables
	now := s.Clock.Now()
	t.Board.Do(func(tx *blackboard.Tx) {
		t.IncomingPulls.Each(tx, func(id string, p distribution.IncomingPull) bool {
			p.Deadline = now
			t.IncomingPulls.Put(tx, id, p)
			return true
		})
	}, t.IncomingPulls.Write())
}
