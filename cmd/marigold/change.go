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

// result says whether a change was made.
type result string

const (
	made      result = "made"
	unmade    result = "not_made"
	mayBeMade result = "may_have_been_made"
)

// report is what --json prints of a change.
type report struct {
	Command string              `json:"command"`
	Result  result              `json:"result"`
	ID      string              `json:"id"`
	Answer  *operator.Submitted `json:"answer,omitempty"`
	Error   string              `json:"error,omitempty"`
}

// changeRequest is one request that submits a record.
type changeRequest struct {
	command string
	path    string
	body    any
	// id is the record's ID. repeated is true when an earlier request may
	// have carried it.
	id       string
	repeated bool
}

// submit sends the request and judges what came of it.
func (l *commandLine) submit(r changeRequest) report {
	out := report{Command: r.command, ID: r.id}
	answer, sent, err := l.request(http.MethodPost, r.path, r.body)
	if err != nil {
		out.Error = err.Error()
		out.Result = unmade
		if sent || r.repeated {
			out.Result = mayBeMade
		}
		return out
	}
	var submitted operator.Submitted
	if json.Unmarshal(answer.body, &submitted) == nil && submitted.State != "" {
		out.Answer = &submitted
		out.Result = judge(submitted, r.repeated)
		return out
	}
	out.Error = answer.problem()
	out.Result = mayBeMade
	if turnedAway(answer) && !r.repeated {
		out.Result = unmade
	}
	return out
}

// turnedAway reports whether the node refused a request before it took it in.
func turnedAway(answer reply) bool {
	var p operator.Problem
	known := json.Unmarshal(answer.body, &p) == nil && p.Code != ""
	return known && p.Code != operator.Interrupted
}

func judge(s operator.Submitted, repeated bool) result {
	switch s.State {
	case submit.InLog, submit.Refused:
		if s.Outcome != nil && s.Outcome.Accepted {
			return made
		}
		return unmade
	case submit.NotAppended:
		if !repeated {
			return unmade
		}
	}
	return mayBeMade
}

// finish prints the report and returns the error that sets the exit code. done
// is the sentence for a change that was made.
func (l *commandLine) finish(r report, done string) error {
	code := map[result]int{made: exitDone, unmade: exitNotMade, mayBeMade: exitMayBeMade}[r.Result]
	if l.JSON {
		if err := l.printJSON(r); err != nil {
			return err
		}
		return asFailure(code, "")
	}
	switch r.Result {
	case made:
		l.print("%s", done)
	case unmade:
		l.print("Not made: %s", why(r))
	default:
		l.print("It may have been made: %s", why(r))
		l.print("Ask with:    marigold history --record %s", r.ID)
		l.print("Or repeat the command with --id %s: it counts once.", r.ID)
	}
	return asFailure(code, "")
}

func asFailure(code int, text string) error {
	if code == exitDone {
		return nil
	}
	return &failure{code, text}
}

// why says in words why a change was not made, or not known to be made.
func why(r report) string {
	if r.Answer == nil {
		return r.Error
	}
	if o := r.Answer.Outcome; o != nil {
		lines := []string{fmt.Sprintf("%s (%s)", o.Detail, o.Refusal)}
		for _, f := range o.Faults {
			lines = append(lines, "  "+f.Where+": "+f.What)
		}
		return strings.Join(lines, "\n")
	}
	if r.Answer.State == submit.NotAppended {
		return "the platform refused to take the record"
	}
	return "the platform has not answered in time"
}

// answerFlags are those of every answer to a proposal.
type answerFlags struct {
	Proposal string `arg:"" help:"ID of the proposal."`
	Reason   string `help:"Why."`
	ID       string `name:"id" help:"ID of a request that may have been made; repeated with it, it counts once."`
}

func (f answerFlags) send(l *commandLine, verb change.Kind, digest, done string) error {
	id := f.ID
	if id == "" {
		id = uuid.NewString()
	}
	r := l.submit(changeRequest{
		command:  string(verb),
		path:     "/v1/proposals/" + url.PathEscape(f.Proposal) + "/" + string(verb),
		body:     operator.AnswerRequest{ID: id, Digest: digest, Reason: f.Reason},
		id:       id,
		repeated: f.ID != "",
	})
	if verb == change.Release && r.Result == made {
		done = fmt.Sprintf("Released: version %d is decided; marigold status shows who serves it.", r.Answer.Outcome.Version)
	}
	return l.finish(r, done)
}

type approveCommand struct {
	answerFlags
	Digest string `required:"" help:"Digest that marigold diff showed."`
}

// Help shows an example.
func (approveCommand) Help() string { return "Example: marigold approve p1 --digest 9be8..." }

// Run approves the proposal.
func (c *approveCommand) Run(l *commandLine) error {
	return c.send(l, change.Approve, c.Digest, "Approved "+c.Proposal+".")
}

type vetoCommand struct {
	answerFlags
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
	answerFlags
	Digest string `help:"Digest of the proposal meant; checked when given."`
}

// Help shows an example.
func (releaseCommand) Help() string { return "Example: marigold release p1" }

// Run releases the proposal.
func (c *releaseCommand) Run(l *commandLine) error { return c.send(l, change.Release, c.Digest, "") }

type withholdCommand struct {
	answerFlags
}

// Help shows an example.
func (withholdCommand) Help() string {
	return "Example: marigold withhold p1 --reason 'the host is not built yet'"
}

// Run closes the proposal.
func (c *withholdCommand) Run(l *commandLine) error {
	return c.send(l, change.Withhold, "", "Withheld "+c.Proposal+".")
}
