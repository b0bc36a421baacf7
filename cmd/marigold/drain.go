package main

import (
	"net/http"

	"github.com/marigoldshelf/marigoldshelf/front/operator"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

type drainCommand struct {
	Host mesh.HostID `arg:"" help:"The host, which must be that of the node asked (--node)."`
	Undo bool        `help:"End the drain."`
}

// Help shows an example.
func (drainCommand) Help() string {
	return "Example: marigold --node http://10.1.0.7:7300 drain fes-1\n\n" +
		"Requests in flight complete; no new ones are admitted. The drain lasts until --undo or a restart of the node."
}

// drainReport is the output of drain --json.
type drainReport struct {
	Command string                  `json:"command"`
	Result  result                  `json:"result"`
	Answer  *operator.DrainResponse `json:"answer,omitempty"`
	Error   string                  `json:"error,omitempty"`
}

// Run starts or ends the drain.
func (c *drainCommand) Run(l *commandLine) error {
	r := c.send(l)
	code := map[result]int{resultMade: exitDone, resultNotMade: exitNotMade, resultMaybeMade: exitMaybeMade}[r.Result]
	if l.JSON {
		if err := l.printJSON(r); err != nil {
			return err
		}
		return newExitError(code, "")
	}
	switch {
	case r.Result == resultMaybeMade:
		l.print("The change may have been made: %s. Check with marigold status, or repeat the command.", r.Error)
	case r.Result == resultNotMade:
		l.print("Not made: %s", r.Error)
	case r.Answer.Draining:
		l.print("Host %s is draining.", c.Host)
	default:
		l.print("Host %s accepts requests.", c.Host)
	}
	return newExitError(code, "")
}

func (c *drainCommand) send(l *commandLine) drainReport {
	path := "/v1/drain"
	if c.Undo {
		path = "/v1/undrain"
	}
	out := drainReport{Command: "drain", Result: resultNotMade}
	response, sent, err := l.request(http.MethodPost, path, operator.DrainRequest{Host: c.Host})
	switch {
	case err != nil:
		out.Error = err.Error()
		if sent {
			out.Result = resultMaybeMade
		}
	case response.status != http.StatusOK:
		out.Error = response.errorText()
	default:
		out.Answer = new(operator.DrainResponse)
		out.Result = resultMade
		if err := l.decode(response, out.Answer); err != nil {
			out.Result, out.Error = resultMaybeMade, err.Error()
		}
	}
	return out
}
