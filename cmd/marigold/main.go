// Command marigold is the command line of operators and customers.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/front/operator"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// requestTimeout bounds one request to a node.
const requestTimeout = 15 * time.Second

type commandLine struct {
	Node  string `default:"http://127.0.0.1:7300" env:"MARIGOLD_NODE" help:"URL of a node's operators' listener."`
	Token string `env:"MARIGOLD_TOKEN" help:"Credential."`

	Status   getCommand      `cmd:"" help:"Show the node, its version and its members."`
	Propose  proposeCommand  `cmd:"" help:"Propose a configuration."`
	Approve  answerCommand   `cmd:"" help:"Approve a proposal, as its customer."`
	Veto     answerCommand   `cmd:"" help:"Veto a proposal, as its customer."`
	Release  answerCommand   `cmd:"" help:"Put an approved proposal in force."`
	Withhold answerCommand   `cmd:"" help:"Close a proposal without releasing it."`
	Simulate simulateCommand `cmd:"" help:"Run the request path's decisions against a queue model."`
	Measure  measureCommand  `cmd:"" help:"Send load at given rates and report what came of it."`
}

func main() {
	var line commandLine
	parsed := kong.Parse(&line, kong.Name("marigold"), kong.UsageOnError())
	parsed.FatalIfErrorf(parsed.Run(&line, parsed.Command()))
}

type getCommand struct{}

// Run prints the node's status.
func (getCommand) Run(line *commandLine) error {
	return line.do(http.MethodGet, "/v1/status", nil)
}

type proposeCommand struct {
	File string       `arg:"" help:"Configuration file (JSON): services, hosts, rules."`
	Base mesh.Version `help:"Version that the file was made from."`
	ID   string       `help:"ID of the proposal; made up when left out."`
}

// Run submits the proposal.
func (c *proposeCommand) Run(line *commandLine) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return eris.Wrap(err, "propose")
	}
	request := operator.ProposeRequest{ID: c.ID, Base: c.Base}
	if err := json.Unmarshal(data, &request.Config); err != nil {
		return eris.Wrap(err, "propose")
	}
	return line.do(http.MethodPost, "/v1/proposals", request)
}

type answerCommand struct {
	Proposal string `arg:"" help:"ID of the proposal."`
	Digest   string `help:"Digest of the proposal's content, to approve or veto."`
	Reason   string `help:"Why, to veto or withhold."`
}

// Run submits the answer; the verb is the command's own name.
func (c *answerCommand) Run(line *commandLine, command string) error {
	var verb string
	fmt.Sscan(command, &verb)
	request := operator.AnswerRequest{Digest: c.Digest, Reason: c.Reason}
	return line.do(http.MethodPost, "/v1/proposals/"+c.Proposal+"/"+verb, request)
}

// do sends one request and prints its answer.
func (l *commandLine) do(method, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encode")
	}
	request, err := http.NewRequest(method, l.Node+path, bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "request")
	}
	request.Header.Set("Authorization", "Bearer "+l.Token)
	request.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: requestTimeout}
	response, err := client.Do(request)
	if err != nil {
		return eris.Wrap(err, "request")
	}
	defer response.Body.Close()
	if _, err := io.Copy(os.Stdout, response.Body); err != nil {
		return eris.Wrap(err, "read answer")
	}
	fmt.Println()
	if response.StatusCode >= http.StatusBadRequest {
		return eris.Errorf("the node answered %s", response.Status)
	}
	return nil
}
