package membership

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/controllers/storeera"
	"github.com/marigoldshelf/marigoldshelf/decide/era"
	"github.com/marigoldshelf/marigoldshelf/decide/membership"
	"github.com/marigoldshelf/marigoldshelf/encoding/record"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/tables"
)

const (
	// announcementID is the key of this node's announcement in Appends and
	// AppendResults.
	announcementID = "announce"
	// maxAnnounceDelay bounds the random delay of the first announcement. Of
	// nodes that start together, most join through the announcement of another
	// one within this time and do not append their own.
	maxAnnounceDelay = 3 * time.Second
	// joinTimeout is how long a node tries to join through known addresses
	// before it announces itself.
	joinTimeout = 3 * time.Second
	// joinAddressTimeout is how long a node that has not joined tries the addresses
	// found by a read before it reads again. A running node replies within two
	// round trips, and the node has joined with its next probe. Without this
	// delay, nodes that start together would all read the stream again after each
	// announcement.
	joinAddressTimeout = 1500 * time.Millisecond
	// emptyStreamDelay is the mean delay after a read that the platform did not
	// hold although there was nothing to read: it cannot hold a read of a stream
	// that has no record yet.
	emptyStreamDelay = 300 * time.Millisecond
	// retryDelay is the mean delay after a failed read or append.
	retryDelay = time.Second
	// readWait is how long the platform may hold the read of a node that has not
	// joined until new records arrive.
	readWait = 2 * time.Second
	// relayReadInterval is the mean time between two reads of the stream by a
	// relay, which look for new nodes that have found no other.
	relayReadInterval = 30 * time.Second
	// relayAnnounceInterval is the mean time between two announcements of a relay.
	// They ensure that the stream always names a running node.
	relayAnnounceInterval = 10 * time.Minute
	// maxJoinAddresses is the number of rows in JoinAddresses above which old ones
	// are deleted.
	maxJoinAddresses = 256
	// maxRestoreAnnounceDelay bounds the random delay of the announcement after a
	// change of era. A node that starts after the restore finds no other until one
	// has announced itself; nodes of a fleet should not all write at once.
	maxRestoreAnnounceDelay = time.Second
)

// registerAnnounce adds the controllers that read and write the stream of
// announcements. The stream serves discovery only: a new node reads it until it
// has joined, and afterwards only relays read it occasionally.
func (f fleetController) registerAnnounce(p *controller.Pool) {
	read := controller.Register(p, "find members", f.reconcileFunc(f.readAnnouncements,
		f.LogReads.Write(), f.LogBatches.Write(), f.StoreEra.Write(), f.Positions.Write(), f.StreamEras.Write()))
	f.LogBatches.Watch(func(s eventlog.Stream) {
		if s == eventlog.MembersStream {
			read.Add(singletonKey)
		}
	})
	read.Add(singletonKey)

	write := controller.Register(p, "announce", f.reconcileFunc(f.announce,
		f.StoreEra.Write(), f.Appends.Write(), f.AppendResults.Write()))
	f.AppendResults.Watch(func(id string) {
		if id == announcementID {
			write.Add(singletonKey)
		}
	})
	f.StoreEra.Watch(func() {
		read.Add(singletonKey)
		write.Add(singletonKey)
	})
	write.AddAt(singletonKey, p.Now().Add(f.jitter(maxAnnounceDelay)))
}

// readAnnouncements processes the batch in the inbox, if there is one, and
// requests the next read when it is due. An empty batch is the end of the
// stream. After a change of era the stream is read again from its start.
func (f fleetController) readAnnouncements(tx *blackboard.Tx, now time.Time) controller.Result {
	if _, pending := f.LogReads.Get(tx, eventlog.MembersStream); pending {
		return controller.Result{}
	}
	schedule := f.AnnounceSchedule.Get(tx)
	if batch, found := f.LogBatches.Get(tx, eventlog.MembersStream); found {
		f.LogBatches.Delete(tx, eventlog.MembersStream)
		late := storeera.Observe(tx, f.Tables, batch.RequestEra, batch.Era, f.OnEraChange)
		position, _ := f.Positions.Get(tx, eventlog.MembersStream)
		restarted := f.restartStream(tx) && position > 0
		// A read from a position of another era, or a late one, is repeated at
		// once. The delay after a failed read applies all the same.
		schedule.ReadAt = now
		if isFailure := batch.Err != nil && !eris.Is(batch.Err, eventlog.ErrExpired); !late && !restarted || isFailure {
			schedule.ReadAt = now.Add(f.processBatch(tx, now, batch))
		}
		f.AnnounceSchedule.Set(tx, schedule)
	} else if f.restartStream(tx) {
		schedule.ReadAt = now
		f.AnnounceSchedule.Set(tx, schedule)
	}
	if now.Before(schedule.ReadAt) {
		return controller.Result{RequeueAfter: schedule.ReadAt.Sub(now)}
	}
	joined := f.Tables.Self.Get(tx).Joined
	if joined && !f.isRelay(tx) {
		return controller.Result{RequeueAfter: f.withJitter(relayReadInterval)}
	}
	last, _ := f.Positions.Get(tx, eventlog.MembersStream)
	wait := readWait
	if joined {
		wait = 0
	}
	f.LogReads.Put(tx, eventlog.MembersStream, tables.LogRead{
		From: last + 1, Wait: wait, RequestedAt: now, Era: f.StoreEra.Get(tx),
	})
	return controller.Result{}
}

// restartStream discards the position in the stream if it belongs to another era
// than the known one, and reports whether it did. The addresses found so far stay
// usable; they count as the oldest ones of the new era, and the node's own is
// found again once it is announced again.
func (f fleetController) restartStream(tx *blackboard.Tx) bool {
	known := f.StoreEra.Get(tx)
	of, _ := f.StreamEras.Get(tx, eventlog.MembersStream)
	if of == known {
		return false
	}
	f.StreamEras.Put(tx, eventlog.MembersStream, known)
	f.Positions.Delete(tx, eventlog.MembersStream)
	f.JoinAddresses.Each(tx, func(address string, offset uint64) bool {
		switch {
		case offset == 0: // a seed
		case address == f.Config.Self.ProbeAddress:
			f.JoinAddresses.Delete(tx, address)
		default:
			f.JoinAddresses.Put(tx, address, 1)
		}
		return true
	})
	return true
}

// processBatch processes the result of a read and returns the delay until the
// next one.
func (f fleetController) processBatch(tx *blackboard.Tx, now time.Time, batch tables.LogBatch) time.Duration {
	switch {
	case eris.Is(batch.Err, eventlog.ErrExpired):
		oldest, known := eventlog.OldestRetained(batch.Err)
		if !known || oldest <= batch.From {
			return f.withJitter(retryDelay)
		}
		f.Positions.Put(tx, eventlog.MembersStream, oldest-1)
		return 0
	case batch.Err != nil:
		return f.withJitter(retryDelay)
	}
	f.Positions.Put(tx, eventlog.MembersStream, batch.From-1)
	for _, r := range batch.Records {
		f.processRecord(tx, r)
	}
	f.dropOldJoinAddresses(tx)
	self := f.Tables.Self.Get(tx)
	if len(batch.Records) == 0 {
		f.markSoleMember(tx, self)
	}
	switch {
	case len(batch.Records) > 0 && !self.Joined:
		return joinAddressTimeout
	case !self.Joined && now.Sub(batch.RequestedAt) < readWait/2:
		return f.withJitter(emptyStreamDelay)
	case len(batch.Records) > 0 || !self.Joined:
		return 0
	}
	return f.withJitter(relayReadInterval)
}

// withJitter returns a random duration between 0.5 and 1.5 times d.
func (f fleetController) withJitter(d time.Duration) time.Duration { return d/2 + f.jitter(d) }

// processRecord adds the address of an announced node to JoinAddresses and sends
// the node a Sync message if it is not a known member.
func (f fleetController) processRecord(tx *blackboard.Tx, r eventlog.Record) {
	f.Positions.Put(tx, eventlog.MembersStream, r.Offset)
	m, err := record.DecodeMember(r.Data)
	if err != nil {
		f.Count(EventMalformedAnnouncement)
		f.OnMalformed(r.Offset, err)
		return
	}
	if m.ProbeAddress == "" {
		return
	}
	f.JoinAddresses.Put(tx, m.ProbeAddress, r.Offset)
	f.syncWithNewcomer(tx, m)
}

// syncWithNewcomer sends a Sync message to an announced node that is unknown or
// known under an older incarnation. Only a node that has joined or is the sole
// member does so.
func (f fleetController) syncWithNewcomer(tx *blackboard.Tx, m mesh.Member) {
	self := f.Tables.Self.Get(tx)
	peer, known := f.Peers.Get(tx, m.Host)
	if !self.Joined && self.Status != membership.SoleMember || known && peer.Member.Incarnation >= m.Incarnation {
		return
	}
	f.sendToAddress(tx, m.ProbeAddress, membership.Message{
		Kind: membership.Sync, Digests: f.zoneDigests(tx), Records: []membership.Record{self.Record()},
	})
}

// dropOldJoinAddresses deletes addresses that were announced more than
// maxJoinAddresses records ago, once there are more than maxJoinAddresses. Seeds
// have offset zero and are kept.
func (f fleetController) dropOldJoinAddresses(tx *blackboard.Tx) {
	excess := f.JoinAddresses.Len(tx) - maxJoinAddresses
	newest, _ := f.Positions.Get(tx, eventlog.MembersStream)
	if excess <= 0 {
		return
	}
	f.JoinAddresses.Each(tx, func(address string, offset uint64) bool {
		if offset > 0 && offset+maxJoinAddresses < newest {
			f.JoinAddresses.Delete(tx, address)
		}
		return true
	})
}

// markSoleMember sets the status of a node to SoleMember if its own announcement
// is the only one in the stream and no other node is known.
func (f fleetController) markSoleMember(tx *blackboard.Tx, self membership.Self) {
	own, announced := f.JoinAddresses.Get(tx, f.Config.Self.ProbeAddress)
	onlyOwn := announced && own > 0 && f.JoinAddresses.Len(tx) == 1 && f.Peers.Len(tx) == 1
	if onlyOwn && self.Status == membership.Unconfirmed {
		self.Status = membership.SoleMember
		f.Tables.Self.Set(tx, self)
	}
}

// announce appends this node's record to the stream if it is due and
// shouldAnnounce returns true. Duplicate announcements are harmless. An
// announcement of a former era can be lost, so it is repeated after a change of
// era by each node that has observed the change.
func (f fleetController) announce(tx *blackboard.Tx, now time.Time) controller.Result {
	schedule := f.AnnounceSchedule.Get(tx)
	if done, found := f.AppendResults.Get(tx, announcementID); found {
		f.AppendResults.Delete(tx, announcementID)
		storeera.Observe(tx, f.Tables, done.RequestEra, done.Era, f.OnEraChange)
		delay := f.withJitter(relayAnnounceInterval)
		if done.Err != nil {
			delay = f.withJitter(retryDelay)
		} else if era.SameLog(f.StoreEra.Get(tx), done.Era) {
			schedule.Era, schedule.Lost = f.StoreEra.Get(tx), false
		}
		schedule.AnnounceAt = now.Add(delay)
		f.AnnounceSchedule.Set(tx, schedule)
	}
	if known := f.StoreEra.Get(tx); schedule.Era != known {
		// The first era that a node learns is not a change.
		if schedule.Lost = schedule.Lost || schedule.Era > 0; schedule.Lost {
			schedule.AnnounceAt = now.Add(f.jitter(maxRestoreAnnounceDelay))
		}
		schedule.Era = known
		f.AnnounceSchedule.Set(tx, schedule)
	}
	if now.Before(schedule.AnnounceAt) {
		return controller.Result{RequeueAfter: schedule.AnnounceAt.Sub(now)}
	}
	if _, pending := f.Appends.Get(tx, announcementID); pending {
		return controller.Result{}
	}
	data, err := record.EncodeMember(f.Tables.Self.Get(tx).Member)
	if err != nil || !f.shouldAnnounce(tx, now) {
		return controller.Result{RequeueAfter: f.withJitter(joinTimeout)}
	}
	f.Appends.Put(tx, announcementID, tables.Append{Stream: eventlog.MembersStream, Data: string(data), Era: f.StoreEra.Get(tx)})
	return controller.Result{}
}

// shouldAnnounce reports whether the node is to announce itself: it is a relay,
// it has observed a change of era, or it has not joined and either has no address to join through or has tried for
// joinTimeout.
func (f fleetController) shouldAnnounce(tx *blackboard.Tx, now time.Time) bool {
	self := f.Tables.Self.Get(tx)
	if self.Joined {
		return f.isRelay(tx) || f.AnnounceSchedule.Get(tx).Lost
	}
	own, _ := f.Peers.Get(tx, self.Member.Host)
	noJoinAddresses := f.JoinAddresses.Len(tx) == 0 && f.Peers.Len(tx) == 1
	return noJoinAddresses || now.Sub(own.Since) > joinTimeout
}
