package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/google/uuid"

	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/decide/submit"
	"github.com/marigoldshelf/marigoldshelf/front/operator"
)

// result reports whether a change was made. It is part of the JSON output.
type result string

const (
	resultMade      result = "made"
	resultNotMade   result = "not_made"
	resultMaybeMade result = "may_have_been_made"
)

// report is the output of --json for a command that submits a change.
type report struct {
	Command string                   `json:"command"`
	Result  result                   `json:"result"`
	ID      string                   `json:"id"`
	Answer  *operator.SubmitResponse `json:"answer,omitempty"`
	Error   string                   `json:"error,omitempty"`
}

// changeRequest is a request that submits a record.
type changeRequest struct {
	command string
	path    string
	body    any
	// id is the record's ID. repeated is true when an earlier request may have
	// submitted a record with the same ID, so that the record may be in the log
	// even if this request fails.
	id       string
	repeated bool
}

// submit sends the request and determines whether the change was made.
func (l *commandLine) submit(r changeRequest) report {
	out := report{Command: r.command, ID: r.id}
	response, sent, err := l.request(http.MethodPost, r.path, r.body)
	if err != nil {
		out.Error = err.Error()
		out.Result = resultNotMade
		if sent || r.repeated {
			out.Result = resultMaybeMade
		}
		return out
	}
	var submitted operator.SubmitResponse
	if json.Unmarshal(response.body, &submitted) == nil && submitted.State != "" {
		out.Answer = &submitted
		out.Result = classifyResult(submitted, r.repeated)
		return out
	}
	out.Error = response.errorText()
	out.Result = resultMaybeMade
	if rejectedBeforeSubmission(response) && !r.repeated {
		out.Result = resultNotMade
	}
	return out
}

// rejectedBeforeSubmission reports whether the node rejected a request without
// submitting its record. It is false for the code Interrupted, which does not
// exclude that the record was submitted.
func rejectedBeforeSubmission(response nodeResponse) bool {
	var p operator.Problem
	fromNode := json.Unmarshal(response.body, &p) == nil && p.Code != ""
	return fromNode && p.Code != operator.Interrupted
}

// classifyResult derives the result from the state of the submission. A repeated
// record that this submission did not append may be in the log from an earlier
// request.
func classifyResult(s operator.SubmitResponse, repeated bool) result {
	switch s.State {
	case submit.InLog, submit.Refused:
		if s.Outcome != nil && s.Outcome.Accepted {
			return resultMade
		}
		return resultNotMade
	case submit.NotAppended:
		if !repeated {
			return resultNotMade
		}
	}
	return resultMaybeMade
}

// printResult prints the report and returns an error with the exit code, or nil
// for a change that was made. madeText is the message for such a change.
func (l *commandLine) printResult(r report, madeText string) error {
	code := map[result]int{resultMade: exitDone, resultNotMade: exitNotMade, resultMaybeMade: exitMaybeMade}[r.Result]
	if l.JSON {
		if err := l.printJSON(r); err != nil {
			return err
		}
		return newExitError(code, "")
	}
	switch r.Result {
	case resultMade:
		l.print("%s", madeText)
	case resultNotMade:
		l.print("Not made: %s", failureText(r))
	default:
		l.print("The change may have been made: %s", failureText(r))
		l.print("Check with:  marigold history --record %s", r.ID)
		l.print("Or repeat the command with --id %s; the change is applied only once.", r.ID)
	}
	return newExitError(code, "")
}

// newExitError returns an error with an exit code; nil for exitDone.
func newExitError(code int, text string) error {
	if code == exitDone {
		return nil
	}
	return &exitError{code, text}
}

// failureText describes why a change was not made, or why its outcome is unknown.
func failureText(r report) string {
	if r.Answer == nil {
		return r.Error
	}
	if o := r.Answer.Outcome; o != nil {
		lines := []string{fmt.Sprintf("%s (%s)", o.Detail, o.Refusal)}
		for _, f := range o.Faults {
			lines = append(lines, "  "+f.Location+": "+f.Message)
		}
		return strings.Join(lines, "\n")
	}
	if r.Answer.State == submit.NotAppended {
		return "the platform refused to append the record"
	}
	return "the platform has not answered in time"
}

// actionFlags holds the argument and flags shared by approve, veto, release and
// withhold.
type actionFlags struct {
	Proposal string `arg:"" help:"ID of the proposal."`
	Reason   string `help:"Why."`
	ID       string `name:"id" help:"ID of a request that may have been made; repeated with it, it counts once."`
}

// send submits the record and prints the result. madeText is the message for a
// change that was made; release prints its own.
func (f actionFlags) send(l *commandLine, kind change.Kind, digest, madeText string) error {
	id := f.ID
	if id == "" {
		id = uuid.NewString()
	}
	r := l.submit(changeRequest{
		command:  string(kind),
		path:     "/v1/proposals/" + url.PathEscape(f.Proposal) + "/" + string(kind),
		body:     operator.ProposalActionRequest{ID: id, Digest: digest, Reason: f.Reason},
		id:       id,
		repeated: f.ID != "",
	})
	if kind == change.Release && r.Result == resultMade {
		madeText = fmt.Sprintf("Released: version %d is decided; marigold status shows which nodes serve it.", r.Answer.Outcome.Version)
	}
	return l.printResult(r, madeText)
}

type approveCommand struct {
	actionFlags
	Digest string `required:"" help:"Digest that marigold diff showed."`
}

// Help shows an example.
func (approveCommand) Help() string { return "Example: marigold approve p1 --digest 9be8..." }

// Run approves the proposal.
func (c *approveCommand) Run(l *commandLine) error {
	return c.send(l, change.Approve, c.Digest, "Approved "+c.Proposal+".")
}

type vetoCommand struct {
	actionFlags
	Digest string `required:"" help:"Digest that marigold diff showed."`
}

// Help shows an example.
func (vetoCommand) Help() string {
	return "Example: marigold veto p1 --digest 9be8... --reason 'not before the final'"
}

// Run vetoes the proposal.
func (c *vetoCommand) Run(l *commandLine) error {
	return c.send(l, change.Veto, c.Digest, "Vetoed "+c.Proposal+".")
}

type releaseCommand struct {
	actionFlags
	Digest string `help:"Digest of the proposal meant; checked when given."`
}

// Help shows an example.
func (releaseCommand) Help() string { return "Example: marigold release p1" }

// Run releases the proposal.
func (c *releaseCommand) Run(l *commandLine) error { return c.send(l, change.Release, c.Digest, "") }

type withholdCommand struct {
	actionFlags
}

// Help shows an example.
func (withholdCommand) Help() string {
	return "Example: marigold withhold p1 --reason 'the host is not built yet'"
}

// Run closes the proposal without releasing it.
func (c *withholdCommand) Run(l *commandLine) error {
	return c.send(l, change.Withhold, "", "Withheld "+c.Proposal+".")
}
