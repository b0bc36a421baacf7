package main

import (
	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/encoding/register"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/settings"
)

type checkCommand struct {
	File     string `arg:"" optional:"" type:"existingfile" help:"Configuration of the platform's store."`
	InForce  string `type:"existingfile" help:"Version in force, to compare FILE with."`
	Strict   bool   `help:"Warnings about FILE are failures, with exit code 1."`
	Settings string `type:"existingfile" help:"Settings file of a node."`
	Register string `type:"existingfile" help:"Asset register."`
	Rules    string `type:"existingfile" help:"Rules; checked against the register."`
}

// Help shows an example.
func (checkCommand) Help() string {
	return `Examples: marigold check --settings node.json --register register.json --rules rules.json
marigold check config.json --in-force current.json

Exit codes with FILE: 0 no errors, 1 warnings with --strict, 2 errors.`
}

// checked is the output of check --json.
type checked struct {
	Faults route.Faults `json:"faults"`
}

// Run checks the files and prints every fault.
func (c *checkCommand) Run(l *commandLine) error {
	if c.File != "" {
		return c.checkApproved(l)
	}
	faults := append(c.checkSettings(), c.checkConfig()...)
	if l.JSON {
		if err := l.printJSON(checked{Faults: append(route.Faults{}, faults...)}); err != nil {
			return err
		}
	} else if len(faults) == 0 {
		l.print("No faults.")
	} else {
		l.printFaults(faults)
	}
	if len(faults) > 0 {
		return &exitError{exitFailed, ""}
	}
	return nil
}

func (c *checkCommand) checkSettings() route.Faults {
	if c.Settings == "" {
		return nil
	}
	if _, err := settings.Load(c.Settings); err != nil {
		return route.Faults{{Location: c.Settings, Message: err.Error()}}
	}
	return nil
}

func (c *checkCommand) checkConfig() (faults route.Faults) {
	var config mesh.Config
	if c.Register != "" {
		parsed, err := readFile(c.Register, register.ParseRegister)
		if err != nil {
			return route.Faults{{Location: c.Register, Message: err.Error()}}
		}
		faults = append(faults, parsed.Duplicates()...)
		config = parsed.Apply(config)
	}
	if c.Rules != "" {
		parsed, err := readFile(c.Rules, register.ParseRules)
		if err != nil {
			return append(faults, route.Fault{Location: c.Rules, Message: err.Error()})
		}
		faults = append(faults, parsed.Duplicates()...)
		config = parsed.Apply(config)
	}
	return append(faults, route.Check(config)...)
}
