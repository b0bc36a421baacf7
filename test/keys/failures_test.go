package keys_test

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/decide/idempotency"
	"github.com/marigoldshelf/marigoldshelf/mesh"
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
	ran := w.runs[idempotency.NewID("desk.example", "k")][0].at
	w.goWell(w.config.Window-w.clock.Now().Sub(ran)-2*time.Second, w.idle)
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

// TestHalfCopiedBackup has the primary die while it brings its state to a new
// backup. The new one alone must not speak for the shard.
func TestHalfCopiedBackup(t *testing.T) {
	w := ready(t)
	must.Eq(t, idempotency.Held, w.try(t, w.nodes[0], "k").State)
	primary := w.holder(idempotency.Primary)
	w.crash(w.holder(idempotency.Backup))
	w.blocks = func(m *message) bool { return m.send.Replicate != nil && m.send.Replicate.IsCopy }
	w.goWell(4*time.Second, w.idle)
	must.Eq(t, primary, w.holder(idempotency.Primary))
	w.crash(primary)
	w.blocks = nil
	w.goWell(10*time.Second, w.idle)
	for _, n := range w.nodes {
		must.Eq(t, verdict.KeyUnknown, w.try(t, n, "k").Refusal.Reason)
	}
}

// TestForgottenRecords has a pair that was replaced while it was cut off, and
// whose replacement it can no longer read.
func TestForgottenRecords(t *testing.T) {
	w := newWorld(5, quick(), blackboard.CheckOrder())
	w.goWell(6*time.Second, w.idle)
	primary, backup := w.holder(idempotency.Primary), w.holder(idempotency.Backup)
	asker := 0
	for asker == primary || asker == backup {
		asker++
	}
	w.part(primary, backup, asker)
	quarantine := w.config.Window + w.config.Lease + w.config.GrantLife + w.config.Drift
	w.goWell(quarantine+6*time.Second, w.idle)
	w.retain(0)
	must.NotEq(t, primary, w.holder(idempotency.Primary))
	w.nodes[primary].cut, w.nodes[backup].cut = false, false // still parted from the others
	w.goWell(2*time.Second, w.idle)
	must.Eq(t, verdict.KeyHomeUnreached, w.try(t, w.nodes[asker], "k").Refusal.Reason)
}

// TestLateClaim has a claim arrive after its asker has given up and said so.
func TestLateClaim(t *testing.T) {
	w := ready(t)
	asker := w.nodes[0]
	attempt := w.claim(asker, "k", "x")
	w.settle()
	i := slices.IndexFunc(w.wire, func(m *message) bool { return m.send.Claim != nil })
	late := w.wire[i]
	w.lose(i)
	w.end(asker, attempt, verdict.NotRun)
	w.goWell(time.Second, w.idle)
	w.wire = append(w.wire, &message{from: asker, id: late.id, send: late.send})
	w.goWell(time.Second, w.idle)
	must.Eq(t, idempotency.Held, w.try(t, w.nodes[1], "k").State)
}

// TestFullHome has a home that cannot remember another key: a refusal that says
// that nothing ran, and no key is forgotten early.
func TestFullHome(t *testing.T) {
	c := quick()
	c.MaxKeys = 1
	w := newWorld(4, c, blackboard.CheckOrder())
	w.goWell(6*time.Second, w.idle)
	must.Eq(t, idempotency.Held, w.try(t, w.nodes[0], "k").State)
	full := w.try(t, w.nodes[0], "other")
	must.Eq(t, verdict.KeysFull, full.Refusal.Reason)
	must.Eq(t, verdict.NotRun, full.Refusal.Verdict)
	must.Eq(t, idempotency.Repeated, w.try(t, w.nodes[1], "k").State)
	w.goWell(c.Window+3*time.Second, w.idle)
	must.Eq(t, idempotency.Held, w.try(t, w.nodes[0], "other").State)
}

// TestQuarantineGoesOn has a shard in quarantine change both holders.
func TestQuarantineGoesOn(t *testing.T) {
	w := ready(t)
	must.Eq(t, idempotency.Held, w.try(t, w.nodes[0], "k").State)
	backup := w.holder(idempotency.Backup)
	w.crash(w.holder(idempotency.Primary))
	w.crash(backup)
	w.goWell(6*time.Second, w.idle)
	for range 2 {
		w.crash(w.holder(idempotency.Primary))
		w.goWell(4*time.Second, w.idle)
	}
	must.Eq(t, 1, w.counts["planned_fresh"])
	must.Eq(t, verdict.KeyUnknown, w.try(t, w.nodes[0], "k").Refusal.Reason)
}

// TestCrossedReplication has the news of a release reach the backup after the
// claim that followed it, and then the primary die.
func TestCrossedReplication(t *testing.T) {
	w := ready(t)
	first := w.claim(w.nodes[0], "k", "x")
	w.goWell(time.Second, w.idle)
	var late *message
	w.blocks = func(m *message) bool {
		r := m.send.Replicate
		released := r != nil && len(r.Copies) == 1 && r.Copies[0].Entry.State == idempotency.Released
		if released && late == nil {
			late = &message{from: m.from, id: m.id, send: m.send, ignored: true}
		}
		return released
	}
	w.end(w.nodes[0], first, verdict.NotRun)
	w.goWell(time.Second, w.idle)
	must.Eq(t, idempotency.Held, w.try(t, w.nodes[1], "k").State)
	must.NotNil(t, late)
	w.blocks = nil
	w.wire = append(w.wire, late)
	w.goWell(time.Second, w.idle)
	w.crash(w.holder(idempotency.Primary))
	w.goWell(4*time.Second, w.idle)
	must.Eq(t, idempotency.Repeated, w.try(t, w.nodes[2], "k").State)
}

// TestLeavingPrimary has a primary hand its shard over before it stops.
func TestLeavingPrimary(t *testing.T) {
	w := ready(t)
	must.Eq(t, idempotency.Held, w.try(t, w.nodes[0], "k").State)
	primary, backup := w.holder(idempotency.Primary), w.holder(idempotency.Backup)
	w.nodes[primary].member.State = mesh.Leaving
	w.goWell(2*time.Second, w.idle)
	must.Eq(t, backup, w.holder(idempotency.Primary))
	w.crash(primary)
	must.Eq(t, idempotency.Repeated, w.try(t, w.nodes[backup], "k").State)
	must.Eq(t, idempotency.Held, w.try(t, w.nodes[backup], "new").State)
}
