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

// newReadySimulation returns four nodes whose shard has a primary and a backup.
func newReadySimulation(t *testing.T) *simulation {
	sim := newSimulation(4, testConfig(), blackboard.PanicOnNested())
	sim.runHealthy(6*time.Second, sim.ignoreClaims)
	must.True(t, sim.holderIndex(idempotency.Primary) >= 0)
	return sim
}

// ignoreClaims is the visit function of tests that handle claims themselves.
func (sim *simulation) ignoreClaims(*testNode) {}

// book claims a key at n, runs the booking if the claim is granted after 1.5 s,
// and returns the claim as it was then. It fails the test on a violation.
func (sim *simulation) book(t *testing.T, n *testNode, key string) idempotency.Claim {
	t.Helper()
	attempt := sim.startClaim(n, key, "x")
	sim.runHealthy(1500*time.Millisecond, sim.ignoreClaims)
	c, _ := sim.lookUpClaim(n, attempt)
	if sim.startRun(n, attempt) {
		sim.endAttempt(n, attempt, verdict.Ran)
	} else {
		sim.endAttempt(n, attempt, verdict.NotRun)
	}
	sim.runHealthy(time.Second, sim.ignoreClaims)
	must.SliceEmpty(t, sim.violations)
	return c
}

// TestPrimaryCrash guards against a lost key when the primary crashes: the backup
// must replay the stored response and grant new keys.
func TestPrimaryCrash(t *testing.T) {
	sim := newReadySimulation(t)
	must.Eq(t, idempotency.ClaimGranted, sim.book(t, sim.nodes[0], "k").State)
	sim.crash(sim.holderIndex(idempotency.Primary))
	sim.runHealthy(6*time.Second, sim.ignoreClaims)
	again := sim.book(t, sim.nodes[1], "k")
	must.Eq(t, idempotency.ClaimReplayed, again.State)
	must.Eq(t, sim.runs[again.Key][0].attempt, string(again.Response.Body))
	must.Eq(t, idempotency.ClaimGranted, sim.book(t, sim.nodes[2], "other").State)
}

// TestNoGrantWithoutTheBackup guards against a grant that only the primary has,
// which its crash would lose.
func TestNoGrantWithoutTheBackup(t *testing.T) {
	sim := newReadySimulation(t)
	sim.partition(sim.holderIndex(idempotency.Backup))
	refused := sim.book(t, sim.nodes[sim.holderIndex(idempotency.Primary)], "k")
	must.Eq(t, verdict.KeyPrimaryUnreachable, refused.Refusal.Reason)
}

// TestBothHoldersCrash guards against a second run after both copies of a key are
// lost: the shard restarts without state and refuses all keys until no earlier
// grant can be within the window.
func TestBothHoldersCrash(t *testing.T) {
	sim := newReadySimulation(t)
	must.Eq(t, idempotency.ClaimGranted, sim.book(t, sim.nodes[0], "k").State)
	backup := sim.holderIndex(idempotency.Backup)
	sim.crash(sim.holderIndex(idempotency.Primary))
	sim.crash(backup)
	sim.runHealthy(8*time.Second, sim.ignoreClaims)
	must.Eq(t, verdict.KeyOutcomeUnknown, sim.book(t, sim.nodes[0], "k").Refusal.Reason)
	must.Eq(t, verdict.KeyOutcomeUnknown, sim.book(t, sim.nodes[0], "new").Refusal.Reason)
	must.Eq(t, 1, sim.counts["planned_fresh"])
	sim.runHealthy(sim.config.Window+sim.config.Lease+sim.config.GrantTTL+sim.config.MaxClockDrift, sim.ignoreClaims)
	must.Eq(t, idempotency.ClaimGranted, sim.book(t, sim.nodes[0], "new").State)
}

// TestPartitionedPairLosesLease guards against two pairs that grant the same key.
// A pair is partitioned from the platform's log, together with its callers. It
// must stop granting when its lease ends, and the new pair must refuse keys until
// the window of the old pair's grants has passed.
func TestPartitionedPairLosesLease(t *testing.T) {
	sim := newReadySimulation(t)
	primary, backup := sim.holderIndex(idempotency.Primary), sim.holderIndex(idempotency.Backup)
	sim.partition(primary, backup)
	sim.runHealthy(4*time.Second, sim.ignoreClaims)
	must.Eq(t, idempotency.ClaimGranted, sim.book(t, sim.nodes[primary], "k").State)
	sim.runHealthy(sim.config.Lease, sim.ignoreClaims)
	must.Eq(t, verdict.KeyPrimaryUnreachable, sim.book(t, sim.nodes[backup], "late").Refusal.Reason)
	outside := sim.nodes[sim.holderIndex(idempotency.Primary)]
	must.NotEq(t, sim.nodes[primary], outside)
	must.Eq(t, verdict.KeyOutcomeUnknown, sim.book(t, outside, "k").Refusal.Reason)
	sim.partition()
	sim.runHealthy(3*time.Second, sim.ignoreClaims)
	must.Eq(t, verdict.KeyOutcomeUnknown, sim.book(t, sim.nodes[primary], "k").Refusal.Reason)
	ran := sim.runs[idempotency.NewKeyID("desk.example", "k")][0].at
	sim.runHealthy(sim.config.Window-sim.clock.Now().Sub(ran)-2*time.Second, sim.ignoreClaims)
	must.Eq(t, verdict.KeyOutcomeUnknown, sim.book(t, sim.nodes[primary], "k").Refusal.Reason)
}

// TestPausedPrimary guards against the use of a grant that arrives late. The
// primary pauses after the backup has the key, before its grant is sent. The grant
// must not be used after the pause, the new primary must not report the key as not
// run, and the old primary must grant nothing after it resumes.
func TestPausedPrimary(t *testing.T) {
	sim := newReadySimulation(t)
	primary := sim.nodes[sim.holderIndex(idempotency.Primary)]
	claimant := sim.nodes[0]
	if claimant == primary {
		claimant = sim.nodes[1]
	}
	attempt := sim.startClaim(claimant, "k", "x")
	sim.settle()
	for len(primary.inbound) == 0 {
		sim.deliver(0)
		sim.settle()
	}
	sim.deliver(len(sim.messages) - 1) // the backup has the key
	sim.settle()
	primary.paused = true
	sim.runHealthy(8*time.Second, sim.ignoreClaims)
	must.False(t, sim.startRun(claimant, attempt))
	again := sim.book(t, sim.nodes[sim.holderIndex(idempotency.Primary)], "k")
	must.Eq(t, idempotency.ClaimRefused, again.State)
	must.NotEq(t, verdict.NotRun, again.Refusal.Verdict)

	primary.paused = false
	primary.logUnreachable = true // it has not read that it was replaced
	late := sim.startClaim(primary, "new", "x")
	sim.runHealthy(time.Second, sim.ignoreClaims)
	must.False(t, sim.startRun(primary, late))
}

// TestPlatformDown checks that a pair grants keys without the log until its lease
// ends, and again once the log can be read, without a restart of the shard.
func TestPlatformDown(t *testing.T) {
	sim := newReadySimulation(t)
	for _, n := range sim.nodes {
		n.logUnreachable = true
	}
	must.Eq(t, idempotency.ClaimGranted, sim.book(t, sim.nodes[0], "k").State)
	must.Eq(t, idempotency.ClaimReplayed, sim.book(t, sim.nodes[1], "k").State)
	sim.runHealthy(sim.config.Lease, sim.ignoreClaims)
	must.Eq(t, verdict.KeyPrimaryUnreachable, sim.book(t, sim.nodes[0], "new").Refusal.Reason)
	sim.partition()
	sim.runHealthy(2*time.Second, sim.ignoreClaims)
	must.Eq(t, idempotency.ClaimGranted, sim.book(t, sim.nodes[0], "new").State)
	must.Eq(t, 0, sim.counts["planned_fresh"])
}

// TestReuseReleaseAndEnd checks the refusals of a key that is reused with other
// content or in flight, that a key is free after an attempt that did not run, and
// that it stays taken after one that may have run.
func TestReuseReleaseAndEnd(t *testing.T) {
	sim := newReadySimulation(t)
	first := sim.startClaim(sim.nodes[0], "k", "x")
	sim.runHealthy(time.Second, sim.ignoreClaims)
	reused := sim.startClaim(sim.nodes[1], "k", "y")
	inFlight := sim.startClaim(sim.nodes[2], "k", "x")
	sim.runHealthy(time.Second, sim.ignoreClaims)
	c, _ := sim.lookUpClaim(sim.nodes[1], reused)
	must.Eq(t, verdict.KeyReused, c.Refusal.Reason)
	c, _ = sim.lookUpClaim(sim.nodes[2], inFlight)
	must.Eq(t, verdict.KeyInFlight, c.Refusal.Reason)

	sim.endAttempt(sim.nodes[0], first, verdict.NotRun)
	sim.runHealthy(time.Second, sim.ignoreClaims)
	second := sim.startClaim(sim.nodes[1], "k", "x")
	sim.runHealthy(time.Second, sim.ignoreClaims)
	must.True(t, sim.startRun(sim.nodes[1], second))
	sim.endAttempt(sim.nodes[1], second, verdict.MayHaveRun)
	sim.runHealthy(time.Second, sim.ignoreClaims)
	must.Eq(t, verdict.KeyOutcomeUnknown, sim.book(t, sim.nodes[3], "k").Refusal.Reason)
}

// TestClaimWaitsForReportOfTheEnd repeats a key while the report that the first attempt
// has ended is on its way. It guards against a caller that has the response of the first
// attempt and is told that the attempt has not ended.
func TestClaimWaitsForReportOfTheEnd(t *testing.T) {
	sim := newReadySimulation(t)
	first := sim.startClaim(sim.nodes[0], "k", "x")
	sim.runHealthy(time.Second, sim.ignoreClaims)
	must.True(t, sim.startRun(sim.nodes[0], first))
	repeated := sim.startClaim(sim.nodes[1], "k", "x")
	sim.runHealthy(200*time.Millisecond, sim.ignoreClaims)
	sim.endAttempt(sim.nodes[0], first, verdict.Ran)
	sim.runHealthy(time.Second, sim.ignoreClaims)
	c, _ := sim.lookUpClaim(sim.nodes[1], repeated)
	must.Eq(t, idempotency.ClaimReplayed, c.State)
}

// TestLateNodeWaitsForConfirmation guards against a wrong assignment at a node that
// starts after the first records of the log expired. A record that it cannot
// validate takes effect only when a later record names it as its base.
func TestLateNodeWaitsForConfirmation(t *testing.T) {
	sim := newReadySimulation(t)
	before := sim.nodes[0].tables.KeyMap.Load().Map.Assignments[0]
	sim.runHealthy(20*time.Second, sim.ignoreClaims)
	sim.trimLog(1)
	late := 0
	for late == sim.holderIndex(idempotency.Primary) || late == sim.holderIndex(idempotency.Backup) {
		late++
	}
	sim.crash(late)
	sim.runHealthy(2*time.Second, sim.ignoreClaims)
	row := sim.nodes[late].tables.KeyMap.Load().Map
	must.Eq(t, 0, row.Assignments[0].Epoch)
	must.Eq(t, 1, row.UnconfirmedCount(0))
	sim.runHealthy(12*time.Second, sim.ignoreClaims)
	row = sim.nodes[late].tables.KeyMap.Load().Map
	must.Eq(t, before.Epoch, row.Assignments[0].Epoch)
	must.Eq(t, before.Primary, row.Assignments[0].Primary)
	must.Eq(t, 0, sim.counts["planned_fresh"])
}

// TestIncompleteBackup guards against a backup that becomes primary with part of
// the keys: the primary crashes while it copies its state to a new backup. Every
// node must refuse the key as unknown.
func TestIncompleteBackup(t *testing.T) {
	sim := newReadySimulation(t)
	must.Eq(t, idempotency.ClaimGranted, sim.book(t, sim.nodes[0], "k").State)
	primary := sim.holderIndex(idempotency.Primary)
	sim.crash(sim.holderIndex(idempotency.Backup))
	sim.shouldDrop = func(m *message) bool { return m.send.Replicate != nil && m.send.Replicate.IsStateChunk }
	sim.runHealthy(4*time.Second, sim.ignoreClaims)
	must.Eq(t, primary, sim.holderIndex(idempotency.Primary))
	sim.crash(primary)
	sim.shouldDrop = nil
	sim.runHealthy(10*time.Second, sim.ignoreClaims)
	for _, n := range sim.nodes {
		must.Eq(t, verdict.KeyOutcomeUnknown, sim.book(t, n, "k").Refusal.Reason)
	}
}

// TestReplacementRecordExpired guards against a replaced pair that grants again: it
// was partitioned while it was replaced, and the record of its replacement expires
// before it can read the log.
func TestReplacementRecordExpired(t *testing.T) {
	sim := newSimulation(5, testConfig(), blackboard.PanicOnNested())
	sim.runHealthy(6*time.Second, sim.ignoreClaims)
	primary, backup := sim.holderIndex(idempotency.Primary), sim.holderIndex(idempotency.Backup)
	claimant := 0
	for claimant == primary || claimant == backup {
		claimant++
	}
	sim.partition(primary, backup, claimant)
	quarantine := sim.config.Window + sim.config.Lease + sim.config.GrantTTL + sim.config.MaxClockDrift
	sim.runHealthy(quarantine+6*time.Second, sim.ignoreClaims)
	sim.trimLog(0)
	must.NotEq(t, primary, sim.holderIndex(idempotency.Primary))
	sim.nodes[primary].logUnreachable, sim.nodes[backup].logUnreachable = false, false // still in another partition than the other nodes
	sim.runHealthy(2*time.Second, sim.ignoreClaims)
	must.Eq(t, verdict.KeyPrimaryUnreachable, sim.book(t, sim.nodes[claimant], "k").Refusal.Reason)
}

// TestLateClaim guards against a key that stays taken because its claim reaches the
// primary after the report that the attempt did not run.
func TestLateClaim(t *testing.T) {
	sim := newReadySimulation(t)
	claimant := sim.nodes[0]
	attempt := sim.startClaim(claimant, "k", "x")
	sim.settle()
	i := slices.IndexFunc(sim.messages, func(m *message) bool { return m.send.Claim != nil })
	late := sim.messages[i]
	sim.drop(i)
	sim.endAttempt(claimant, attempt, verdict.NotRun)
	sim.runHealthy(time.Second, sim.ignoreClaims)
	sim.messages = append(sim.messages, &message{from: claimant, id: late.id, send: late.send})
	sim.runHealthy(time.Second, sim.ignoreClaims)
	must.Eq(t, idempotency.ClaimGranted, sim.book(t, sim.nodes[1], "k").State)
}

// TestFullKeyTable guards against the eviction of a key within its window. With the
// table full, a claim of another key is refused as not run, and the stored key
// still replays its response. After the window, other keys are granted.
func TestFullKeyTable(t *testing.T) {
	c := testConfig()
	c.MaxKeys = 1
	sim := newSimulation(4, c, blackboard.PanicOnNested())
	sim.runHealthy(6*time.Second, sim.ignoreClaims)
	must.Eq(t, idempotency.ClaimGranted, sim.book(t, sim.nodes[0], "k").State)
	full := sim.book(t, sim.nodes[0], "other")
	must.Eq(t, verdict.KeyTableFull, full.Refusal.Reason)
	must.Eq(t, verdict.NotRun, full.Refusal.Verdict)
	must.Eq(t, idempotency.ClaimReplayed, sim.book(t, sim.nodes[1], "k").State)
	sim.runHealthy(c.Window+3*time.Second, sim.ignoreClaims)
	must.Eq(t, idempotency.ClaimGranted, sim.book(t, sim.nodes[0], "other").State)
}

// TestQuarantineSurvivesHolderChanges guards against a quarantine that is lost, or
// started anew, when both holders of the shard are replaced during it.
func TestQuarantineSurvivesHolderChanges(t *testing.T) {
	sim := newReadySimulation(t)
	must.Eq(t, idempotency.ClaimGranted, sim.book(t, sim.nodes[0], "k").State)
	backup := sim.holderIndex(idempotency.Backup)
	sim.crash(sim.holderIndex(idempotency.Primary))
	sim.crash(backup)
	sim.runHealthy(6*time.Second, sim.ignoreClaims)
	for range 2 {
		sim.crash(sim.holderIndex(idempotency.Primary))
		sim.runHealthy(4*time.Second, sim.ignoreClaims)
	}
	must.Eq(t, 1, sim.counts["planned_fresh"])
	must.Eq(t, verdict.KeyOutcomeUnknown, sim.book(t, sim.nodes[0], "k").Refusal.Reason)
}

// TestReorderedReplication guards against a late replication message that frees a
// key which was claimed again. The backup gets the release of the first claim after
// the second claim, and then the primary crashes.
func TestReorderedReplication(t *testing.T) {
	sim := newReadySimulation(t)
	first := sim.startClaim(sim.nodes[0], "k", "x")
	sim.runHealthy(time.Second, sim.ignoreClaims)
	var late *message
	sim.shouldDrop = func(m *message) bool {
		r := m.send.Replicate
		released := r != nil && len(r.Entries) == 1 && r.Entries[0].Entry.State == idempotency.Released
		if released && late == nil {
			late = &message{from: m.from, id: m.id, send: m.send, duplicate: true}
		}
		return released
	}
	sim.endAttempt(sim.nodes[0], first, verdict.NotRun)
	sim.runHealthy(time.Second, sim.ignoreClaims)
	must.Eq(t, idempotency.ClaimGranted, sim.book(t, sim.nodes[1], "k").State)
	must.NotNil(t, late)
	sim.shouldDrop = nil
	sim.messages = append(sim.messages, late)
	sim.runHealthy(time.Second, sim.ignoreClaims)
	sim.crash(sim.holderIndex(idempotency.Primary))
	sim.runHealthy(4*time.Second, sim.ignoreClaims)
	must.Eq(t, idempotency.ClaimReplayed, sim.book(t, sim.nodes[2], "k").State)
}

// TestLeavingPrimary checks that a primary that leaves transfers its shard before it
// stops, so that no key is lost.
func TestLeavingPrimary(t *testing.T) {
	sim := newReadySimulation(t)
	must.Eq(t, idempotency.ClaimGranted, sim.book(t, sim.nodes[0], "k").State)
	primary, backup := sim.holderIndex(idempotency.Primary), sim.holderIndex(idempotency.Backup)
	sim.nodes[primary].member.State = mesh.Leaving
	sim.runHealthy(2*time.Second, sim.ignoreClaims)
	must.Eq(t, backup, sim.holderIndex(idempotency.Primary))
	sim.crash(primary)
	must.Eq(t, idempotency.ClaimReplayed, sim.book(t, sim.nodes[backup], "k").State)
	must.Eq(t, idempotency.ClaimGranted, sim.book(t, sim.nodes[backup], "new").State)
}
