package queuemodel

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The counter of deployment A, where one kind of server slows down before it is
// full. Guards against a learned limit and choice that serve fewer requests within
// their objective than without, and against more refusals.
func TestLearnedLimitServesACrowdedServiceBetter(t *testing.T) {
	for _, s := range speedScenarios(seed) {
		if s.name != "counter_crowded" {
			continue
		}
		s.Duration = 10 * time.Second
		schemes := speedSchemes(s.speeds, s.Zones)
		off := speedFigures(s.name, "off", simulate(s.Scenario, schemes[1]))
		learned := speedFigures(s.name, "learned", simulate(s.Scenario, schemes[2]))
		t.Log(off, learned)
		must.Greater(t, number(off, "in_objective_ratio"), number(learned, "in_objective_ratio"))
		must.LessEq(t, number(off, "refused_ratio"), number(learned, "refused_ratio"))
	}
}
