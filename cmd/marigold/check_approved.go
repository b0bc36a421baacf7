package main

import (
	"os"

	"github.com/marigoldshelf/marigoldshelf/decide/audit"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/platform"
)

// The exit codes of check FILE.
const (
	exitWarnings = 1 // only with --strict
	exitErrors   = 2
)

// audited is the output of check FILE --json.
type audited struct {
	Version     mesh.Version       `json:"version"`
	Errors      []audit.Finding    `json:"errors"`
	Warnings    []audit.Finding    `json:"warnings"`
	Differences []audit.Difference `json:"differences"`
}

// checkApproved checks a configuration of the platform's store with the decoder and
// the checks of the nodes, and prints what it found.
func (c *checkCommand) checkApproved(l *commandLine) error {
	config, findings, err := readApproved(c.File)
	if err != nil {
		return err
	}
	report := audited{
		Version: config.Version, Errors: append(findings, audit.Errors(config)...),
		Warnings: append([]audit.Finding{}, audit.Warnings(config)...), Differences: []audit.Difference{},
	}
	if c.InForce != "" {
		inForce, unread, err := readApproved(c.InForce)
		if err != nil {
			return err
		}
		if len(unread) > 0 {
			return &exitError{exitErrors, c.InForce + ": " + unread[0].Problem}
		}
		report.Differences = append(report.Differences, audit.Differences(inForce, config)...)
	}
	report.renameFields()
	if l.JSON {
		err = l.printJSON(report)
	} else {
		report.print(l)
	}
	switch {
	case err != nil:
		return err
	case len(report.Errors) > 0:
		return &exitError{exitErrors, ""}
	case c.Strict && len(report.Warnings) > 0:
		return &exitError{exitWarnings, ""}
	}
	return nil
}

// readApproved reads a configuration. The findings are the entries that a node
// cannot read.
func readApproved(file string) (mesh.ApprovedConfig, []audit.Finding, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return mesh.ApprovedConfig{}, nil, &exitError{exitErrors, err.Error()}
	}
	config, failures := platform.DecodeAll(raw)
	findings := []audit.Finding{}
	for _, failure := range failures {
		findings = append(findings, audit.Finding{Entry: "configuration", Problem: failure.Error()})
	}
	return config, findings, nil
}

// renameFields replaces the names of fields by those that the operator uses.
func (r audited) renameFields() {
	for _, list := range [][]audit.Finding{r.Errors, r.Warnings} {
		for i := range list {
			list[i].Field = platform.FieldName(list[i].Field)
		}
	}
	for i := range r.Differences {
		r.Differences[i].Field = platform.FieldName(r.Differences[i].Field)
	}
}

// print prints the report as text.
func (r audited) print(l *commandLine) {
	for _, f := range r.Errors {
		l.print("error    %s", findingText(f))
	}
	for _, f := range r.Warnings {
		l.print("warning  %s", findingText(f))
	}
	for _, d := range r.Differences {
		entry := d.Entry
		if d.Field != "" {
			entry += ", " + d.Field
		}
		l.print("differs  %s: %s -> %s", entry, quoteEmpty(d.Before), quoteEmpty(d.After))
	}
	if len(r.Errors)+len(r.Warnings)+len(r.Differences) == 0 {
		l.print("No faults.")
	}
}

func findingText(f audit.Finding) string {
	if f.Field == "" {
		return f.Entry + ": " + f.Problem
	}
	return f.Entry + ", " + f.Field + ": " + f.Problem
}

// quoteEmpty makes an empty value visible.
func quoteEmpty(value string) string {
	if value == "" {
		return `""`
	}
	return value
}
