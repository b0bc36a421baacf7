package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/membership"
	"github.com/marigoldshelf/marigoldshelf/decide/quota"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

func confirmedUntil(until time.Time) membership.Self {
	return membership.Self{
		Member: mesh.Member{Host: "h0", Zone: "z", State: mesh.Alive}, Joined: true, TableSynced: true,
		Status: membership.Confirmed, ConfirmedUntil: until,
	}
}

// zoneOf returns a zone of count hosts of which the last dead ones are dead.
func zoneOf(count, dead int) (members []mesh.Member) {
	for i := range count {
		m := mesh.Member{Host: mesh.HostID(fmt.Sprint("h", i)), Zone: "z", State: mesh.Alive}
		if i >= count-dead {
			m.State = mesh.Dead
		}
		members = append(members, m)
	}
	return members
}

// Guards against a zone that is split and whose parts both grant its tokens.
func TestSmallerPartOfASplitZoneGrantsNothing(t *testing.T) {
	self := confirmedUntil(epoch.Add(time.Hour))
	split := func(dead int) (grants int) {
		d := quota.Duty{}.Update(epoch, self, zoneOf(5, 0), 0)
		d = d.Update(epoch.Add(5*time.Second), self, zoneOf(5, dead), 0)
		for i := range 20 {
			if _, is := d.GrantsSince(epoch.Add(10*time.Second), mesh.AccountName(fmt.Sprint("a", i))); is {
				grants++
			}
		}
		return grants
	}
	must.Positive(t, split(2))
	must.Zero(t, split(3))
}

// Guards against accounts that are refused for seconds after one late answer of a
// probe, and against a gap that is long enough for a successor.
func TestShortGapOfTheConfirmationKeepsTheGrants(t *testing.T) {
	for gap, want := range map[time.Duration]bool{400 * time.Millisecond: true, 600 * time.Millisecond: false} {
		lapse := epoch.Add(10 * time.Second)
		d := quota.Duty{}.Update(epoch, confirmedUntil(lapse), zoneOf(1, 0), 0)
		d = d.Update(lapse.Add(gap/2), confirmedUntil(lapse), zoneOf(1, 0), 0)
		again := lapse.Add(gap)
		d = d.Update(again, confirmedUntil(again.Add(2*time.Second)), zoneOf(1, 0), 0)
		_, grants := d.GrantsSince(again, "x")
		must.Eq(t, want, grants, must.Sprint(gap))
	}
}

// Guards against a granting node that was paused and grants before its duty has seen
// that its confirmation had ended.
func TestResumedGrantingNodeWaitsForItsDuty(t *testing.T) {
	account := mesh.Account{Name: "x", RatePerSecond: 100, Burst: 100}
	d := quota.Duty{}.Update(epoch, confirmedUntil(epoch.Add(10*time.Second)), zoneOf(1, 0), 0)
	now := epoch.Add(20 * time.Second)
	_, _, granting := d.Grant(now, confirmedUntil(now.Add(2*time.Second)), account, quota.Bucket{}, quota.Message{Kind: quota.Ask, Account: "x", Count: 5})
	must.False(t, granting)
}

// Guards against tokens that are lost because their answer came after the timeout.
func TestTokensOfALateAnswerAreUsed(t *testing.T) {
	account := mesh.Account{Name: "x", RatePerSecond: 100, Burst: 100}
	d := quota.Duty{}.Update(epoch, confirmedUntil(epoch.Add(time.Hour)), append(zoneOf(1, 0), mesh.Member{Host: "o", Zone: "y", State: mesh.Alive}), 0)
	random := rand.New(rand.NewPCG(1, 1))
	r, _ := quota.Request{}.Add("c")
	r, l, _, _ := r.Next(epoch, quota.Lease{}, account, d, random)
	first := r.Asked.Host
	r.Sequence = 7
	late := epoch.Add(quota.AnswerTimeout)
	r, l, _, _ = r.Next(late, l, account, d, random)
	r.Sequence = 8
	must.NotEq(t, first, r.Asked.Host)
	r, l = r.Answer(late.Add(20*time.Millisecond), l, quota.Message{Kind: quota.Answer, From: first, Sequence: 7, Account: "x", Count: 1})
	_, _, decided, _ := r.Next(late.Add(20*time.Millisecond), l, account, d, random)
	must.Len(t, 1, decided)
	must.Eq(t, quota.Granted, decided[0].Outcome)
}
