package main

import (
	"encoding/json"
	"io/fs"
	"os"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/decide/inventory"
	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/encoding/register"
	"github.com/marigoldshelf/marigoldshelf/front/operator"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// draft is what is staged: a change of the version that it was made from. It is
// kept in a file, so that a proposal whose end is unknown can be sent again
// exactly as it was.
type draft struct {
	ID    string       `json:"id"`
	Base  mesh.Version `json:"base"`
	Edits mesh.Edits   `json:"edits"`
	// Reason is the author's text.
	Reason string `json:"reason,omitempty"`
	// Sent is true from the first time that it is sent until its end is known.
	Sent bool `json:"sent"`
}

// loadDraft returns the staged draft, and whether there is one.
func loadDraft(path string) (d draft, found bool, err error) {
	data, err := os.ReadFile(path)
	if eris.Is(err, fs.ErrNotExist) {
		return draft{}, false, nil
	}
	if err != nil {
		return draft{}, false, eris.Wrap(err, "draft")
	}
	return d, true, eris.Wrap(json.Unmarshal(data, &d), "draft "+path)
}

// save replaces the file in one step.
func (d draft) save(path string) error {
	data, err := register.Format(d)
	if err != nil {
		return err
	}
	next := path + ".new"
	if err := os.WriteFile(next, data, 0o600); err != nil {
		return eris.Wrap(err, "draft")
	}
	return eris.Wrap(os.Rename(next, path), "draft")
}

// stage is a draft under work, with the configuration in force that it changes.
type stage struct {
	draft
	inForce mesh.Config
	wanted  mesh.Config
	// outdated is true when an older draft was left out.
	outdated bool
}

// openStage begins with the draft, or afresh when there is none or it was made
// from another version. A draft that was sent and has no known end is left
// alone.
func (l *commandLine) openStage() (stage, error) {
	current, err := l.inForce()
	if err != nil {
		return stage{}, err
	}
	staged, found, err := loadDraft(l.Draft)
	switch {
	case err != nil:
		return stage{}, err
	case found && staged.Sent:
		return stage{}, notMade("proposal " + staged.ID + " was sent and its end is not known: run marigold propose again first, or delete " + l.Draft)
	case found && staged.Base == current.Version:
		return stage{draft: staged, inForce: current.Config, wanted: current.Config.Apply(staged.Edits)}, nil
	}
	fresh := draft{ID: uuid.NewString(), Base: current.Version}
	return stage{draft: fresh, inForce: current.Config, wanted: current.Config, outdated: found}, nil
}

// inForce asks the node for the configuration in force.
func (l *commandLine) inForce() (current operator.Configuration, err error) {
	asker := *l
	asker.JSON = false
	_, err = asker.query("/v1/configuration", &current)
	return current, err
}

// takeRegister reads a register file into the configuration wanted.
func (s *stage) takeRegister(path string) error {
	parsed, err := readFile(path, register.ParseRegister)
	if err != nil {
		return err
	}
	if faults := parsed.Faults(); len(faults) > 0 {
		return notMade(path + ": " + faults.Error())
	}
	s.wanted = parsed.Apply(s.wanted)
	return nil
}

// takeRules reads a rules file into the configuration wanted.
func (s *stage) takeRules(path string) error {
	parsed, err := readFile(path, register.ParseRules)
	if err != nil {
		return err
	}
	if faults := parsed.Faults(); len(faults) > 0 {
		return notMade(path + ": " + faults.Error())
	}
	s.wanted = parsed.Apply(s.wanted)
	return nil
}

// settle works the edits out, and returns the faults of the whole.
func (s *stage) settle() route.Faults {
	s.Edits = mesh.Diff(s.inForce, s.wanted)
	return route.Check(s.wanted)
}

func readFile[T any](path string, parse func([]byte) (T, error)) (T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		var none T
		return none, notMade(err.Error())
	}
	parsed, err := parse(data)
	if err != nil {
		return parsed, notMade(path + ": " + err.Error())
	}
	return parsed, nil
}

// splitInForce returns the register and the rules in force, as files to edit.
func (l *commandLine) splitInForce() (inventory.Register, inventory.Rules, error) {
	current, err := l.inForce()
	hosts, rules := inventory.Split(current.Config)
	return hosts, rules, err
}
