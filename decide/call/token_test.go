package call_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/call"
	"github.com/marigoldshelf/marigoldshelf/decide/quota"
	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// serviceWithQuota is approvedService with an account of the given rate.
func serviceWithQuota(t *testing.T, rate float64) (s *service, begin func() call.Call) {
	s = approvedService(t, mesh.Booking, 2)
	key := mesh.HashKey("k")
	table, faults := route.CompileApproved(mesh.ApprovedConfig{
		Version: 3,
		Routes: []mesh.Route{{
			Rule:               mesh.Rule{ID: "r", HostName: "h", PathPrefix: "/", Service: "desk", Class: mesh.Booking, DeadlineMillis: 2000},
			MaxBackendAttempts: 2,
		}},
		Accounts: []mesh.Account{{Name: "red", Keys: []mesh.KeyHash{key}, RatePerSecond: rate, Burst: rate}},
	})
	must.SliceEmpty(t, faults)
	s.environment.Routes = table
	return s, func() call.Call {
		return call.Begin(arrivedAt, call.Request{HostName: "h", Path: "/x", Arrived: arrivedAt, BodyBuffered: true, Key: key}, s.environment)
	}
}

// Guards against an attempt that is chosen before the account's quota allows it,
// and against a call that waits although its account has no quota.
func TestCallOfAnAccountWithAQuotaWaitsForItsToken(t *testing.T) {
	_, begin := serviceWithQuota(t, 0)
	must.Len(t, 1, begin().Attempts)
	s, begin := serviceWithQuota(t, 10)
	c := begin()
	must.SliceEmpty(t, c.Attempts)
	must.Eq(t, call.TokenNeeded, c.Token.State)
	must.True(t, c.NextDecisionAt().IsZero())
	must.Eq(t, c.Step, call.Continue(arrivedAt.Add(time.Hour), c, s.environment).Step, must.Sprint("the quota decides, not the time"))
	for _, tc := range []struct {
		decision quota.Decision
		reason   verdict.Reason
	}{
		{quota.Decision{Outcome: quota.OverQuota, RetryAfter: time.Second}, verdict.OverQuota},
		{quota.Decision{Outcome: quota.Unavailable, RetryAfter: time.Second}, verdict.QuotaUnavailable},
		{quota.Decision{Outcome: quota.Granted, Expires: arrivedAt}, verdict.QuotaUnavailable},
	} {
		got := call.Continue(arrivedAt, c.WithToken(tc.decision), s.environment)
		must.Eq(t, call.Refuse, got.Step.Kind)
		must.Eq(t, tc.reason, got.Step.Refusal.Reason)
		must.Eq(t, verdict.NotRun, got.Step.Refusal.Verdict)
		must.Eq(t, tc.decision.RetryAfter, got.Step.RetryAfter)
	}
	granted := call.Continue(arrivedAt, c.WithToken(quota.Decision{Outcome: quota.Granted, Expires: arrivedAt.Add(time.Second)}), s.environment)
	must.Len(t, 1, granted.Attempts)
	must.False(t, granted.Token.Returns())
}

// Guards against a token that is lost to the account although its request was
// refused, and against one that is returned although the request may have run.
func TestTokenIsReturnedOnlyIfTheCallCertainlyDidNotRun(t *testing.T) {
	s, begin := serviceWithQuota(t, 10)
	granted := quota.Decision{Outcome: quota.Granted, Expires: arrivedAt.Add(quota.LeaseValidity)}
	for v, returned := range map[verdict.Verdict]bool{verdict.NotRun: true, verdict.MayHaveRun: false} {
		c := call.Continue(arrivedAt, begin().WithToken(granted), s.environment)
		for !c.Final() {
			c = s.finishAttempt(c, call.Outcome{Verdict: v, Reason: verdict.QueueFull})
		}
		must.Eq(t, call.Refuse, c.Step.Kind)
		must.Eq(t, returned, c.Token.Returns(), must.Sprint(v))
	}
}

// Guards against requests over the quota that cost as much as served ones, and against
// a refusal without the controller of any other request.
func TestOnlyAnAccountKnownToBeOverItsQuotaIsRefusedAtOnce(t *testing.T) {
	s, begin := serviceWithQuota(t, 10)
	r := begin().Request
	over := quota.Lease{RefusedUntil: arrivedAt.Add(300 * time.Millisecond)}
	refuse := func(r call.Request, l quota.Lease) (call.Call, bool) {
		return call.RefuseOverQuota(arrivedAt, r, s.environment.Routes, func(mesh.AccountName) quota.Lease { return l })
	}
	refused, found := refuse(r, over)
	must.True(t, found)
	must.Eq(t, verdict.OverQuota, refused.Step.Refusal.Reason)
	must.Eq(t, verdict.NotRun, refused.Step.Refusal.Verdict)
	must.Eq(t, 300*time.Millisecond, refused.Step.RetryAfter)
	withToken := over
	withToken.Tokens = []quota.Tokens{{Count: 1, Expires: arrivedAt.Add(time.Millisecond)}}
	unknownKey, otherHost := r, r
	unknownKey.Key, otherHost.HostName = mesh.KeyHash{9}, "other"
	for _, c := range []struct {
		request call.Request
		lease   quota.Lease
	}{{r, quota.Lease{}}, {r, withToken}, {unknownKey, over}, {otherHost, over}} {
		_, found := refuse(c.request, c.lease)
		must.False(t, found)
	}
}
