package quota_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/marigoldshelf/marigoldshelf/decide/membership"
	"github.com/marigoldshelf/marigoldshelf/decide/quota"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// Guards against buckets that permit more than the bound where every token is used
// as late as it can be: those of 5 s, of the validity of a lease and of the longest
// wait before, of full buckets, and of all nodes' own shares.
func TestRefillLeavesRoomForLateUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := mesh.Account{
			RatePerSecond: rapid.Float64Range(0.1, 2000).Draw(t, "rate"),
			Burst:         rapid.Float64Range(0, 4000).Draw(t, "burst"),
		}
		zones := rapid.IntRange(1, 8).Draw(t, "zones")
		r := quota.ZoneRefill(a, zones)
		must.GreaterEq(t, 1, r.Capacity, must.Sprint("a bucket that never holds a token"))
		excess := 0.1*(5*a.RatePerSecond+a.Burst) + 20
		latest := (5*time.Second + quota.LeaseValidity + 3*quota.AnswerTimeout).Seconds()
		created := float64(zones) * (r.Capacity + r.Rate*latest)
		const rounding = 1e-6
		must.LessEq(t, 5*a.RatePerSecond+a.Burst+excess+rounding, created+quota.ShareFraction*excess)
	})
}

// Guards against a bucket that is full when a node becomes the granting node: the
// one before has granted that burst.
func TestBucketIsEmptyWhenANodeBecomesGrantingNode(t *testing.T) {
	r := quota.Refill{Rate: 10, Capacity: 10}
	b, granted, wait := quota.Bucket{}.Grant(epoch, epoch, r, 5, false)
	must.Zero(t, granted)
	must.Eq(t, 100*time.Millisecond, wait)
	b, granted, _ = b.Grant(epoch.Add(500*time.Millisecond), epoch, r, 9, false)
	must.Eq(t, 5, granted)
	b, granted, _ = b.Grant(epoch.Add(time.Minute), epoch, r, 4, false)
	must.Eq(t, 4, granted)
	again := epoch.Add(time.Minute)
	_, granted, _ = b.Grant(again, again, r, 4, false)
	must.Zero(t, granted, must.Sprint("it lost the account and became its granting node again"))
}

// Guards against a loan of tokens that the own zone needs.
func TestLoanLeavesWhatTheOwnZoneNeeds(t *testing.T) {
	r := quota.Refill{Rate: 10, Capacity: 10}
	b, granted, _ := quota.Bucket{}.Grant(epoch.Add(2*time.Second), epoch, r, 4, false)
	must.Eq(t, 4, granted)
	_, lent, _ := b.Grant(epoch.Add(2*time.Second), epoch, r, 10, true)
	must.Eq(t, 4, lent)
	_, own, _ := b.Grant(epoch.Add(2*time.Second), epoch, r, 10, false)
	must.Eq(t, 6, own)
}

// Guards against a successor that grants before the other nodes have learned of the
// end of the granting node, and against none at all.
func TestSuccessorGrantsAfterTheTakeoverTime(t *testing.T) {
	members := []mesh.Member{{Host: "a", Zone: "z", State: mesh.Alive}, {Host: "b", Zone: "z", State: mesh.Alive}}
	duties := map[mesh.HostID]quota.Duty{}
	for _, m := range members {
		self := membership.Self{Member: m, Joined: true, TableSynced: true, Status: membership.Confirmed, ConfirmedUntil: epoch.Add(time.Hour)}
		duties[m.Host] = quota.Duty{}.Update(epoch, self, members, 0)
	}
	now := epoch.Add(10 * time.Second)
	first, found := duties["a"].Granter("z", "x")
	must.True(t, found)
	second := mesh.HostID("a")
	if first.Host == "a" {
		second = "b"
	}
	_, grants := duties[first.Host].GrantsSince(now, "x")
	must.True(t, grants)
	_, grants = duties[second].GrantsSince(now, "x")
	must.False(t, grants)
	self := membership.Self{Member: mesh.Member{Host: second, Zone: "z"}, Joined: true, TableSynced: true, Status: membership.Confirmed, ConfirmedUntil: epoch.Add(time.Hour)}
	alone := []mesh.Member{{Host: second, Zone: "z", State: mesh.Alive}, {Host: first.Host, Zone: "z", State: mesh.Dead}}
	d := duties[second].Update(now, self, alone, 0)
	_, grants = d.GrantsSince(now.Add(900*time.Millisecond), "x")
	must.False(t, grants)
	since, grants := d.GrantsSince(now.Add(time.Second), "x")
	must.True(t, grants)
	must.Eq(t, now.Add(time.Second), since)
}

// Guards against a rate that rises when a zone is lost: its part may be granted
// there still.
func TestLostZoneKeepsItsPart(t *testing.T) {
	self := membership.Self{Member: mesh.Member{Host: "a", Zone: "z"}, Joined: true}
	d := quota.Duty{}.Update(epoch, self, []mesh.Member{
		{Host: "a", Zone: "z", State: mesh.Alive}, {Host: "b", Zone: "y", State: mesh.Dead}, {Host: "c", Zone: "x", State: mesh.Unreachable},
	}, 0)
	must.Eq(t, 3, d.Zones)
}

// Guards against a node that grants too large a part of the quota because it has
// not found all zones, although the log names nodes that it does not know.
func TestNodeThatDoesNotKnowAllAnnouncedNodesWaitsLonger(t *testing.T) {
	self := membership.Self{Member: mesh.Member{Host: "a", Zone: "z"}, Joined: true, TableSynced: true, Status: membership.Confirmed, ConfirmedUntil: epoch.Add(time.Hour)}
	members := []mesh.Member{{Host: "a", Zone: "z", State: mesh.Alive}}
	grantsAfter := func(unknown int) time.Duration {
		d := quota.Duty{}
		for after := time.Duration(0); after < time.Minute; after += 100 * time.Millisecond {
			d = d.Update(epoch.Add(after), self, members, unknown)
			if _, grants := d.GrantsSince(epoch.Add(after), "x"); grants {
				return after
			}
		}
		return 0
	}
	must.Eq(t, 2*time.Second, grantsAfter(0))
	must.Eq(t, 5*time.Second, grantsAfter(1))
}
