// Command marigold is the command line for operators and customers. It stages
// and proposes changes of the mesh's configuration, approves and releases them,
// shows the state of nodes, and runs measurements. It sends requests to the
// operator API of one node and keeps the staged change in a local file.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

// The exit codes.
const (
	exitDone      = 0 // the change was made, or the query was answered
	exitFailed    = 1 // the query failed, or the check found faults
	exitUsage     = 2 // the command line is invalid; nothing was sent
	exitNotMade   = 3 // the change was not made
	exitMaybeMade = 4 // the change may have been made; the output says how to check
)

const description = `Manage the routing configuration of a service mesh: edit the asset register and
the rules, propose the change, let its customers approve it, release it.

  marigold register register.json       stage an edited register
  marigold rules rules.json             stage edited rules
  marigold propose                      propose what is staged
  marigold diff p1                      what p1 changes, and its digest
  marigold approve p1 --digest D        as its customer
  marigold release p1                   put it in force

Exit codes: 0 made or answered, 1 a query or check failed, 2 usage, 3 the change
was not made, 4 it may have been made (the output says how to check).`

// commandLine holds the global flags and the commands; kong derives their names
// from the fields.
type commandLine struct {
	Node  string `default:"http://127.0.0.1:7300" env:"MARIGOLD_NODE" help:"URL of a node's operators' listener."`
	Token string `env:"MARIGOLD_TOKEN" help:"Credential; better given by the environment."`
	JSON  bool   `name:"json" help:"Print JSON."`
	Draft string `default:"marigold-draft.json" env:"MARIGOLD_DRAFT" type:"path" help:"File that keeps what is staged."`

	Register registerCommand `cmd:"" help:"Stage an edited asset register; without a file, print the one in force."`
	Rules    rulesCommand    `cmd:"" help:"Stage edited rules; without a file, print those in force."`
	Propose  proposeCommand  `cmd:"" help:"Propose what is staged, or the files given."`
	Approve  approveCommand  `cmd:"" help:"Approve a proposal, as a customer concerned."`
	Veto     vetoCommand     `cmd:"" help:"Veto a proposal, as a customer concerned."`
	Release  releaseCommand  `cmd:"" help:"Put an approved proposal in force."`
	Withhold withholdCommand `cmd:"" help:"Close a proposal without releasing it."`
	Status   statusCommand   `cmd:"" help:"Show zones, versions, members, slots, refusals and the platform."`
	Diff     diffCommand     `cmd:"" help:"Show what a proposal changes in routes and resources."`
	History  historyCommand  `cmd:"" help:"Show the proposals and what was said to them, or what became of one record."`
	Watch    watchCommand    `cmd:"" help:"Show changes as they come, until interrupted."`
	Drain    drainCommand    `cmd:"" help:"Let a host's backend server take no new work; its node must be the one asked."`
	Check    checkCommand    `cmd:"" help:"Check files without a node."`
	Story    storyCommand    `cmd:"" help:"Print what the nodes' logs say of one request, in order."`
	Measure  measureCommand  `cmd:"" help:"Send load, or measure decisions and distribution on a virtual clock."`

	out io.Writer
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run executes one command and returns its exit code.
func run(args []string, out, errs io.Writer) int {
	line := commandLine{out: out}
	parserExit := -1 // set when the parser exits, as it does for --help
	parser, err := kong.New(&line, kong.Name("marigold"), kong.Description(description),
		kong.Writers(out, errs), kong.Exit(func(code int) { parserExit = code }), kong.ConfigureHelp(kong.HelpOptions{NoExpandSubcommands: true}))
	if err != nil {
		fmt.Fprintln(errs, "marigold:", err)
		return exitUsage
	}
	parsed, err := parser.Parse(args)
	if parserExit >= 0 {
		return parserExit
	}
	if err != nil {
		fmt.Fprintln(errs, "marigold:", err)
		return exitUsage
	}
	return exitCode(parsed.Run(&line), errs)
}

// exitError is an error with an exit code. If the text is empty, nothing is
// printed.
type exitError struct {
	code int
	text string
}

// Error implements error.
func (f *exitError) Error() string { return f.text }

func newNotMadeError(text string) error { return &exitError{exitNotMade, text} }

// exitCode prints the error, if any, and returns the exit code.
func exitCode(err error, errs io.Writer) int {
	if err == nil {
		return exitDone
	}
	var f *exitError
	if !errors.As(err, &f) {
		f = &exitError{exitFailed, err.Error()}
	}
	if f.text != "" {
		fmt.Fprintln(errs, "marigold:", f.text)
	}
	return f.code
}
