package quota_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/marigoldshelf/marigoldshelf/decide/membership"
	"github.com/marigoldshelf/marigoldshelf/decide/quota"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// The usual rate of an account is its quota divided by usualFraction.
const usualFraction = 1.6

var evenShares = []float64{0.29, 0.21, 0.27, 0.23}

func always(time.Time) float64 { return 1 }

func (s *simulation) add(name string, rate, burst float64) mesh.Account {
	a := mesh.Account{Name: mesh.AccountName(name), RatePerSecond: rate, Burst: burst}
	s.accounts[a.Name] = a
	return a
}

func (s *simulation) startAll() {
	for _, n := range s.nodes {
		s.start(n)
	}
}

// forgetCounts starts the counts of requests again.
func (s *simulation) forgetCounts() {
	clear(s.sent)
	clear(s.refused)
	clear(s.unavailable)
	s.datagrams = 0
}

func (s *simulation) mustHoldBound(t must.T, a mesh.Account) {
	t.Helper()
	excess, at := s.worstExcess(a)
	must.LessEq(t, 0, excess, must.Sprintf("account %s with rate %g, burst %g: window from %s", a.Name, a.RatePerSecond, a.Burst, at))
}

// fleetOfAccounts has 69 hosts in 4 zones and 77 accounts from 581 to 5 requests a
// second, of which those in hot send 8 times their usual rate.
func fleetOfAccounts(seed uint64, hot ...int) (*simulation, []mesh.Account) {
	s := newSimulation(seed, 4, 17)
	var accounts []mesh.Account
	for i := range 77 {
		rate := max(581/math.Pow(float64(i+1), 1.2), 5)
		a := s.add(fmt.Sprint("a", i), rate, rate)
		factor := always
		for _, h := range hot {
			if h == i {
				factor = func(time.Time) float64 { return 8 }
			}
		}
		s.load(a.Name, rate/usualFraction, evenShares, factor)
		accounts = append(accounts, a)
	}
	s.startAll()
	return s, accounts
}

// Guards against refusals of accounts that stay within their quota, also the
// smallest, and against hot accounts that exceed their quota or take tokens of
// others. The time of the start is left out of the refusals, not of the bound.
func TestAccountsWithinTheirQuotaAreServedBesideHotOnes(t *testing.T) {
	for _, hot := range [][]int{nil, {0, 5, 60}} {
		s, accounts := fleetOfAccounts(1, hot...)
		s.runUntil(epoch.Add(8 * time.Second))
		s.forgetCounts()
		s.runUntil(epoch.Add(38 * time.Second))
		isHot := map[int]bool{}
		for _, h := range hot {
			isHot[h] = true
		}
		sent, refused, smallest, smallestRefused := 0, 0, 0, 0
		for i, a := range accounts {
			s.mustHoldBound(t, a)
			got := s.refused[a.Name] + s.unavailable[a.Name]
			if isHot[i] {
				served := float64(s.sent[a.Name]-got) / 30
				must.GreaterEq(t, 0.85*a.RatePerSecond, served, must.Sprintf("hot account %s", a.Name))
				continue
			}
			sent, refused = sent+s.sent[a.Name], refused+got
			if a.RatePerSecond == 5 {
				smallest, smallestRefused = smallest+s.sent[a.Name], smallestRefused+got
			}
			must.LessEq(t, max(s.sent[a.Name]/100, 3), got, must.Sprintf("account %s with rate %g", a.Name, a.RatePerSecond))
		}
		must.Less(t, sent/100, refused)
		must.Less(t, smallest/100, smallestRefused)
		t.Logf("hot %v: %d of %d refused, smallest accounts %d of %d, %.0f datagrams a second", hot, refused, sent, smallestRefused, smallest, float64(s.datagrams)/30)
	}
}

// Guards against tokens that outlive a restart of all processes: each bucket
// starts empty, and no node grants before it knows all zones.
func TestRestartOfAllProcessesKeepsTheBound(t *testing.T) {
	for _, configured := range []int{0, 4} {
		restartAllProcesses(t, configured)
	}
}

func restartAllProcesses(t *testing.T, configuredZones int) {
	s, accounts := fleetOfAccounts(2, 0, 5, 30)
	s.configuredZones = configuredZones
	for _, second := range []int{12, 20, 23} {
		s.at(epoch.Add(time.Duration(second)*time.Second), s.startAll)
	}
	s.runUntil(epoch.Add(36 * time.Second))
	for _, a := range accounts {
		s.mustHoldBound(t, a)
	}
}

// Guards against a zone that serves nothing, or more than its part, while it is cut
// off, and against an outage of an account whose granting node is killed.
func TestCutZoneAndKilledGrantingNode(t *testing.T) {
	s := newSimulation(3, 4, 6)
	a := s.add("a", 60, 60)
	s.load(a.Name, 60/usualFraction, evenShares, always)
	s.startAll()
	s.runUntil(epoch.Add(10 * time.Second))
	s.cut = func(a, b *simNode) bool { return (a.member.Zone == "z1") != (b.member.Zone == "z1") }
	s.forgetCounts()
	s.runUntil(epoch.Add(25 * time.Second))
	s.cut = nil
	must.LessEq(t, s.sent[a.Name]/20, s.refused[a.Name]+s.unavailable[a.Name], must.Sprint("cut zone"))
	s.runUntil(epoch.Add(30 * time.Second))
	s.forgetCounts()
	granter, found := s.nodes[0].duty.Granter("z0", a.Name)
	must.True(t, found)
	for _, n := range s.nodes {
		if n.member.Host == granter.Host {
			n.process = 0
		}
	}
	s.runUntil(epoch.Add(45 * time.Second))
	must.LessEq(t, s.sent[a.Name]/50, s.refused[a.Name]+s.unavailable[a.Name], must.Sprint("killed granting node"))
	s.mustHoldBound(t, a)
}

// Guards against a lowered quota that takes effect late: level and capacity of a
// bucket are reduced at once.
func TestLoweredQuotaBindsWithinOneWindow(t *testing.T) {
	s := newSimulation(4, 4, 6)
	a := s.add("a", 200, 200)
	s.load(a.Name, 600, evenShares, always)
	s.startAll()
	s.runUntil(epoch.Add(15 * time.Second))
	lowered := s.add("a", 10, 10)
	s.runUntil(epoch.Add(20 * time.Second))
	s.used[a.Name] = nil
	s.runUntil(epoch.Add(40 * time.Second))
	s.mustHoldBound(t, lowered)
	must.GreaterEq(t, 150, len(s.used[a.Name]))
}

// Guards against requests that wait without bound while no granting node answers,
// and against an outcome that blames the account.
func TestRequestsWithoutAnAnswerAreRefusedInTime(t *testing.T) {
	s := newSimulation(5, 3, 4)
	a := s.add("a", 20, 20)
	s.startAll()
	s.runUntil(epoch.Add(8 * time.Second))
	s.loss = 1
	for range 20 {
		s.request(s.nodes[0], a.Name)
	}
	s.runUntil(epoch.Add(8*time.Second + 3*quota.AnswerTimeout + time.Millisecond))
	must.MapEmpty(t, s.nodes[0].sentAt)
	must.Zero(t, s.refused[a.Name])
	must.Positive(t, s.unavailable[a.Name])
}

// Guards against a granting node before it is an established member, and after its
// confirmation has lapsed.
func TestOnlyEstablishedAndConfirmedNodesGrant(t *testing.T) {
	self := membership.Self{Member: mesh.Member{Host: "a", Zone: "z", State: mesh.Alive}}
	account := mesh.Account{Name: "x", RatePerSecond: 100, Burst: 100}
	members := []mesh.Member{self.Member}
	granted := func(d quota.Duty, self membership.Self, at time.Time) int {
		answer, _, _ := d.Grant(at, self, account, quota.Bucket{}, quota.Message{Kind: quota.Ask, Account: "x", Count: 5})
		return answer.Count
	}
	d := quota.Duty{}.Update(epoch, self, members, 0)
	must.Zero(t, granted(d, self, epoch.Add(time.Minute)), must.Sprint("not joined"))
	self.Joined, self.TableSynced, self.Status, self.ConfirmedUntil = true, true, membership.Confirmed, epoch.Add(10*time.Second)
	d = d.Update(epoch, self, members, 0)
	must.Zero(t, granted(d, self, epoch.Add(time.Second)), must.Sprint("not settled"))
	must.Eq(t, 5, granted(d, self, epoch.Add(4*time.Second)))
	must.Zero(t, granted(d, self, epoch.Add(11*time.Second)), must.Sprint("confirmation lapsed"))
	left := d.Update(epoch.Add(5*time.Second), self, []mesh.Member{{Host: "a", Zone: "z", State: mesh.Leaving}}, 0)
	must.Zero(t, granted(left, self, epoch.Add(8*time.Second)), must.Sprint("leaving"))
}

// Guards against a token that is collected by returning it: it keeps its expiry.
func TestReturnedTokenKeepsItsExpiry(t *testing.T) {
	account := mesh.Account{Name: "x", RatePerSecond: 10, Burst: 10}
	expires := epoch.Add(quota.LeaseValidity)
	l := quota.Lease{}.Return(epoch, expires)
	_, decision := l.Take(epoch.Add(100*time.Millisecond), account, quota.Duty{})
	must.Eq(t, quota.Granted, decision.Outcome)
	_, decision = l.Take(expires, account, quota.Duty{})
	must.Eq(t, quota.Waiting, decision.Outcome)
	must.SliceEmpty(t, quota.Lease{}.Return(expires, expires).Tokens)
}

// Guards against more requests in a window of 5 s than the bound, under any order
// of loss, duplication, pauses, kills, restarts, partitions and joining nodes.
func TestBoundHoldsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), zones, rapid.IntRange(2, 5).Draw(t, "nodes per zone"))
		if rapid.Bool().Draw(t, "zones in the settings") {
			s.configuredZones = zones
		}
		s.loss = rapid.SampledFrom([]float64{0, 0.02, 0.3}).Draw(t, "loss")
		s.duplication = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "duplication")
		rate := rapid.SampledFrom([]float64{5, 40, 200}).Draw(t, "rate")
		a := s.add("a", rate, rate*rapid.SampledFrom([]float64{0, 0.2, 1, 3}).Draw(t, "burst"))
		shares := make([]float64, zones)
		for i := range shares {
			shares[i] = 1 / float64(zones)
		}
		factors := rapid.SliceOfN(rapid.SampledFrom([]float64{0, 1, 8}), 30, 30).Draw(t, "load")
		s.load(a.Name, rate/usualFraction, shares, func(now time.Time) float64 { return factors[min(int(now.Sub(epoch).Seconds()), 29)] })
		s.startAll()
		for range rapid.IntRange(0, 8).Draw(t, "faults") {
			at := time.Duration(rapid.IntRange(0, 25_000).Draw(t, "at")) * time.Millisecond
			length := time.Duration(rapid.IntRange(50, 8_000).Draw(t, "length")) * time.Millisecond
			n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")]
			zone := n.member.Zone
			switch rapid.SampledFrom([]string{"pause", "kill", "restart", "cut zone", "cut node", "restart all"}).Draw(t, "fault") {
			case "pause":
				s.at(epoch.Add(at), func() { n.pausedUntil = s.now.Add(length) })
			case "kill":
				s.at(epoch.Add(at), func() { n.process = 0 })
			case "restart":
				s.at(epoch.Add(at), func() { n.process = 0 })
				s.at(epoch.Add(at+length), func() { s.start(n) })
			case "cut zone":
				s.at(epoch.Add(at), func() {
					s.cut = func(a, b *simNode) bool { return (a.member.Zone == zone) != (b.member.Zone == zone) }
				})
				s.at(epoch.Add(at+length), func() { s.cut = nil })
			case "cut node":
				s.at(epoch.Add(at), func() { s.cut = func(a, b *simNode) bool { return a == n || b == n } })
				s.at(epoch.Add(at+length), func() { s.cut = nil })
			case "restart all":
				s.at(epoch.Add(at), s.startAll)
			}
		}
		s.runUntil(epoch.Add(30 * time.Second))
		s.mustHoldBound(t, a)
	})
}
