package membership

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/membership"
	"github.com/marigoldshelf/marigoldshelf/encoding/record"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

const (
	// announceID is the outbox key of the node's own announcement.
	announceID = "announce"
	// announceSpread is the span over which nodes that start together spread
	// their announcements; most have joined through another's by then.
	announceSpread = 3 * time.Second
	// joinPatience is how long contacts are tried before the node announces
	// itself.
	joinPatience = 3 * time.Second
	// contactPatience is how long the contacts that a read named are tried before
	// the next read. One that lives answers within two round trips; a fleet that
	// starts at once would else read the stream anew at each announcement.
	contactPatience = 500 * time.Millisecond
	// retryDelay is the mean pause after a failed read or announcement.
	retryDelay = time.Second
	// readWait is how long the platform holds a newcomer's read.
	readWait = 2 * time.Second
	// lookInterval is the mean time between two looks of a relay into the
	// stream, for newcomers that found nobody.
	lookInterval = 30 * time.Second
	// landmarkInterval is the mean time between two announcements of a relay,
	// so that the stream always names somebody who lives.
	landmarkInterval = 10 * time.Minute
	// maxContacts bounds the contacts that are kept.
	maxContacts = 256
)

// registerAnnounce adds the controllers of the stream of announcements. The
// stream is a meeting place and no more: a newcomer reads it until it has
// joined, and afterwards only the relays look into it now and then.
func (f fleet) registerAnnounce(p *controller.Pool) {
	read := controller.Register(p, "find members", f.step(f.find,
		f.LogReads.Write(), f.LogBatches.Write(), f.Positions.Write()))
	f.LogBatches.Watch(func(s eventlog.Stream) {
		if s == eventlog.Members {
			read.Add(theKey)
		}
	})
	read.Add(theKey)

	write := controller.Register(p, "announce", f.step(f.announce, f.Appends.Write(), f.AppendsDone.Write()))
	f.AppendsDone.Watch(func(id string) {
		if id == announceID {
			write.Add(theKey)
		}
	})
	write.AddAt(theKey, p.Now().Add(f.jitter(announceSpread)))
}

// find reads the stream. An empty batch is its end.
func (f fleet) find(tx *blackboard.Tx, now time.Time) controller.Result {
	if _, asked := f.LogReads.Get(tx, eventlog.Members); asked {
		return controller.Result{}
	}
	meeting := f.Meeting.Get(tx)
	if batch, came := f.LogBatches.Get(tx, eventlog.Members); came {
		f.LogBatches.Delete(tx, eventlog.Members)
		meeting.LookAt = now.Add(f.takeBatch(tx, batch))
		f.Meeting.Set(tx, meeting)
	}
	if now.Before(meeting.LookAt) {
		return controller.Result{After: meeting.LookAt.Sub(now)}
	}
	joined := f.Tables.Self.Get(tx).Joined
	if joined && !f.isRelay(tx) {
		return controller.Result{After: f.around(lookInterval)}
	}
	last, read := f.Positions.Get(tx, eventlog.Members)
	wait := readWait
	if !read || joined {
		wait = 0
	}
	f.LogReads.Put(tx, eventlog.Members, tables.LogRead{From: last + 1, Wait: wait})
	return controller.Result{}
}

// takeBatch notes what a read brought, and returns the pause until the next.
func (f fleet) takeBatch(tx *blackboard.Tx, batch tables.LogBatch) time.Duration {
	switch {
	case eris.Is(batch.Err, eventlog.ErrExpired):
		oldest, told := eventlog.Oldest(batch.Err)
		if !told || oldest <= batch.From {
			return f.around(retryDelay)
		}
		f.Positions.Put(tx, eventlog.Members, oldest-1)
		return 0
	case batch.Err != nil:
		return f.around(retryDelay)
	}
	f.Positions.Put(tx, eventlog.Members, batch.From-1)
	for _, r := range batch.Records {
		f.takeRecord(tx, r)
	}
	f.dropOldContacts(tx)
	self := f.Tables.Self.Get(tx)
	if len(batch.Records) == 0 {
		f.beAlone(tx, self)
	}
	switch {
	case len(batch.Records) > 0 && !self.Joined:
		return contactPatience
	case len(batch.Records) > 0 || !self.Joined:
		return 0
	}
	return f.around(lookInterval)
}

// around draws a pause with the mean d.
func (f fleet) around(d time.Duration) time.Duration { return d/2 + f.jitter(d) }

// takeRecord notes the contact that a record names, and greets it if it is no
// member yet.
func (f fleet) takeRecord(tx *blackboard.Tx, r eventlog.Record) {
	f.Positions.Put(tx, eventlog.Members, r.Offset)
	m, err := record.DecodeMember(r.Data)
	if err != nil || m.ProbeAddress == "" {
		return
	}
	f.Contacts.Put(tx, m.ProbeAddress, r.Offset)
	f.greet(tx, m)
}

// greet lets a member that has joined speak to one that nobody knows.
func (f fleet) greet(tx *blackboard.Tx, m mesh.Member) {
	self := f.Tables.Self.Get(tx)
	peer, known := f.Peers.Get(tx, m.Host)
	if !self.Joined && self.Standing != membership.Alone || known && peer.Member.Incarnation >= m.Incarnation {
		return
	}
	f.send(tx, m.ProbeAddress, membership.Message{
		Kind: membership.Sync, Digests: f.digests(tx), News: []membership.Record{self.Record()},
	})
}

// dropOldContacts keeps the newest contacts; seeds stay.
func (f fleet) dropOldContacts(tx *blackboard.Tx) {
	excess := f.Contacts.Len(tx) - maxContacts
	newest, _ := f.Positions.Get(tx, eventlog.Members)
	if excess <= 0 {
		return
	}
	f.Contacts.Each(tx, func(address string, offset uint64) bool {
		if offset > 0 && offset+maxContacts < newest {
			f.Contacts.Delete(tx, address)
		}
		return true
	})
}

// beAlone settles the standing of a node that read its own announcement and
// nobody else's.
func (f fleet) beAlone(tx *blackboard.Tx, self membership.Self) {
	own, announced := f.Contacts.Get(tx, f.Config.Self.ProbeAddress)
	onlyOwn := announced && own > 0 && f.Contacts.Len(tx) == 1 && f.Peers.Len(tx) == 1
	if onlyOwn && self.Standing == membership.Unconfirmed {
		self.Standing = membership.Alone
		f.Tables.Self.Set(tx, self)
	}
}

// announce appends the node's record: a newcomer's that has found nobody, and
// a relay's now and then. Doing so again is harmless.
func (f fleet) announce(tx *blackboard.Tx, now time.Time) controller.Result {
	meeting := f.Meeting.Get(tx)
	if done, came := f.AppendsDone.Get(tx, announceID); came {
		f.AppendsDone.Delete(tx, announceID)
		pause := f.around(landmarkInterval)
		if done.Err != nil {
			pause = f.around(retryDelay)
		}
		meeting.AnnounceAt = now.Add(pause)
		f.Meeting.Set(tx, meeting)
	}
	if now.Before(meeting.AnnounceAt) {
		return controller.Result{After: meeting.AnnounceAt.Sub(now)}
	}
	if _, underWay := f.Appends.Get(tx, announceID); underWay {
		return controller.Result{}
	}
	data, err := record.EncodeMember(f.Tables.Self.Get(tx).Member)
	if err != nil || !f.shouldAnnounce(tx, now) {
		return controller.Result{After: f.around(joinPatience)}
	}
	f.Appends.Put(tx, announceID, tables.Append{Stream: eventlog.Members, Data: string(data)})
	return controller.Result{}
}

// shouldAnnounce tells whether the node has to be named in the stream: it is a
// relay, or it had its time to join through others.
func (f fleet) shouldAnnounce(tx *blackboard.Tx, now time.Time) bool {
	self := f.Tables.Self.Get(tx)
	if self.Joined {
		return f.isRelay(tx)
	}
	own, _ := f.Peers.Get(tx, self.Member.Host)
	nobody := f.Contacts.Len(tx) == 0 && f.Peers.Len(tx) == 1
	return nobody || now.Sub(own.Since) > joinPatience
}
