package keys_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/idempotency"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// ready returns four nodes whose shard has a primary and a backup that grant.
func ready(t *testing.T) *world {
	w := newWorld(4, quick(), blackboard.CheckOrder())
	w.goWell(6*time.Second, w.idle)
	must.True(t, w.holder(idempotency.Primary) >= 0)
	return w
}

// idle leaves claims alone.
func (w *world) idle(*fakeNode) {}

// try claims a key at n, lets a second pass, and runs the booking if granted.
func (w *world) try(t *testing.T, n *fakeNode, key string) idempotency.Claim {
	t.Helper()
	attempt := w.claim(n, key, "x")
	w.goWell(1500*time.Millisecond, w.idle)
	c, _ := w.look(n, attempt)
	if w.startRun(n, attempt) {
		w.end(n, attempt, verdict.Ran)
	} else {
		w.end(n, attempt, verdict.NotRun)
	}
	w.goWell(time.Second, w.idle)
	must.SliceEmpty(t, w.faults)
	return c
}

func TestPrimaryDies(t *testing.T) {
	w := ready(t)
	must.Eq(t, idempotency.Held, w.try(t, w.nodes[0], "k").State)
	w.crash(w.holder(idempotency.Primary))
	w.goWell(6*time.Second, w.idle)
	again := w.try(t, w.nodes[1], "k")
	must.Eq(t, idempotency.Repeated, again.State)
	must.Eq(t, w.runs[again.Key][0].attempt, string(again.Answer.Body))
	must.Eq(t, idempotency.Held, w.try(t, w.nodes[2], "other").State)
}

func TestNoGrantWithoutTheBackup(t *testing.T) {
	w := ready(t)
	w.part(w.holder(idempotency.Backup))
	refused := w.try(t, w.nodes[w.holder(idempotency.Primary)], "k")
	must.Eq(t, verdict.KeyHomeUnreached, refused.Refusal.Reason)
}

func TestBothHoldersDie(t *testing.T) {
	w := ready(t)
	must.Eq(t, idempotency.Held, w.try(t, w.nodes[0], "k").State)
	backup := w.holder(idempotency.Backup)
	w.crash(w.holder(idempotency.Primary))
	w.crash(backup)
	w.goWell(8*time.Second, w.idle)
	must.Eq(t, verdict.KeyUnknown, w.try(t, w.nodes[0], "k").Refusal.Reason)
	must.Eq(t, verdict.KeyUnknown, w.try(t, w.nodes[0], "new").Refusal.Reason)
	must.Eq(t, 1, w.counts["planned_fresh"])
	w.goWell(w.config.Window+w.config.Lease+w.config.GrantLife+w.config.Drift, w.idle)
	must.Eq(t, idempotency.Held, w.try(t, w.nodes[0], "new").State)
}

// TestPartedPairLapses has a pair cut off from the platform together with its
// callers: it grants while its lease lasts, and no longer, and the new pair
// waits for what it granted.
func TestPartedPairLapses(t *testing.T) {
	w := ready(t)
	primary, backup := w.holder(idempotency.Primary), w.holder(idempotency.Backup)
	w.part(primary, backup)
	w.goWell(4*time.Second, w.idle)
	must.Eq(t, idempotency.Held, w.try(t, w.nodes[primary], "k").State)
	w.goWell(w.config.Lease, w.idle)
	must.Eq(t, verdict.KeyHomeUnreached, w.try(t, w.nodes[backup], "late").Refusal.Reason)
	outside := w.nodes[w.holder(idempotency.Primary)]
	must.NotEq(t, w.nodes[primary], outside)
	must.Eq(t, verdict.KeyUnknown, w.try(t, outside, "k").Refusal.Reason)
	w.part()
	w.goWell(3*time.Second, w.idle)
	must.Eq(t, verdict.KeyUnknown, w.try(t, w.nodes[primary], "k").Refusal.Reason)
}

// TestPausedPrimary has a primary pause with a grant about to leave. Its
// replacement knows the key, the late grant is not used, and the woken primary
// grants nothing.
func TestPausedPrimary(t *testing.T) {
	w := ready(t)
	primary := w.nodes[w.holder(idempotency.Primary)]
	asker := w.nodes[0]
	if asker == primary {
		asker = w.nodes[1]
	}
	attempt := w.claim(asker, "k", "x")
	w.settle()
	for len(primary.asked) == 0 {
		w.deliver(0)
		w.settle()
	}
	w.deliver(len(w.wire) - 1) // the backup has the key
	w.settle()
	primary.frozen = true
	w.goWell(8*time.Second, w.idle)
	must.False(t, w.startRun(asker, attempt))
	again := w.try(t, w.nodes[w.holder(idempotency.Primary)], "k")
	must.Eq(t, idempotency.Refused, again.State)
	must.NotEq(t, verdict.NotRun, again.Refusal.Verdict)

	primary.frozen = false
	primary.cut = true // it has not read that it was replaced
	late := w.claim(primary, "new", "x")
	w.goWell(time.Second, w.idle)
	must.False(t, w.startRun(primary, late))
}

func TestPlatformDown(t *testing.T) {
	w := ready(t)
	for _, n := range w.nodes {
		n.cut = true
	}
	must.Eq(t, idempotency.Held, w.try(t, w.nodes[0], "k").State)
	must.Eq(t, idempotency.Repeated, w.try(t, w.nodes[1], "k").State)
	w.goWell(w.config.Lease, w.idle)
	must.Eq(t, verdict.KeyHomeUnreached, w.try(t, w.nodes[0], "new").Refusal.Reason)
	w.part()
	w.goWell(2*time.Second, w.idle)
	must.Eq(t, idempotency.Held, w.try(t, w.nodes[0], "new").State)
	must.Eq(t, 0, w.counts["planned_fresh"])
}

func TestReuseReleaseAndEnd(t *testing.T) {
	w := ready(t)
	first := w.claim(w.nodes[0], "k", "x")
	w.goWell(time.Second, w.idle)
	reused := w.claim(w.nodes[1], "k", "y")
	inFlight := w.claim(w.nodes[2], "k", "x")
	w.goWell(time.Second, w.idle)
	c, _ := w.look(w.nodes[1], reused)
	must.Eq(t, verdict.KeyReused, c.Refusal.Reason)
	c, _ = w.look(w.nodes[2], inFlight)
	must.Eq(t, verdict.KeyInFlight, c.Refusal.Reason)

	w.end(w.nodes[0], first, verdict.NotRun)
	w.goWell(time.Second, w.idle)
	second := w.claim(w.nodes[1], "k", "x")
	w.goWell(time.Second, w.idle)
	must.True(t, w.startRun(w.nodes[1], second))
	w.end(w.nodes[1], second, verdict.MayHaveRun)
	w.goWell(time.Second, w.idle)
	must.Eq(t, verdict.KeyUnknown, w.try(t, w.nodes[3], "k").Refusal.Reason)
}

// TestLateNodeProvesTheMap has a node begin after the first records are gone:
// it believes a record only when a later one names it.
func TestLateNodeProvesTheMap(t *testing.T) {
	w := ready(t)
	before := w.nodes[0].t.KeyMap.Load().Map.Assignments[0]
	w.goWell(20*time.Second, w.idle)
	w.retain(1)
	late := 0
	for late == w.holder(idempotency.Primary) || late == w.holder(idempotency.Backup) {
		late++
	}
	w.crash(late)
	w.goWell(2*time.Second, w.idle)
	row := w.nodes[late].t.KeyMap.Load().Map
	must.Eq(t, 0, row.Assignments[0].Epoch)
	must.Eq(t, 1, row.Unproved(0))
	w.goWell(12*time.Second, w.idle)
	row = w.nodes[late].t.KeyMap.Load().Map
	must.Eq(t, before.Epoch, row.Assignments[0].Epoch)
	must.Eq(t, before.Primary, row.Assignments[0].Primary)
	must.Eq(t, 0, w.counts["planned_fresh"])
}
