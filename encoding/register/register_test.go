package register_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/inventory"
	"github.com/marigoldshelf/marigoldshelf/decide/route"
	"github.com/marigoldshelf/marigoldshelf/encoding/register"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// FuzzParse: whatever is read can be checked, and written and read again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"services":[{"name":"desk","customer":"menders"}],"hosts":[{"id":"fes-1","zone":"fes","service":"desk"}]}`))
	f.Add([]byte(`{"rules":[{"id":"r","host_name":"a.example","path_prefix":"/..","service":"desk","class":"lookup"}]}`))
	f.Add([]byte(`{"services":null} x`))
	f.Add([]byte(`{"hosts":[{"id":"a"},{"id":"a"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		hosts, hostsErr := register.ParseRegister(data)
		rules, rulesErr := register.ParseRules(data)
		c := rules.Apply(hosts.Apply(mesh.Config{}))
		hosts.Faults()
		if _, faults := route.Compile(1, c); len(faults) > 0 {
			must.NotEq(t, "", faults.Error())
		}
		if hostsErr == nil && len(hosts.Faults()) == 0 {
			again, _ := inventory.Split(c)
			must.Eq(t, c.Hosts, reread(t, again).Apply(c).Hosts)
		}
		if rulesErr == nil && hostsErr == nil && len(data) > 0 {
			must.SliceEmpty(t, rules.Rules) // only an object with neither key is both
		}
	})
}

func reread(t *testing.T, r inventory.Register) inventory.Register {
	data, err := register.Format(r)
	must.NoError(t, err)
	out, err := register.ParseRegister(data)
	must.NoError(t, err)
	return out
}

func TestEntriesListedTwiceAreFaults(t *testing.T) {
	r, err := register.ParseRegister([]byte(`{"services":[{"name":"a"},{"name":"b"},{"name":"a"}],"hosts":[{"id":"h"},{"id":"h"}]}`))
	must.NoError(t, err)
	must.Eq(t, "service a: is listed twice, as entry 1 and entry 3; host h: is listed twice, as entry 1 and entry 2", r.Faults().Error())
	_, err = register.ParseRegister([]byte(`{"hosts":[{"id":"h","zonne":"z"}]}`))
	must.ErrorContains(t, err, "zonne")
}
