package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/node"
	"github.com/marigoldshelf/marigoldshelf/settings"
)

const (
	operatorToken = "operator-secret-0001"
	customerToken = "customer-secret-0001"
	customer      = mesh.Customer("standin")
)

// fleet holds the running processes.
type fleet struct {
	folder    string // holds settings files and the processes' standard error
	platform  string // address of platform-standin
	nodes     []hostNode
	processes []*exec.Cmd
}

// hostNode describes a host and the node that runs on it.
type hostNode struct {
	host mesh.Host
	node.Addresses
	pid int // of the node
}

// startFleet starts every process. The caller must stop the returned fleet, also
// after an error.
func startFleet(args arguments) (*fleet, error) {
	f := &fleet{}
	if args.Nodes < 1 || args.Nodes > 400 || args.Zones < 1 || args.Services < 1 {
		return f, eris.New("nodes must be 1 to 400, zones and services at least 1")
	}
	folder, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return f, eris.Wrap(err, "create folder for settings")
	}
	f.folder = folder
	var address struct{ Address string }
	if _, err := f.startProcess(&address, filepath.Join(args.Programs, "platform-standin")); err != nil {
		return f, err
	}
	f.platform = address.Address
	for i := range args.Nodes {
		if err := f.startHost(args, i); err != nil {
			return f, err
		}
	}
	return f, nil
}

// startProcess starts a program, decodes the first line of its output into
// addresses, and returns its process ID.
func (f *fleet) startProcess(addresses any, program string, programArgs ...string) (int, error) {
	command := exec.Command(program, programArgs...)
	log, err := os.OpenFile(filepath.Join(f.folder, "log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return 0, eris.Wrap(err, "open log of the processes")
	}
	defer log.Close()
	command.Stderr = log
	out, err := command.StdoutPipe()
	if err != nil {
		return 0, eris.Wrap(err, "open pipe for process output")
	}
	if err := command.Start(); err != nil {
		return 0, eris.Wrapf(err, "start %s", program)
	}
	f.processes = append(f.processes, command)
	line, err := bufio.NewReader(out).ReadBytes('\n')
	if err != nil {
		return 0, eris.Wrapf(err, "read addresses that %s prints", program)
	}
	return command.Process.Pid, eris.Wrap(json.Unmarshal(line, addresses), "decode addresses of a process")
}

func (f *fleet) startHost(args arguments, i int) error {
	host := mesh.Host{
		ID:      mesh.HostID(fmt.Sprintf("host-%03d", i)),
		Zone:    mesh.Zone(fmt.Sprintf("zone-%02d", i%args.Zones)),
		Service: mesh.ServiceName(fmt.Sprintf("service-%02d", i/args.Zones%args.Services)),
	}
	var backend struct{ Address string }
	if _, err := f.startProcess(&backend, filepath.Join(args.Programs, "backend-standin"), "--name", string(host.ID)); err != nil {
		return err
	}
	file, err := f.writeSettings(args, host, backend.Address)
	if err != nil {
		return err
	}
	m := hostNode{host: host}
	m.pid, err = f.startProcess(&m.Addresses, filepath.Join(args.Programs, "marigoldd"), file)
	f.nodes = append(f.nodes, m)
	return err
}

func (f *fleet) writeSettings(args arguments, host mesh.Host, backend string) (string, error) {
	data, err := json.Marshal(settings.Settings{
		Host:     host.ID,
		Zone:     host.Zone,
		Listen:   settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0"},
		Backend:  settings.Backend{Service: host.Service, Address: backend, Slots: args.Slots},
		Platform: settings.Platform{URL: "http://" + f.platform},
		Credentials: []settings.Credential{
			{Name: "op", Role: change.Operator, Token: operatorToken},
			{Name: "cu", Role: change.CustomerRole, Customer: customer, Token: customerToken},
		},
	})
	if err != nil {
		return "", eris.Wrap(err, "encode settings")
	}
	file := filepath.Join(f.folder, string(host.ID)+".json")
	return file, eris.Wrap(os.WriteFile(file, data, 0o600), "write settings")
}

// stop kills every process that was started and removes the settings folder.
func (f *fleet) stop() {
	for _, c := range f.processes {
		// Errors are ignored, since a process may have exited already.
		_ = c.Process.Kill()
		_ = c.Wait()
	}
	if f.folder != "" {
		_ = os.RemoveAll(f.folder)
	}
}
