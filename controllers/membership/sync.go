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
	// pullsPerSync bounds the zones that one comparison asks for.
	pullsPerSync = 2
	// strangerShare is one comparison in so many that goes to any member of
	// any zone, the gone and the unreachable included: so parts that lost each
	// other find each other again.
	strangerShare = 4
	// maxDigests bounds the digests of one message; of more zones a part is
	// drawn each time.
	maxDigests = 16
)

// registerSync adds the controller that compares the whole table with a peer,
// zone by zone.
func (f fleet) registerSync(p *controller.Pool) {
	handle := controller.Register(p, "sync", f.step(f.sync))
	handle.AddAt(theKey, p.Now().Add(f.jitter(f.Times.JoinInterval)))
}

func (f fleet) sync(tx *blackboard.Tx, now time.Time) controller.Result {
	f.forgetOld(tx, now)
	self := f.Tables.Self.Get(tx)
	if !self.Joined {
		f.join(tx, self)
		return controller.Result{After: f.Times.JoinInterval/2 + f.jitter(f.Times.JoinInterval)}
	}
	if id, found := f.partner(tx); found {
		f.sendTo(tx, id, membership.Message{Kind: membership.Sync, Digests: f.digests(tx)})
	}
	if !self.Complete {
		return controller.Result{After: f.Times.JoinInterval/2 + f.jitter(f.Times.JoinInterval)}
	}
	return controller.Result{After: f.Times.SyncInterval/2 + f.jitter(f.Times.SyncInterval)}
}

// join asks a contact, and a member once one is known, for all members, and
// shows itself to it.
func (f fleet) join(tx *blackboard.Tx, self membership.Self) {
	sync := membership.Message{
		Kind: membership.Sync, Digests: f.digests(tx), News: []membership.Record{self.Record()},
	}
	var contacts []string
	f.Contacts.Each(tx, func(address string, _ uint64) bool {
		contacts = append(contacts, address)
		return true
	})
	drawn := f.draw(f.fellows(tx), 1, f.present(tx))
	if len(contacts) > 0 && (len(drawn) == 0 || f.Random.IntN(strangerShare) == 0) {
		f.send(tx, contacts[f.Random.IntN(len(contacts))], sync)
	}
	for _, id := range drawn {
		f.sendTo(tx, id, sync)
	}
}

// partner draws the member to compare with.
func (f fleet) partner(tx *blackboard.Tx) (mesh.HostID, bool) {
	if f.Random.IntN(strangerShare) > 0 {
		if drawn := f.draw(f.fellows(tx), 1, f.present(tx)); len(drawn) > 0 {
			return drawn[0], true
		}
	}
	var hosts []mesh.HostID
	f.Zones.Each(tx, func(_ mesh.Zone, zone membership.Zone) bool {
		hosts = append(hosts, zone.Hosts...)
		return true
	})
	drawn := f.draw(hosts, 1, func(id mesh.HostID) bool { return id != f.Config.Self.Host })
	if len(drawn) == 0 {
		return "", false
	}
	return drawn[0], true
}

func (f fleet) digest(tx *blackboard.Tx, name mesh.Zone) membership.Digest {
	zone, _ := f.Zones.Get(tx, name)
	return membership.Digest{Zone: name, Sum: zone.Digest}
}

func (f fleet) digests(tx *blackboard.Tx) []membership.Digest {
	var digests []membership.Digest
	f.Zones.Each(tx, func(name mesh.Zone, zone membership.Zone) bool {
		digests = append(digests, membership.Digest{Zone: name, Sum: zone.Digest})
		return true
	})
	if len(digests) > maxDigests {
		f.Random.Shuffle(len(digests), func(i, j int) { digests[i], digests[j] = digests[j], digests[i] })
		digests = digests[:maxDigests]
	}
	return digests
}

// wholeDigest sums up the whole table; it names no zone.
func (f fleet) wholeDigest(tx *blackboard.Tx) (whole membership.Digest) {
	f.Zones.Each(tx, func(_ mesh.Zone, zone membership.Zone) bool {
		whole.Sum ^= zone.Digest
		return true
	})
	return whole
}

// resync looks at the digests on a ping. A ping from another zone names the
// zones to compare. One from a fellow sums up everything: if that differs while
// there is no news under way here, the tables are compared.
func (f fleet) resync(tx *blackboard.Tx, now time.Time, e membership.Envelope) {
	digests := e.Message.Digests
	if len(digests) != 1 || digests[0].Zone != "" {
		f.pullDifferent(tx, e)
		return
	}
	prober := f.Prober.Get(tx)
	isSettled := f.News.Len(tx) == 0 && f.Tables.Self.Get(tx).Complete
	if digests[0] == f.wholeDigest(tx) || !isSettled || now.Before(prober.ResyncAt) {
		return
	}
	prober.ResyncAt = now.Add(f.Times.Period)
	f.Prober.Set(tx, prober)
	f.send(tx, e.Address, membership.Message{Kind: membership.Sync, Digests: f.digests(tx)})
}

// compare asks the sender for zones that it holds differently, and answers a
// Sync with the own digests.
func (f fleet) compare(tx *blackboard.Tx, e membership.Envelope) {
	m := e.Message
	f.pullDifferent(tx, e)
	if m.Kind != membership.Sync {
		return
	}
	reply := membership.Message{Kind: membership.SyncReply, Digests: f.digests(tx)}
	_, reply.News = f.viewOf(tx, m)
	f.send(tx, e.Address, reply)
}

// pullDifferent asks for a few of the zones that differ, drawn at random so
// that a newcomer's requests spread. An empty zone has nothing to ask for.
func (f fleet) pullDifferent(tx *blackboard.Tx, e membership.Envelope) {
	var differing []mesh.Zone
	for _, d := range e.Message.Digests {
		if d.Sum != 0 && f.digest(tx, d.Zone).Sum != d.Sum {
			differing = append(differing, d.Zone)
		}
	}
	if len(differing) == 0 {
		f.complete(tx, e.Message)
		return
	}
	f.Random.Shuffle(len(differing), func(i, j int) { differing[i], differing[j] = differing[j], differing[i] })
	for _, name := range differing[:min(len(differing), pullsPerSync)] {
		f.send(tx, e.Address, membership.Message{Kind: membership.Pull, Range: membership.Range{Zone: name}})
	}
}

// complete notes that the table was the same as a peer's.
func (f fleet) complete(tx *blackboard.Tx, m membership.Message) {
	self := f.Tables.Self.Get(tx)
	isWhole := m.Kind == membership.Sync || m.Kind == membership.SyncReply
	if isWhole && self.Joined && !self.Complete {
		self.Complete = true
		f.Tables.Self.Set(tx, self)
	}
}

// sendPages sends all members of a zone that are not gone.
func (f fleet) sendPages(tx *blackboard.Tx, e membership.Envelope) {
	name := e.Message.Range.Zone
	for _, page := range membership.Pages(name, f.records(tx, membership.Range{Zone: name})) {
		f.send(tx, e.Address, page)
	}
}

// records returns the members of a range that are not gone, by name.
func (f fleet) records(tx *blackboard.Tx, r membership.Range) []membership.Record {
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

// answerPage sends back what the sender of a page lacks or holds in an older
// form. The page itself was taken in as news.
func (f fleet) answerPage(tx *blackboard.Tx, e membership.Envelope) {
	theirs := make(map[mesh.HostID]membership.Record, len(e.Message.News))
	var newer []membership.Record
	for _, r := range e.Message.News {
		theirs[r.Member.Host] = r
		if peer, known := f.Peers.Get(tx, r.Member.Host); known && peer.Supersedes(r) {
			newer = append(newer, peer.Record)
		}
	}
	for _, r := range f.records(tx, e.Message.Range) {
		if _, listed := theirs[r.Member.Host]; !listed {
			newer = append(newer, r)
		}
	}
	for _, chunk := range membership.Chunks(newer) {
		f.send(tx, e.Address, membership.Message{Kind: membership.Gossip, News: chunk})
	}
}

// forgetOld removes the tombstones past their age.
func (f fleet) forgetOld(tx *blackboard.Tx, now time.Time) {
	f.Peers.Each(tx, func(_ mesh.HostID, peer membership.Peer) bool {
		if peer.Phase == membership.Gone && now.Sub(peer.Since) > f.Times.TombstoneAge {
			f.forget(tx, peer)
		}
		return true
	})
}
