package main

import (
	"encoding/json"

	"github.com/marigoldshelf/marigoldshelf/measure/convergence"
)

// convergenceCommand simulates the distribution of releases on a virtual clock
// and compares it with a fleet in which every node polls the platform.
type convergenceCommand struct {
	Nodes   []int  `default:"13,50,100,200" help:"Sizes of the fleet."`
	Zones   int    `default:"4" help:"Availability zones."`
	Changes int    `default:"50" help:"Releases for each size."`
	Seed    uint64 `default:"1" help:"Seed of delays and draws."`
}

// Run prints one JSON object for each fleet size and distribution scheme.
func (c *convergenceCommand) Run(l *commandLine) error {
	out := json.NewEncoder(l.out)
	for _, nodes := range c.Nodes {
		for _, scheme := range []convergence.Scheme{convergence.Tree, convergence.AllReaders} {
			result, err := convergence.Measure(scheme, nodes, c.Zones, c.Changes, c.Seed)
			if err != nil {
				return err
			}
			if err := out.Encode(result); err != nil {
				return err
			}
		}
	}
	return nil
}
