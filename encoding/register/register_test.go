package register_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/inventory"
	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/encoding/register"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// FuzzParse checks that every file that is accepted can be validated and
// compiled, and that a valid register survives another round trip.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"services":[{"name":"desk","customer":"menders"}],"hosts":[{"id":"fes-1","zone":"fes","service":"desk"}]}`))
	f.Add([]byte(`{"rules":[{"id":"r","host_name":"a.example","path_prefix":"/..","service":"desk","class":"lookup"}]}`))
	f.Add([]byte(`{"services":null} x`))
	f.Add([]byte(`{"hosts":[{"id":"a"},{"id":"a"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		hosts, hostsErr := register.ParseRegister(data)
		rules, rulesErr := register.ParseRules(data)
		c := rules.Apply(hosts.Apply(mesh.Config{}))
		hosts.Duplicates()
		if _, faults := route.Compile(1, c); len(faults) > 0 {
			must.NotEq(t, "", faults.Error())
		}
		if hostsErr == nil && len(hosts.Duplicates()) == 0 {
			again, _ := inventory.Split(c)
			must.Eq(t, c.Hosts, reparse(t, again).Apply(c).Hosts)
		}
		if rulesErr == nil && hostsErr == nil && len(data) > 0 {
			must.SliceEmpty(t, rules.Rules) // only an object with none of the keys parses as both
		}
	})
}

// reparse formats and parses a register.
func reparse(t *testing.T, r inventory.Register) inventory.Register {
	data, err := register.Format(r)
	must.NoError(t, err)
	parsed, err := register.ParseRegister(data)
	must.NoError(t, err)
	return parsed
}

func TestDuplicateEntriesAndUnknownKeys(t *testing.T) {
	r, err := register.ParseRegister([]byte(`{"services":[{"name":"a"},{"name":"b"},{"name":"a"}],"hosts":[{"id":"h"},{"id":"h"}]}`))
	must.NoError(t, err)
	must.Eq(t, "service a: is listed twice, as entry 1 and entry 3; host h: is listed twice, as entry 1 and entry 2", r.Duplicates().Error())
	_, err = register.ParseRegister([]byte(`{"hosts":[{"id":"h","zonne":"z"}]}`))
	must.ErrorContains(t, err, "zonne")
}
