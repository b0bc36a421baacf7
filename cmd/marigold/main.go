// Command marigold is the command line of operators and customers.
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
	exitDone      = 0 // the change was made, or the question answered
	exitFailed    = 1 // a question was not answered, or a check found faults
	exitUsage     = 2 // the command line is wrong; nothing was sent
	exitNotMade   = 3 // the change was not made
	exitMayBeMade = 4 // the change may have been made; the output says how to ask
)

const description = `Keep the routing configuration of a service mesh: edit the asset register and
the rules, propose the change, let its customers approve it, release it.

  marigold register register.json       stage an edited register
  marigold rules rules.json             stage edited rules
  marigold propose                      propose what is staged
  marigold diff p1                      what p1 changes, and its digest
  marigold approve p1 --digest D        as its customer
  marigold release p1                   put it in force

Exit codes: 0 made or answered, 1 a question failed, 2 usage, 3 the change was
not made, 4 it may have been made (the output says how to ask).`

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

// run does one command and returns its exit code.
func run(args []string, out, errs io.Writer) int {
	line := commandLine{out: out}
	exited := -1
	parser, err := kong.New(&line, kong.Name("marigold"), kong.Description(description),
		kong.Writers(out, errs), kong.Exit(func(code int) { exited = code }), kong.ConfigureHelp(kong.HelpOptions{NoExpandSubcommands: true}))
	if err != nil {
		fmt.Fprintln(errs, "marigold:", err)
		return exitUsage
	}
	parsed, err := parser.Parse(args)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		fmt.Fprintln(errs, "marigold:", err)
		return exitUsage
	}
	return exitCode(parsed.Run(&line), errs)
}

// failure is an error with its exit code.
type failure struct {
	code int
	text string
}

// Error returns the text.
func (f *failure) Error() string { return f.text }

func notMade(text string) error { return &failure{exitNotMade, text} }

// exitCode prints the error, if there is one, and returns its code.
func exitCode(err error, errs io.Writer) int {
	if err == nil {
		return exitDone
	}
	var f *failure
	if !errors.As(err, &f) {
		f = &failure{exitFailed, err.Error()}
	}
	if f.text != "" {
		fmt.Fprintln(errs, "marigold:", f.text)
	}
	return f.code
}
