package process_test

import (
	"testing"

	"github.com/marigoldshelf/marigoldshelf/front/operator"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/test/process"
)

// member returns the entry of a host in a node's member list, or the zero value
// when there is none.
func member(t *testing.T, n *process.Node, host mesh.HostID) (found mesh.Member) {
	var status operator.Status
	process.CallOperatorAPI(t, n.Operators, process.OperatorToken, "GET", "/v1/status", nil, &status)
	for _, m := range status.Members {
		if m.Host == host {
			found = m
		}
	}
	return found
}

// TestMembersDieAndReturn kills one node and suspends another; their peers must
// list both as dead. The resumed node must refute the report of its death
// with a higher incarnation, and the killed one must be listed as alive again after
// a restart.
func TestMembersDieAndReturn(t *testing.T) {
	fleet := process.NewFleet(t)
	hosts := []mesh.HostID{"fes-1", "fes-2", "fes-3", "meknes-1", "meknes-2"}
	for _, host := range hosts {
		fleet.Add(host, mesh.Zone(host[:len(host)-2]), "desk")
	}
	eventually := func(what string, host mesh.HostID, condition func(mesh.Member) bool, observers ...mesh.HostID) {
		t.Helper()
		for _, observer := range observers {
			process.Eventually(t, string(host)+" is "+what+" at "+string(observer), func() bool {
				return condition(member(t, fleet.Nodes[observer], host))
			})
		}
	}
	isAlive := func(m mesh.Member) bool { return m.State == mesh.Alive }
	isDead := func(m mesh.Member) bool { return m.State == mesh.Dead }
	for _, host := range hosts {
		eventually("alive", host, isAlive, hosts...)
	}

	fleet.Nodes["fes-2"].NodeProcess.Kill()
	eventually("dead", "fes-2", isDead, "fes-1", "fes-3", "meknes-1", "meknes-2")

	suspended := member(t, fleet.Nodes["fes-1"], "fes-3")
	fleet.Nodes["fes-3"].NodeProcess.Suspend()
	eventually("dead", "fes-3", isDead, "fes-1", "meknes-1", "meknes-2")
	fleet.Nodes["fes-3"].NodeProcess.Resume()
	eventually("alive with the same start incarnation and a higher incarnation", "fes-3", func(m mesh.Member) bool {
		return m.State == mesh.Alive && m.StartIncarnation == suspended.StartIncarnation && m.Incarnation > suspended.Incarnation
	}, "fes-1", "fes-3", "meknes-1", "meknes-2")

	fleet.Restart("fes-2")
	for _, host := range hosts {
		eventually("alive", host, isAlive, hosts...)
	}
}
