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

// start runs a booking if its claim allows it, and checks the oracle: two runs
// under one key are never within one window.
func (w *world) startRun(n *fakeNode, attempt string) bool {
	c, found := w.look(n, attempt)
	now := w.clock.Now()
	if !found || !c.Usable(now, w.config) {
		return false
	}
	for _, r := range w.runs[c.Key] {
		if now.Sub(r.at) <= w.config.Window {
			w.faults = append(w.faults, "attempt "+attempt+" runs "+now.Sub(r.at).String()+" after "+r.attempt)
		}
	}
	w.runs[c.Key] = append(w.runs[c.Key], run{attempt, now})
	w.counts["run"]++
	return true
}

// checkTold checks what a caller that was not granted its key is told.
func (w *world) checkTold(c idempotency.Claim) {
	var last *run
	if runs := w.runs[c.Key]; len(runs) > 0 {
		last = &runs[len(runs)-1]
	}
	recent := last != nil && w.clock.Now().Sub(last.at) <= w.config.Window
	switch {
	case c.State == idempotency.Repeated:
		w.counts["replayed"]++
		if last == nil || string(c.Answer.Body) != last.attempt {
			w.faults = append(w.faults, "attempt "+c.Attempt+" got an answer of no run")
		}
	case c.State == idempotency.Refused:
		w.counts[string(c.Refusal.Reason)]++
		claimsNone := c.Refusal.Verdict == verdict.NotRun && c.Refusal.Reason != verdict.KeyReused
		if claimsNone && recent {
			w.faults = append(w.faults, "attempt "+c.Attempt+" is told that it did not run")
		}
		if c.Refusal.Verdict == verdict.Ran && last == nil {
			w.faults = append(w.faults, "attempt "+c.Attempt+" is told that it ran")
		}
	}
}

// session is one fuzzed session.
type session struct {
	*world
	t *rapid.T
}

func (s session) node() *fakeNode {
	return s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(s.t, "node")]
}

func (s session) message(act func(int)) {
	if len(s.wire) > 0 {
		act(rapid.IntRange(0, len(s.wire)-1).Draw(s.t, "message"))
	}
}

// attempts looks at every claim of a node: those that were decided run or end.
func (s session) attempts(n *fakeNode) {
	if n.frozen {
		return
	}
	n.claims = slices.DeleteFunc(n.claims, func(attempt string) bool {
		c, found := s.look(n, attempt)
		switch {
		case !found:
			return true
		case c.State == idempotency.Wanted:
			return false
		case c.State != idempotency.Held:
			s.checkTold(c)
			s.end(n, attempt, verdict.NotRun)
			return true
		}
		return s.serveHeld(n, attempt)
	})
}

// serveHeld does one of the things that can become of a granted request.
func (s session) serveHeld(n *fakeNode, attempt string) bool {
	switch rapid.IntRange(0, 5).Draw(s.t, "held") {
	case 0:
		return false // later
	case 1:
		s.end(n, attempt, verdict.NotRun)
	case 2:
		s.startRun(n, attempt)
		s.end(n, attempt, verdict.MayHaveRun)
	case 3:
		s.startRun(n, attempt) // and the node forgets to tell
	default:
		if s.startRun(n, attempt) {
			s.end(n, attempt, verdict.Ran)
		} else {
			s.end(n, attempt, verdict.NotRun)
		}
	}
	return true
}

func (w *world) crashAt(i int) {
	if i >= 0 {
		w.crash(i)
	}
}

// believe makes a node believe something of another, true or not.
func (s session) believe(n *fakeNode) {
	m := s.node().member
	m.State = rapid.SampledFrom([]mesh.MemberState{mesh.Alive, mesh.Dead, mesh.Leaving}).Draw(s.t, "state")
	s.learn(n, m)
}

// steps are what can happen, each as often as it is listed.
var steps = []string{
	"well", "well", "well", "well", "heal", "claim", "claim", "claim", "claim", "claim", "claim", "deliver", "deliver", "deliver", "deliver",
	"lose", "repeat", "serve", "serve", "read", "read", "append", "lost append", "late append", "crash",
	"crash primary", "crash backup", "crash both", "part", "part holders", "freeze primary",
	"claim everywhere", "claim everywhere", "claim everywhere", "claim everywhere",
	"freeze", "cut", "believe", "believe", "wait", "wait", "retain", "attempts", "attempts", "window",
}

func (s session) step() {
	n := s.node()
	switch rapid.SampledFrom(steps).Draw(s.t, "step") {
	case "well":
		s.goWell(time.Duration(rapid.IntRange(1, 6).Draw(s.t, "seconds"))*time.Second, s.attempts)
	case "heal":
		s.part()
		for _, n := range s.nodes {
			n.frozen = false
		}
	case "part":
		s.part(rapid.SliceOfN(rapid.IntRange(0, 3), 1, 2).Draw(s.t, "away")...)
	case "part holders":
		s.part(s.holder(idempotency.Primary), s.holder(idempotency.Backup))
	case "crash primary":
		s.crashAt(s.holder(idempotency.Primary))
	case "crash backup":
		s.crashAt(s.holder(idempotency.Backup))
	case "crash both":
		backup := s.holder(idempotency.Backup)
		s.crashAt(s.holder(idempotency.Primary))
		s.crashAt(backup)
	case "freeze primary":
		if i := s.holder(idempotency.Primary); i >= 0 {
			s.nodes[i].frozen = true
		}
	case "claim everywhere":
		for _, n := range s.nodes {
			s.claim(n, "k1", "x")
		}
		s.goWell(time.Second, s.attempts)
	case "claim":
		key := rapid.SampledFrom([]string{"k1", "k2"}).Draw(s.t, "key")
		s.claim(n, key, rapid.SampledFrom([]string{"x", "x", "x", "y"}).Draw(s.t, "content"))
	case "deliver":
		s.message(s.deliver)
	case "lose":
		s.message(s.lose)
	case "repeat":
		s.message(s.repeat)
	case "serve":
		s.serveRead(n)
	case "read":
		s.deliverRead(n)
	case "append":
		s.appendTo(n, true)
	case "lost append":
		s.appendTo(n, false)
	case "late append":
		if len(s.late) > 0 {
			s.write(rapid.SampledFrom(s.late).Draw(s.t, "record"))
		}
	case "crash":
		s.crash(rapid.IntRange(0, len(s.nodes)-1).Draw(s.t, "crashed"))
	case "freeze":
		n.frozen = !n.frozen
	case "cut":
		n.cut = !n.cut
	case "believe":
		s.believe(n)
	case "wait":
		s.clock.Advance(time.Duration(rapid.IntRange(1, 3000).Draw(s.t, "ms")) * time.Millisecond)
	case "window":
		s.clock.Advance(time.Duration(rapid.IntRange(1, 35).Draw(s.t, "seconds")) * time.Second)
	case "retain":
		s.retain(rapid.IntRange(0, 4).Draw(s.t, "records"))
	case "attempts":
		s.attempts(n)
	}
	s.settle()
}

// fixSeed gives the sessions a fixed seed, so that every run has the same
// verdict, unless one was given on the command line.
func fixSeed(t *testing.T) {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		must.NoError(t, flag.Set("rapid.seed", "1"))
	}
}

// TestAtMostOnce fuzzes whole sessions against the oracle.
func TestAtMostOnce(t *testing.T) {
	fixSeed(t)
	total := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		s := session{world: newWorld(4, quick()), t: t}
		s.goWell(5*time.Second, s.attempts)
		for range rapid.IntRange(20, 100).Draw(t, "steps") {
			s.step()
			if len(s.faults) > 0 {
				t.Fatalf("%v", s.faults)
			}
		}
		for what, count := range s.counts {
			total[what] += count
		}
	})
	t.Log(total)
}
