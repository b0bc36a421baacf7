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

// draft is a staged change. It is stored in a file, so that a proposal whose
// outcome is unknown can be resent unchanged.
type draft struct {
	// ID becomes the ID of the proposal.
	ID string `json:"id"`
	// Base is the version that the edits apply to.
	Base  mesh.Version `json:"base"`
	Edits mesh.Edits   `json:"edits"`
	// Reason is the author's text.
	Reason string `json:"reason,omitempty"`
	// Sent is true from the first attempt to send the draft until its outcome
	// is known.
	Sent bool `json:"sent"`
}

// loadDraft reads the draft file; found is false if there is none.
func loadDraft(path string) (d draft, found bool, err error) {
	data, err := os.ReadFile(path)
	if eris.Is(err, fs.ErrNotExist) {
		return draft{}, false, nil
	}
	if err != nil {
		return draft{}, false, eris.Wrap(err, "read draft file")
	}
	return d, true, eris.Wrap(json.Unmarshal(data, &d), "decode draft file "+path)
}

// save replaces the draft file atomically.
func (d draft) save(path string) error {
	data, err := register.Format(d)
	if err != nil {
		return err
	}
	temporary := path + ".new"
	if err := os.WriteFile(temporary, data, 0o600); err != nil {
		return eris.Wrap(err, "write draft file")
	}
	return eris.Wrap(os.Rename(temporary, path), "replace draft file")
}

// stage is a draft being edited.
type stage struct {
	draft
	inForce mesh.Config
	target  mesh.Config // inForce with the edits applied
	// discardedDraft is true if the draft file was ignored because it has another
	// base version.
	discardedDraft bool
}

// openStage opens the draft for editing. It starts a new draft if there is none
// or if the version in force is not its base. It fails if the draft was sent and
// its outcome is unknown, since editing would prevent an identical resend.
func (l *commandLine) openStage() (stage, error) {
	current, err := l.inForce()
	if err != nil {
		return stage{}, err
	}
	saved, found, err := loadDraft(l.Draft)
	switch {
	case err != nil:
		return stage{}, err
	case found && saved.Sent:
		return stage{}, newNotMadeError("proposal " + saved.ID + " was sent and its outcome is unknown: run marigold propose again first, or delete " + l.Draft)
	case found && saved.Base == current.Version:
		return stage{draft: saved, inForce: current.Config, target: current.Config.Apply(saved.Edits)}, nil
	}
	empty := draft{ID: uuid.NewString(), Base: current.Version}
	return stage{draft: empty, inForce: current.Config, target: current.Config, discardedDraft: found}, nil
}

// inForce fetches the configuration in force from the node.
func (l *commandLine) inForce() (current operator.Configuration, err error) {
	withoutJSON := *l
	withoutJSON.JSON = false
	_, err = withoutJSON.query("/v1/configuration", &current)
	return current, err
}

// loadRegister replaces the services and hosts of the target configuration by
// those of a register file.
func (s *stage) loadRegister(path string) error {
	parsed, err := readFile(path, register.ParseRegister)
	if err != nil {
		return err
	}
	if faults := parsed.Duplicates(); len(faults) > 0 {
		return newNotMadeError(path + ": " + faults.Error())
	}
	s.target = parsed.Apply(s.target)
	return nil
}

// loadRules replaces the rules of the target configuration by those of a rules
// file.
func (s *stage) loadRules(path string) error {
	parsed, err := readFile(path, register.ParseRules)
	if err != nil {
		return err
	}
	if faults := parsed.Duplicates(); len(faults) > 0 {
		return newNotMadeError(path + ": " + faults.Error())
	}
	s.target = parsed.Apply(s.target)
	return nil
}

// computeEdits sets the edits to the difference between the configuration in
// force and the target, and returns the faults of the target.
func (s *stage) computeEdits() route.Faults {
	s.Edits = mesh.Diff(s.inForce, s.target)
	return route.Check(s.target)
}

func readFile[T any](path string, parse func([]byte) (T, error)) (T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		var none T
		return none, newNotMadeError(err.Error())
	}
	parsed, err := parse(data)
	if err != nil {
		return parsed, newNotMadeError(path + ": " + err.Error())
	}
	return parsed, nil
}

// filesInForce returns the register and the rules in force, in the form of the
// files that operators edit.
func (l *commandLine) filesInForce() (inventory.Register, inventory.Rules, error) {
	current, err := l.inForce()
	hosts, rules := inventory.Split(current.Config)
	return hosts, rules, err
}
