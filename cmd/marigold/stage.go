package main

import (
	"os"

	"github.com/google/uuid"

	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/encoding/register"
	"github.com/marigoldshelf/marigoldshelf/front/operator"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

type registerCommand struct {
	File string `arg:"" optional:"" type:"existingfile" help:"Asset register (JSON): services and hosts."`
}

// Help shows an example.
func (registerCommand) Help() string {
	return "Example: marigold register > register.json; edit it; marigold register register.json\n\n" +
		"Nothing is written to the log: staged edits stay in the draft file until marigold propose."
}

// Run stages the register, or prints the one in force.
func (c *registerCommand) Run(l *commandLine) error {
	if c.File == "" {
		hosts, _, err := l.filesInForce()
		return l.printFile(hosts, err)
	}
	return l.stageFile(func(s *stage) error { return s.loadRegister(c.File) })
}

type rulesCommand struct {
	File string `arg:"" optional:"" type:"existingfile" help:"Rules (JSON)."`
}

// Help shows an example.
func (rulesCommand) Help() string {
	return "Example: marigold rules > rules.json; edit it; marigold rules rules.json"
}

// Run stages the rules, or prints those in force.
func (c *rulesCommand) Run(l *commandLine) error {
	if c.File == "" {
		_, rules, err := l.filesInForce()
		return l.printFile(rules, err)
	}
	return l.stageFile(func(s *stage) error { return s.loadRules(c.File) })
}

func (l *commandLine) printFile(value any, err error) error {
	if err != nil {
		return err
	}
	data, err := register.Format(value)
	if err != nil {
		return err
	}
	_, err = l.out.Write(data)
	return err
}

// staged is the output of register --json and rules --json for a staged file.
type staged struct {
	Base   mesh.Version `json:"base"`
	Edits  int          `json:"edits"`
	Faults route.Faults `json:"faults"`
	change.Comparison
}

// stageFile opens the stage, applies a file to it by load, saves the draft and
// prints the edits. Faults of the result are printed but do not prevent staging.
func (l *commandLine) stageFile(load func(*stage) error) error {
	s, err := l.openStage()
	if err != nil {
		return err
	}
	if err := load(&s); err != nil {
		return err
	}
	faults := s.computeEdits()
	if err := s.save(l.Draft); err != nil {
		return newNotMadeError(err.Error())
	}
	comparison := change.Compare(s.inForce, s.target)
	if l.JSON {
		return l.printJSON(staged{Base: s.Base, Edits: s.Edits.Len(), Faults: faults, Comparison: comparison})
	}
	if s.discardedDraft {
		l.print("An older draft was discarded: the version that it is based on is not the one in force.")
	}
	l.print("Staged %d edits of version %d in %s. Nothing is proposed yet.", s.Edits.Len(), s.Base, l.Draft)
	l.printComparison(comparison)
	if len(faults) > 0 {
		l.print("A proposal of these edits would be refused:")
		l.printFaults(faults)
	}
	return nil
}

func (l *commandLine) printFaults(faults route.Faults) {
	for _, f := range faults {
		l.print("  %s: %s", f.Location, f.Message)
	}
}

type proposeCommand struct {
	Register string `type:"existingfile" help:"Stage this asset register first."`
	Rules    string `type:"existingfile" help:"Stage these rules first."`
	ID       string `name:"id" help:"ID of the proposal; made up when left out."`
	Reason   string `help:"Why."`
}

// Help shows an example.
func (proposeCommand) Help() string {
	return "Example: marigold propose --register register.json --rules rules.json --id june\n\n" +
		"A proposal whose outcome is unknown stays in the draft file; running propose again resends it, and it is applied only once."
}

// Run proposes what is staged.
func (c *proposeCommand) Run(l *commandLine) error {
	d, resent, err := c.prepare(l)
	if err != nil {
		return err
	}
	d.Sent = true
	if err := d.save(l.Draft); err != nil {
		return newNotMadeError(err.Error())
	}
	r := l.submit(changeRequest{
		command: "propose", path: "/v1/proposals", id: d.ID, repeated: resent || c.ID != "",
		body: operator.ProposeRequest{ID: d.ID, Base: d.Base, Edits: &d.Edits, Reason: d.Reason},
	})
	if err := d.updateAfterSend(l.Draft, r.Result); err != nil {
		return err
	}
	madeText := "Proposed " + d.ID + ". marigold diff " + d.ID + " shows what its customers approve."
	return l.printResult(r, madeText)
}

// prepare returns the draft to send, and whether it was sent before. A draft that
// was sent and whose outcome is unknown is returned unchanged, unless files are
// given.
func (c *proposeCommand) prepare(l *commandLine) (draft, bool, error) {
	d, found, err := loadDraft(l.Draft)
	if err != nil {
		return draft{}, false, err
	}
	withFiles := c.Register != "" || c.Rules != ""
	if found && d.Sent && !withFiles {
		return d, true, nil
	}
	s, err := l.openStage()
	if err != nil {
		return draft{}, false, err
	}
	if err := c.loadFiles(&s); err != nil {
		return draft{}, false, err
	}
	s.computeEdits()
	if s.Edits.Empty() {
		return draft{}, false, newNotMadeError("no staged edit changes the version in force")
	}
	if c.ID != "" {
		s.ID = c.ID
	}
	s.Reason = c.Reason
	return s.draft, false, nil
}

// loadFiles applies the files given as flags to the stage.
func (c *proposeCommand) loadFiles(s *stage) error {
	if c.Register != "" {
		if err := s.loadRegister(c.Register); err != nil {
			return err
		}
	}
	if c.Rules != "" {
		return s.loadRules(c.Rules)
	}
	return nil
}

// updateAfterSend updates the draft file by the result of the proposal. It deletes
// a draft that was proposed. A draft that was refused gets a new ID, since the log
// may contain the old one. A draft whose outcome is unknown is kept unchanged.
func (d draft) updateAfterSend(path string, r result) error {
	switch r {
	case resultMade:
		return os.Remove(path)
	case resultNotMade:
		d.Sent = false
		d.ID = uuid.NewString()
	}
	return d.save(path)
}
