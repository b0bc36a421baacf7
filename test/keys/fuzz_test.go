package keys_test

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/marigoldshelf/marigoldshelf/decide/idempotency"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// startRun runs a booking if its claim allows it, and reports whether it did. It
// records a violation if another run under the same key started within the window.
func (sim *simulation) startRun(n *testNode, attempt string) bool {
	c, found := sim.lookUpClaim(n, attempt)
	now := sim.clock.Now()
	if !found || !c.Usable(now, sim.config) {
		return false
	}
	for _, r := range sim.runs[c.Key] {
		if now.Sub(r.at) <= sim.config.Window {
			sim.violations = append(sim.violations, "attempt "+attempt+" runs "+now.Sub(r.at).String()+" after "+r.attempt)
		}
	}
	sim.runs[c.Key] = append(sim.runs[c.Key], bookingRun{attempt, now})
	sim.counts["run"]++
	return true
}

// checkOutcome checks the outcome of a claim that was not granted against the runs
// under its key: replayed responses, and refusals that state whether it ran.
func (sim *simulation) checkOutcome(c idempotency.Claim) {
	var last *bookingRun
	if runs := sim.runs[c.Key]; len(runs) > 0 {
		last = &runs[len(runs)-1]
	}
	recent := last != nil && sim.clock.Now().Sub(last.at) <= sim.config.Window
	switch {
	case c.State == idempotency.ClaimReplayed:
		sim.counts["replayed"]++
		if last == nil || string(c.Response.Body) != last.attempt {
			sim.violations = append(sim.violations, "attempt "+c.Attempt+" got a response that is not that of the last run")
		}
	case c.State == idempotency.ClaimRefused:
		sim.counts[string(c.Refusal.Reason)]++
		saysNotRun := c.Refusal.Verdict == verdict.NotRun && c.Refusal.Reason != verdict.KeyReused
		if saysNotRun && recent {
			sim.violations = append(sim.violations, "attempt "+c.Attempt+" got the verdict not-run after a run in the window")
		}
		if c.Refusal.Verdict == verdict.Ran && last == nil {
			sim.violations = append(sim.violations, "attempt "+c.Attempt+" got the verdict ran without a run")
		}
	}
}

// fuzzSession is a simulation with randomly drawn steps.
type fuzzSession struct {
	*simulation
	t *rapid.T
}

// node returns a random node.
func (s fuzzSession) node() *testNode {
	return s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(s.t, "node")]
}

// withRandomMessage calls act with the index of a random message, if there is one.
func (s fuzzSession) withRandomMessage(act func(int)) {
	if len(s.messages) > 0 {
		act(rapid.IntRange(0, len(s.messages)-1).Draw(s.t, "message"))
	}
}

// processClaims checks and ends the refused claims of a node, and runs or ends
// bookings whose claims were granted.
func (s fuzzSession) processClaims(n *testNode) {
	if n.paused {
		return
	}
	n.openClaims = slices.DeleteFunc(n.openClaims, func(attempt string) bool {
		c, found := s.lookUpClaim(n, attempt)
		switch {
		case !found:
			return true
		case c.State == idempotency.ClaimPending:
			return false
		case c.State != idempotency.ClaimGranted:
			s.checkOutcome(c)
			s.endAttempt(n, attempt, verdict.NotRun)
			return true
		}
		return s.endHeldClaim(n, attempt)
	})
}

// endHeldClaim draws how a granted request continues, and reports whether the
// node is done with it.
func (s fuzzSession) endHeldClaim(n *testNode, attempt string) bool {
	switch rapid.IntRange(0, 5).Draw(s.t, "held") {
	case 0:
		return false // decided later
	case 1:
		s.endAttempt(n, attempt, verdict.NotRun)
	case 2:
		s.startRun(n, attempt)
		s.endAttempt(n, attempt, verdict.MayHaveRun)
	case 3:
		s.startRun(n, attempt) // without reporting its end
	default:
		if s.startRun(n, attempt) {
			s.endAttempt(n, attempt, verdict.Ran)
		} else {
			s.endAttempt(n, attempt, verdict.NotRun)
		}
	}
	return true
}

// crashAt crashes node i; it does nothing for a negative index.
func (sim *simulation) crashAt(i int) {
	if i >= 0 {
		sim.crash(i)
	}
}

// setRandomMemberState writes a random state of a random node into the member
// table of n.
func (s fuzzSession) setRandomMemberState(n *testNode) {
	m := s.node().member
	m.State = rapid.SampledFrom([]mesh.MemberState{mesh.Alive, mesh.Dead, mesh.Leaving}).Draw(s.t, "state")
	s.setMember(n, m)
}

// steps are the steps to draw from; those listed more often are more likely.
var steps = []string{
	"run healthy", "run healthy", "run healthy", "run healthy", "heal", "claim", "claim", "claim", "claim", "claim", "claim", "deliver", "deliver", "deliver", "deliver",
	"drop", "deliver duplicate", "serve read", "serve read", "deliver read", "deliver read", "append", "lost append", "repeat append", "crash",
	"crash primary", "crash backup", "crash both", "partition", "partition holders", "pause primary",
	"claim everywhere", "claim everywhere", "claim everywhere", "claim everywhere",
	"toggle pause", "toggle log access", "set member state", "set member state", "wait", "wait", "trim log", "process claims", "process claims", "long wait",
}

func (s fuzzSession) step() {
	n := s.node()
	switch rapid.SampledFrom(steps).Draw(s.t, "step") {
	case "run healthy":
		s.runHealthy(time.Duration(rapid.IntRange(1, 6).Draw(s.t, "seconds"))*time.Second, s.processClaims)
	case "heal":
		s.partition()
		for _, n := range s.nodes {
			n.paused = false
		}
	case "partition":
		s.partition(rapid.SliceOfN(rapid.IntRange(0, 3), 1, 2).Draw(s.t, "partitioned nodes")...)
	case "partition holders":
		s.partition(s.holderIndex(idempotency.Primary), s.holderIndex(idempotency.Backup))
	case "crash primary":
		s.crashAt(s.holderIndex(idempotency.Primary))
	case "crash backup":
		s.crashAt(s.holderIndex(idempotency.Backup))
	case "crash both":
		backup := s.holderIndex(idempotency.Backup)
		s.crashAt(s.holderIndex(idempotency.Primary))
		s.crashAt(backup)
	case "pause primary":
		if i := s.holderIndex(idempotency.Primary); i >= 0 {
			s.nodes[i].paused = true
		}
	case "claim everywhere":
		for _, n := range s.nodes {
			s.startClaim(n, "k1", "x")
		}
		s.runHealthy(time.Second, s.processClaims)
	case "claim":
		key := rapid.SampledFrom([]string{"k1", "k2"}).Draw(s.t, "key")
		s.startClaim(n, key, rapid.SampledFrom([]string{"x", "x", "x", "y"}).Draw(s.t, "content"))
	case "deliver":
		s.withRandomMessage(s.deliver)
	case "drop":
		s.withRandomMessage(s.drop)
	case "deliver duplicate":
		s.withRandomMessage(s.deliverDuplicate)
	case "serve read":
		s.serveRead(n)
	case "deliver read":
		s.deliverRead(n)
	case "append":
		s.performAppends(n, true)
	case "lost append":
		s.performAppends(n, false)
	case "repeat append":
		if len(s.pastAppends) > 0 {
			s.writeLog(rapid.SampledFrom(s.pastAppends).Draw(s.t, "record"))
		}
	case "crash":
		s.crash(rapid.IntRange(0, len(s.nodes)-1).Draw(s.t, "crashed"))
	case "toggle pause":
		n.paused = !n.paused
	case "toggle log access":
		n.logUnreachable = !n.logUnreachable
	case "set member state":
		s.setRandomMemberState(n)
	case "wait":
		s.clock.Advance(time.Duration(rapid.IntRange(1, 3000).Draw(s.t, "ms")) * time.Millisecond)
	case "long wait":
		s.clock.Advance(time.Duration(rapid.IntRange(1, 35).Draw(s.t, "seconds")) * time.Second)
	case "trim log":
		s.trimLog(rapid.IntRange(0, 4).Draw(s.t, "records"))
	case "process claims":
		s.processClaims(n)
	}
	s.settle()
}

// setDefaultSeed sets a fixed seed, so that every run draws the same steps, unless
// the command line sets another one.
func setDefaultSeed(t *testing.T) {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		must.NoError(t, flag.Set("rapid.seed", "1"))
	}
}

// TestAtMostOnce guards against two runs of a booking under one key, and against
// wrong responses to repeated requests. It draws crashes, pauses, partitions, wrong
// membership, lost, duplicate and reordered messages, appends that get no reply or
// take effect twice, and expired records of the log.
func TestAtMostOnce(t *testing.T) {
	setDefaultSeed(t)
	total := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		s := fuzzSession{simulation: newSimulation(4, testConfig()), t: t}
		s.runHealthy(5*time.Second, s.processClaims)
		for range rapid.IntRange(20, 100).Draw(t, "steps") {
			s.step()
			if len(s.violations) > 0 {
				t.Fatalf("%v", s.violations)
			}
		}
		for what, count := range s.counts {
			total[what] += count
		}
	})
	t.Log(total)
}
