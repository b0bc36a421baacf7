package call

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/decide/quota"
	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// TokenState is the state of a call's token of its account's quota.
type TokenState uint8

// The states of a token.
const (
	// NoToken: the account has no quota, or the call has not been routed.
	NoToken TokenState = iota
	// TokenNeeded: the call waits for the decision about its token.
	TokenNeeded
	// TokenDecided: the decision is in Token.Decision.
	TokenDecided
	// TokenReturned: the call was refused without having run, and its token goes
	// back to the lease.
	TokenReturned
)

// Token is what a call has of its account's quota. It is a value.
type Token struct {
	State    TokenState
	Decision quota.Decision
}

// Unlimited returns the token of a call whose account has no quota any more.
func (t Token) Unlimited() Token {
	return Token{State: TokenDecided, Decision: quota.Decision{Outcome: quota.Granted}}
}

// Returns reports whether the token has to be put back into the lease.
func (t Token) Returns() bool { return t.State == TokenReturned && !t.Decision.Expires.IsZero() }

// WithToken returns the call with the decision about its token.
func (c Call) WithToken(d quota.Decision) Call {
	if c.Token.State == TokenNeeded && d.Outcome != quota.Waiting {
		c.Token = Token{State: TokenDecided, Decision: d}
	}
	return c
}

// needsToken marks a call of an account with a quota as one that needs a token.
func (c Call) needsToken(a mesh.Account) (Call, bool) {
	if !a.HasQuota() {
		return c, false
	}
	c.Token = Token{State: TokenNeeded}
	return c, true
}

// RefuseOverQuota returns the refused call of a request whose account is known to have
// used up its quota; false for every other request, which is decided by Begin. An
// account that sends many times its quota would otherwise cost as much processor time
// as if it were served. lease returns what the node holds of an account's quota.
func RefuseOverQuota(now time.Time, r Request, routes *route.Table, lease func(mesh.AccountName) quota.Lease) (refused Call, over bool) {
	if routes == nil || !routes.HasAccounts() {
		return Call{}, false
	}
	account, known := routes.AccountOf(r.Key)
	if !known || !account.HasQuota() {
		return Call{}, false
	}
	matched, found := routes.Match(r.HostName, r.Path)
	if !found || matched.Unreadable != "" {
		return Call{}, false
	}
	retryAfter, over := lease(account.Name).Refuses(now)
	if !over {
		return Call{}, false
	}
	c := Call{Request: r, Rule: matched.Rule, Version: routes.Version, Account: account.Name}
	c = c.refuse(verdict.NotRun, verdict.OverQuota)
	c.Step.RetryAfter = retryAfter
	return c, true
}

// resume decides the first step of a call once the decision about its token is
// known. A token that has expired, because the process was paused, is not used.
func (c Call) resume(now time.Time, w Environment) Call {
	switch d := c.Token.Decision; {
	case d.Outcome == quota.OverQuota:
		c = c.refuse(verdict.NotRun, verdict.OverQuota)
		c.Step.RetryAfter = d.RetryAfter
		return c
	case d.Outcome != quota.Granted, !d.Expires.IsZero() && !now.Before(d.Expires):
		c = c.refuse(verdict.NotRun, verdict.QuotaUnavailable)
		c.Step.RetryAfter = d.RetryAfter
		return c
	case !now.Before(c.Deadline):
		return c.refuse(verdict.NotRun, verdict.DeadlineExceeded)
	}
	return c.start(now, w)
}

// returnToken marks the token of a call as returned if the call has been refused
// and certainly has not run.
func (c Call) returnToken() Call {
	granted := c.Token.State == TokenDecided && c.Token.Decision.Outcome == quota.Granted
	if granted && c.Step.Kind == Refuse && c.Step.Refusal.Verdict == verdict.NotRun {
		c.Token.State = TokenReturned
	}
	return c
}
