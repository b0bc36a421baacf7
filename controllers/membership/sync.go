package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/decide/membership"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

const (
	// maxPullsPerSync bounds the zones that are pulled after one comparison.
	maxPullsPerSync = 2
	// anyZoneSyncOneIn is the inverse share of comparisons made with a random member
	// of any zone, gone and unreachable members included. They let the parts of a
	// fleet rejoin after a partition.
	anyZoneSyncOneIn = 4
	// maxMessageDigests bounds the digests of one message. With more zones, a random
	// subset is sent each time.
	maxMessageDigests = 16
)

// registerSync adds the anti-entropy controller, which compares the digests of
// all zones with a random peer and repairs differences.
func (f fleetController) registerSync(p *controller.Pool) {
	handle := controller.Register(p, "sync", f.reconcileFunc(f.syncWithPeer))
	handle.AddAt(singletonKey, p.Now().Add(f.jitter(f.Timing.InitialSyncInterval)))
}

func (f fleetController) syncWithPeer(tx *blackboard.Tx, now time.Time) controller.Result {
	f.removeTombstones(tx, now)
	self := f.Tables.Self.Get(tx)
	if !self.Joined {
		f.join(tx, self)
		return controller.Result{RequeueAfter: f.Timing.InitialSyncInterval/2 + f.jitter(f.Timing.InitialSyncInterval)}
	}
	if id, found := f.pickSyncPeer(tx); found {
		f.sendToHost(tx, id, membership.Message{Kind: membership.Sync, Digests: f.zoneDigests(tx)})
	}
	f.syncWithUnknownAddress(tx, self)
	if !self.TableSynced {
		return controller.Result{RequeueAfter: f.Timing.InitialSyncInterval/2 + f.jitter(f.Timing.InitialSyncInterval)}
	}
	return controller.Result{RequeueAfter: f.Timing.SyncInterval/2 + f.jitter(f.Timing.SyncInterval)}
}

// join sends a Sync message with this node's own record to a known member of the
// local zone. It sends one to a random join address if no such member is known,
// and otherwise in one of anyZoneSyncOneIn calls.
func (f fleetController) join(tx *blackboard.Tx, self membership.Self) {
	sync := membership.Message{
		Kind: membership.Sync, Digests: f.zoneDigests(tx), Records: []membership.Record{self.Record()},
	}
	var addresses []string
	f.JoinAddresses.Each(tx, func(address string, _ uint64) bool {
		addresses = append(addresses, address)
		return true
	})
	picked := f.pickRandom(f.localZoneHosts(tx), 1, f.notGone(tx))
	if len(addresses) > 0 && (len(picked) == 0 || f.Random.IntN(anyZoneSyncOneIn) == 0) {
		f.sendToAddress(tx, addresses[f.Random.IntN(len(addresses))], sync)
	}
	for _, id := range picked {
		f.sendToHost(tx, id, sync)
	}
}

// syncWithUnknownAddress sends a Sync message to a random join address that
// belongs to no known host. The nodes behind such addresses are gone, or have
// joined one another and form another part of the fleet: a node reads each
// announcement once, and can join through a neighbor before it contacts the
// announced node.
func (f fleetController) syncWithUnknownAddress(tx *blackboard.Tx, self membership.Self) {
	if f.JoinAddresses.Len(tx) == 0 {
		return
	}
	known := make(map[string]bool, f.Peers.Len(tx))
	f.Peers.Each(tx, func(_ mesh.HostID, peer membership.Peer) bool {
		known[peer.Member.ProbeAddress] = true
		return true
	})
	picked, count := "", 0
	f.JoinAddresses.Each(tx, func(address string, _ uint64) bool {
		if known[address] {
			return true
		}
		if count++; f.Random.IntN(count) == 0 {
			picked = address
		}
		return true
	})
	if count > 0 {
		f.sendToAddress(tx, picked, membership.Message{
			Kind: membership.Sync, Digests: f.zoneDigests(tx), Records: []membership.Record{self.Record()},
		})
	}
}

// pickSyncPeer returns a random member to compare tables with: usually one of the
// local zone, else one of any zone.
func (f fleetController) pickSyncPeer(tx *blackboard.Tx) (mesh.HostID, bool) {
	if f.Random.IntN(anyZoneSyncOneIn) > 0 {
		if picked := f.pickRandom(f.localZoneHosts(tx), 1, f.notGone(tx)); len(picked) > 0 {
			return picked[0], true
		}
	}
	var hosts []mesh.HostID
	f.Zones.Each(tx, func(_ mesh.Zone, zone membership.Zone) bool {
		hosts = append(hosts, zone.Hosts...)
		return true
	})
	picked := f.pickRandom(hosts, 1, func(id mesh.HostID) bool { return id != f.Config.Self.Host })
	if len(picked) == 0 {
		return "", false
	}
	return picked[0], true
}

func (f fleetController) zoneDigest(tx *blackboard.Tx, name mesh.Zone) membership.Digest {
	zone, _ := f.Zones.Get(tx, name)
	return membership.Digest{Zone: name, Sum: zone.Digest}
}

func (f fleetController) zoneDigests(tx *blackboard.Tx) []membership.Digest {
	var digests []membership.Digest
	f.Zones.Each(tx, func(name mesh.Zone, zone membership.Zone) bool {
		digests = append(digests, membership.Digest{Zone: name, Sum: zone.Digest})
		return true
	})
	if len(digests) > maxMessageDigests {
		f.Random.Shuffle(len(digests), func(i, j int) { digests[i], digests[j] = digests[j], digests[i] })
		digests = digests[:maxMessageDigests]
	}
	return digests
}

// tableDigest returns the digest of the whole table. Its zone name is empty.
func (f fleetController) tableDigest(tx *blackboard.Tx) (whole membership.Digest) {
	f.Zones.Each(tx, func(_ mesh.Zone, zone membership.Zone) bool {
		whole.Sum ^= zone.Digest
		return true
	})
	return whole
}

// handlePingDigests compares the digests of a ping. A ping from another zone
// carries digests of named zones; those that differ are pulled. A ping from the
// local zone carries one digest of the whole table. If it differs while this node's
// table is synced and no gossip is queued, this node starts a comparison, at
// most once per period.
func (f fleetController) handlePingDigests(tx *blackboard.Tx, now time.Time, e membership.Envelope) {
	digests := e.Message.Digests
	if len(digests) != 1 || digests[0].Zone != "" {
		f.pullDifferingZones(tx, e)
		return
	}
	prober := f.Prober.Get(tx)
	isSettled := f.MemberBroadcasts.Len(tx) == 0 && f.Tables.Self.Get(tx).TableSynced
	if digests[0] == f.tableDigest(tx) || !isSettled || now.Before(prober.ResyncAt) {
		return
	}
	prober.ResyncAt = now.Add(f.Timing.ProbeInterval)
	f.Prober.Set(tx, prober)
	f.sendToAddress(tx, e.Address, membership.Message{Kind: membership.Sync, Digests: f.zoneDigests(tx)})
}

// handleSync pulls zones that differ from the sender and replies to a Sync with
// this node's own digests.
func (f fleetController) handleSync(tx *blackboard.Tx, e membership.Envelope) {
	m := e.Message
	f.pullDifferingZones(tx, e)
	if m.Kind != membership.Sync {
		return
	}
	reply := membership.Message{Kind: membership.SyncReply, Digests: f.zoneDigests(tx)}
	_, reply.Records = f.viewOf(tx, m)
	f.sendToAddress(tx, e.Address, reply)
}

// pullDifferingZones requests up to maxPullsPerSync of the zones that differ. They
// are chosen at random so that the requests of a new node are spread over its
// peers. A zone that is empty at the sender is not requested. If no zone differs,
// markTableSynced is called.
func (f fleetController) pullDifferingZones(tx *blackboard.Tx, e membership.Envelope) {
	var differing []mesh.Zone
	for _, d := range e.Message.Digests {
		if d.Sum != 0 && f.zoneDigest(tx, d.Zone).Sum != d.Sum {
			differing = append(differing, d.Zone)
		}
	}
	if len(differing) == 0 {
		f.markTableSynced(tx, e.Message)
		return
	}
	f.Random.Shuffle(len(differing), func(i, j int) { differing[i], differing[j] = differing[j], differing[i] })
	for _, name := range differing[:min(len(differing), maxPullsPerSync)] {
		f.sendToAddress(tx, e.Address, membership.Message{Kind: membership.Pull, Range: membership.Range{Zone: name}})
	}
}

// markTableSynced sets Self.TableSynced after a Sync or SyncReply in which no
// digest differed, if this node has joined.
func (f fleetController) markTableSynced(tx *blackboard.Tx, m membership.Message) {
	self := f.Tables.Self.Get(tx)
	isComparison := m.Kind == membership.Sync || m.Kind == membership.SyncReply
	if isComparison && self.Joined && !self.TableSynced {
		self.TableSynced = true
		f.Tables.Self.Set(tx, self)
	}
}

// sendPages replies to a Pull with all members of the zone that are not gone.
func (f fleetController) sendPages(tx *blackboard.Tx, e membership.Envelope) {
	name := e.Message.Range.Zone
	for _, page := range membership.PaginateRecords(name, f.rangeRecords(tx, membership.Range{Zone: name})) {
		f.sendToAddress(tx, e.Address, page)
	}
}

// rangeRecords returns the records of the members in a range that are not gone,
// sorted by host name.
func (f fleetController) rangeRecords(tx *blackboard.Tx, r membership.Range) []membership.Record {
	zone, _ := f.Zones.Get(tx, r.Zone)
	var records []membership.Record
	for _, id := range zone.Hosts {
		peer, known := f.Peers.Get(tx, id)
		if known && r.Contains(id) && peer.Phase != membership.Gone {
			records = append(records, peer.Record)
		}
	}
	slices.SortFunc(records, func(a, b membership.Record) int {
		return strings.Compare(string(a.Member.Host), string(b.Member.Host))
	})
	return records
}

// replyToPage sends the records that the sender of a page lacks or has in an older
// version. The records of the page itself have already been applied.
func (f fleetController) replyToPage(tx *blackboard.Tx, e membership.Envelope) {
	received := make(map[mesh.HostID]membership.Record, len(e.Message.Records))
	var newer []membership.Record
	for _, r := range e.Message.Records {
		received[r.Member.Host] = r
		if peer, known := f.Peers.Get(tx, r.Member.Host); known && peer.Supersedes(r) {
			newer = append(newer, peer.Record)
		}
	}
	for _, r := range f.rangeRecords(tx, e.Message.Range) {
		if _, listed := received[r.Member.Host]; !listed {
			newer = append(newer, r)
		}
	}
	for _, chunk := range membership.SplitRecords(newer) {
		f.sendToAddress(tx, e.Address, membership.Message{Kind: membership.Gossip, Records: chunk})
	}
}

// removeTombstones deletes members that have been gone for longer than
// TombstoneTTL.
func (f fleetController) removeTombstones(tx *blackboard.Tx, now time.Time) {
	f.Peers.Each(tx, func(_ mesh.HostID, peer membership.Peer) bool {
		if peer.Phase == membership.Gone && now.Sub(peer.Since) > f.Timing.TombstoneTTL {
			f.removePeer(tx, peer)
		}
		return true
	})
}
