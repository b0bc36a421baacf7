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
		"Nothing is sent to the log: what is staged stays in the draft file until marigold propose."
}

// Run stages the register, or prints the one in force.
func (c *registerCommand) Run(l *commandLine) error {
	if c.File == "" {
		hosts, _, err := l.splitInForce()
		return l.printFile(hosts, err)
	}
	return l.stageFile(func(s *stage) error { return s.takeRegister(c.File) })
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
		_, rules, err := l.splitInForce()
		return l.printFile(rules, err)
	}
	return l.stageFile(func(s *stage) error { return s.takeRules(c.File) })
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

// staged is what --json prints of a staged file.
type staged struct {
	Base   mesh.Version `json:"base"`
	Edits  int          `json:"edits"`
	Faults route.Faults `json:"faults"`
	change.View
}

func (l *commandLine) stageFile(take func(*stage) error) error {
	s, err := l.openStage()
	if err != nil {
		return err
	}
	if err := take(&s); err != nil {
		return err
	}
	faults := s.settle()
	if err := s.save(l.Draft); err != nil {
		return notMade(err.Error())
	}
	view := change.Compare(s.inForce, s.wanted)
	if l.JSON {
		return l.printJSON(staged{Base: s.Base, Edits: s.Edits.Len(), Faults: faults, View: view})
	}
	if s.outdated {
		l.print("An older draft was left out: it was made from another version than the one in force.")
	}
	l.print("Staged %d edits of version %d in %s. Nothing is proposed yet.", s.Edits.Len(), s.Base, l.Draft)
	l.printView(view)
	if len(faults) > 0 {
		l.print("As it stands the whole would be refused:")
		l.printFaults(faults)
	}
	return nil
}

func (l *commandLine) printFaults(faults route.Faults) {
	for _, f := range faults {
		l.print("  %s: %s", f.Where, f.What)
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
		"A proposal whose end is not known stays in the draft file; running propose again sends it again, and it counts once."
}

// Run proposes what is staged.
func (c *proposeCommand) Run(l *commandLine) error {
	d, resent, err := c.prepare(l)
	if err != nil {
		return err
	}
	d.Sent = true
	if err := d.save(l.Draft); err != nil {
		return notMade(err.Error())
	}
	r := l.submit(changeRequest{
		command: "propose", path: "/v1/proposals", id: d.ID, repeated: resent || c.ID != "",
		body: operator.ProposeRequest{ID: d.ID, Base: d.Base, Edits: &d.Edits, Reason: d.Reason},
	})
	if err := d.keep(l.Draft, r.Result); err != nil {
		return err
	}
	done := "Proposed " + d.ID + ". marigold diff " + d.ID + " shows what its customers approve."
	return l.finish(r, done)
}

// prepare returns the draft to send, and whether it was sent before.
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
	if err := c.take(&s); err != nil {
		return draft{}, false, err
	}
	s.settle()
	if s.Edits.Empty() {
		return draft{}, false, notMade("nothing is staged that changes the version in force")
	}
	if c.ID != "" {
		s.ID = c.ID
	}
	s.Reason = c.Reason
	return s.draft, false, nil
}

func (c *proposeCommand) take(s *stage) error {
	if c.Register != "" {
		if err := s.takeRegister(c.Register); err != nil {
			return err
		}
	}
	if c.Rules != "" {
		return s.takeRules(c.Rules)
	}
	return nil
}

// keep deletes a draft that was proposed. One that was refused gets another ID,
// since the log may have the old one; one without a known end stays as it is.
func (d draft) keep(path string, r result) error {
	switch r {
	case made:
		return os.Remove(path)
	case unmade:
		d.Sent = false
		d.ID = uuid.NewString()
	}
	return d.save(path)
}
