package main

import (
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/decide/submit"
	"github.com/marigoldshelf/marigoldshelf/front/operator"
)

type diffCommand struct {
	Proposal string `arg:"" help:"ID of an open proposal."`
}

// Help shows an example.
func (diffCommand) Help() string { return "Example: marigold diff p1" }

// Run shows what the proposal changes.
func (c *diffCommand) Run(l *commandLine) error {
	d, err := l.computeDiff(c.Proposal)
	if err != nil {
		return err
	}
	if l.JSON {
		return l.printJSON(d)
	}
	l.print("Proposal %s, made from version %d:", d.Proposal, d.Base)
	l.printComparison(d.Comparison)
	l.print("Approved by: %s", orNobody(join(d.Approved)))
	l.print("Digest: %s", d.Digest)
	return nil
}

// computeDiff computes the diff and the digest of a proposal locally, so that the
// digest that a customer approves matches the change that the customer was shown.
func (l *commandLine) computeDiff(id string) (operator.Diff, error) {
	withoutJSON := *l
	withoutJSON.JSON = false
	var p change.Proposal
	if _, err := withoutJSON.query("/v1/proposals/"+url.PathEscape(id), &p); err != nil {
		return operator.Diff{}, err
	}
	current, err := l.inForce()
	switch {
	case err != nil:
		return operator.Diff{}, err
	case p.Status != change.Open:
		return operator.Diff{}, eris.Errorf("proposal %s is %s: there is no diff of a closed one", p.ID, p.Status)
	case current.Version != p.Base:
		return operator.Diff{}, eris.Errorf("version %d was released in the meantime; run the command again", current.Version)
	case change.Digest(p.Base, p.Edits) != p.Digest:
		return operator.Diff{}, eris.New("the proposal's digest does not match its base version and edits: do not approve it")
	}
	comparison := change.Compare(current.Config, current.Config.Apply(p.Edits))
	return operator.Diff{Proposal: p.ID, Digest: p.Digest, Base: p.Base, Comparison: comparison, Approved: p.ApprovedBy}, nil
}

func orNobody(text string) string {
	if text == "" {
		return "nobody yet"
	}
	return text
}

type historyCommand struct {
	Record string `help:"Tell what became of the record with this ID."`
}

// Help shows an example.
func (historyCommand) Help() string {
	return "Examples: marigold history; marigold history --record 6d0c..."
}

// Run shows the proposals, or one record.
func (c *historyCommand) Run(l *commandLine) error {
	if c.Record != "" {
		return l.showRecord(c.Record)
	}
	var list []change.Proposal
	printed, err := l.query("/v1/proposals", &list)
	if printed || err != nil {
		return err
	}
	for _, p := range list {
		l.printProposal(p)
	}
	return nil
}

func (l *commandLine) showRecord(id string) error {
	var r operator.RecordResponse
	printed, err := l.query("/v1/records/"+url.PathEscape(id), &r)
	if printed || err != nil {
		return err
	}
	switch {
	case r.State == submit.InLog && r.Outcome.Accepted:
		l.print("Record %s is in the log at %d and was accepted.", id, r.Offset)
	case r.State == submit.InLog:
		l.print("Record %s is in the log at %d and was refused: %s (%s)", id, r.Offset, r.Outcome.Detail, r.Outcome.Refusal)
	case r.State == submit.Pending:
		l.print("Record %s is pending; its outcome is not known yet.", id)
	default:
		l.print("Record %s is not among those this node has read, up to %d.", id, r.Offset)
	}
	return nil
}

func (l *commandLine) printProposal(p change.Proposal) {
	l.print("%6d  %s  %s by %s, %d edits of version %d; needs %s", p.Offset, formatTime(p.AtMillis), p.ID, p.Author.Name, p.EditCount, p.Base, join(p.RequiredApprovers))
	for _, a := range p.Decisions {
		reason := a.Reason
		if a.Late {
			reason = "after the release, changed nothing: " + reason
		}
		l.print("%6d  %s    %s by %s  %s", a.Offset, formatTime(a.AtMillis), a.Kind, a.Author.Name, reason)
	}
	switch p.Status {
	case change.Open:
		l.print("                                open, missing: %s", join(p.MissingApprovers()))
	case change.Released:
		l.print("                                released as version %d", p.ClosedAt)
	case change.Stale:
		l.print("                                superseded by version %d", p.ClosedAt)
	default:
		l.print("                                %s", p.Status)
	}
}

// formatTime formats a Unix time in milliseconds as UTC.
func formatTime(millis int64) string { return time.UnixMilli(millis).UTC().Format(time.DateTime) }

type watchCommand struct {
	After uint64 `help:"Show what came after this offset; all that is kept when left out."`
	Count int    `help:"Stop after so many answers; 0 is without end."`
}

// Help shows an example.
func (watchCommand) Help() string {
	return "Example: marigold watch --json\n\nThe node holds each request until something changes, at most 30 s."
}

// Run prints changes as they occur.
func (c *watchCommand) Run(l *commandLine) error {
	after := c.After
	for n := 0; c.Count == 0 || n < c.Count; n++ {
		var w operator.WatchResponse
		withoutJSON := *l
		withoutJSON.JSON = false
		if _, err := withoutJSON.query("/v1/watch?after="+strconv.FormatUint(after, 10), &w); err != nil {
			return err
		}
		if err := l.showWatched(w, after); err != nil {
			return err
		}
		after = w.Offset
	}
	return nil
}

func (l *commandLine) showWatched(w operator.WatchResponse, after uint64) error {
	if w.Offset == after {
		return nil
	}
	if l.JSON {
		return l.printJSON(w)
	}
	l.print("Read to %d; version %d is decided, this node serves %d.", w.Offset, w.Version, w.VersionInForce)
	for _, p := range w.Proposals {
		l.printProposal(p)
	}
	return nil
}
