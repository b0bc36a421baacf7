package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/encoding/hop"
	"github.com/marigoldshelf/marigoldshelf/front/operator"
	"github.com/marigoldshelf/marigoldshelf/measure"
	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/network"
)

const (
	// pollInterval is the grain of the convergence time.
	pollInterval = 10 * time.Millisecond
	// convergeTimeout bounds the wait for a version to be in force everywhere.
	convergeTimeout = 60 * time.Second
)

// Report is what the fleet did.
type Report struct {
	Nodes int `json:"nodes"`
	// CPUPercent is each idle node's share of one core.
	CPUPercent Spread `json:"idle_cpu_percent"`
	// RSSMegabytes is each node's resident memory.
	RSSMegabytes Spread `json:"rss_mb"`
	// ControlBytes is the loopback traffic of the idle fleet, for each node
	// and second: what nodes, platform and headers of TCP and IP come to.
	ControlBytes float64 `json:"idle_bytes_per_node_second"`
	// ConvergenceMillis is the time from the release's answer until every node
	// had the version in force, for each change.
	ConvergenceMillis []float64       `json:"convergence_ms"`
	Load              *measure.Report `json:"load,omitempty"`
	// Callers and Operators are the nodes' listeners, with --hold.
	Callers   []string `json:"callers,omitempty"`
	Operators []string `json:"operators,omitempty"`
}

func (f *fleet) measure(ctx context.Context, args arguments) (Report, error) {
	report := Report{Nodes: len(f.nodes)}
	if args.Hold {
		report.Callers = f.addresses(func(n member) string { return n.Callers })
		report.Operators = f.addresses(func(n member) string { return n.Operators })
	}
	if _, err := f.change(ctx, 0); err != nil {
		return report, err
	}
	if err := pause(ctx, args.Settle); err != nil {
		return report, err
	}
	if err := f.measureIdle(ctx, args.Idle, &report); err != nil {
		return report, err
	}
	if err := f.measureChanges(ctx, args.Changes, &report); err != nil {
		return report, err
	}
	return report, f.measureLoad(ctx, args.Load, &report)
}

func (f *fleet) addresses(pick func(member) string) (list []string) {
	for _, n := range f.nodes {
		list = append(list, pick(n))
	}
	return list
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f *fleet) measureIdle(ctx context.Context, d time.Duration, report *Report) error {
	before, err := f.usages()
	if err != nil {
		return err
	}
	bytesBefore, err := loopbackBytes()
	if err != nil {
		return err
	}
	if err := pause(ctx, d); err != nil {
		return err
	}
	bytesAfter, err := loopbackBytes()
	if err != nil {
		return err
	}
	after, err := f.usages()
	if err != nil {
		return err
	}
	var cpu, memory []float64
	for i := range after {
		cpu = append(cpu, 100*(after[i].cpuSeconds-before[i].cpuSeconds)/d.Seconds())
		memory = append(memory, float64(after[i].rssBytes)/(1<<20))
	}
	report.CPUPercent = spreadOf(cpu)
	report.RSSMegabytes = spreadOf(memory)
	report.ControlBytes = float64(bytesAfter-bytesBefore) / d.Seconds() / float64(len(f.nodes))
	return nil
}

func (f *fleet) usages() (list []usage, err error) {
	for _, n := range f.nodes {
		u, err := readUsage(n.pid)
		if err != nil {
			return nil, err
		}
		list = append(list, u)
	}
	return list, nil
}

func (f *fleet) measureChanges(ctx context.Context, changes int, report *Report) error {
	for i := range changes {
		took, err := f.change(ctx, i+1)
		if err != nil {
			return err
		}
		report.ConvergenceMillis = append(report.ConvergenceMillis, float64(took)/float64(time.Millisecond))
	}
	return nil
}

func (f *fleet) measureLoad(ctx context.Context, file string, report *Report) error {
	if file == "" {
		return nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return eris.Wrap(err, "load")
	}
	experiment, err := measure.Parse(data)
	if err != nil {
		return err
	}
	done, err := measure.Run(ctx, experiment, measure.Config{
		Targets:   f.addresses(func(n member) string { return n.Callers }),
		Transport: hop.NewTransport(network.System{}, 0),
		Clock:     clock.System{},
	})
	report.Load = &done
	return err
}

// config is the configuration of the fleet; each number makes another one. A
// rule's host name is its service's name with ".example".
func (f *fleet) config(number int) mesh.Config {
	c := mesh.Config{
		Services: make(map[mesh.ServiceName]mesh.Service),
		Hosts:    make(map[mesh.HostID]mesh.Host),
		Rules:    make(map[string]mesh.Rule),
	}
	for _, n := range f.nodes {
		service := n.host.Service
		c.Services[service] = mesh.Service{Name: service, Customer: customer}
		c.Hosts[n.host.ID] = n.host
		for _, class := range mesh.Classes() {
			id := string(service) + "-" + string(class)
			c.Rules[id] = mesh.Rule{
				ID: id, HostName: string(service) + ".example", PathPrefix: "/" + string(class),
				Service: service, Class: class, DeadlineMillis: 10_000 + number, Retries: 2,
			}
		}
	}
	return c
}

// change proposes, approves and releases a configuration and returns the time
// from the release's answer until it was in force at every node.
func (f *fleet) change(ctx context.Context, number int) (time.Duration, error) {
	first := f.nodes[0].Operators
	var present operator.Configuration
	if err := f.call(ctx, first, operatorToken, http.MethodGet, "/v1/configuration", nil, &present); err != nil {
		return 0, err
	}
	id := fmt.Sprintf("change-%d", number)
	request := operator.ProposeRequest{ID: id, Base: present.Version, Config: f.config(number)}
	var done operator.Submitted
	if err := f.call(ctx, first, operatorToken, http.MethodPost, "/v1/proposals", request, &done); err != nil {
		return 0, err
	}
	digest, err := f.digestOf(ctx, first, id)
	if err != nil {
		return 0, err
	}
	answer := operator.AnswerRequest{Digest: digest}
	path := "/v1/proposals/" + id
	if err := f.call(ctx, first, customerToken, http.MethodPost, path+"/approve", answer, &done); err != nil {
		return 0, err
	}
	if err := f.call(ctx, first, operatorToken, http.MethodPost, path+"/release", answer, &done); err != nil {
		return 0, err
	}
	released := time.Now()
	err = f.awaitVersion(ctx, done.Outcome.Version)
	return time.Since(released), err
}

func (f *fleet) digestOf(ctx context.Context, address, id string) (string, error) {
	var list []change.Proposal
	if err := f.call(ctx, address, operatorToken, http.MethodGet, "/v1/proposals", nil, &list); err != nil {
		return "", err
	}
	for _, p := range list {
		if p.ID == id {
			return p.Digest, nil
		}
	}
	return "", eris.Errorf("proposal %s was not found", id)
}

// awaitVersion asks each node in turn until it has the version in force.
func (f *fleet) awaitVersion(ctx context.Context, v mesh.Version) error {
	ctx, cancel := context.WithTimeout(ctx, convergeTimeout)
	defer cancel()
	for _, n := range f.nodes {
		for {
			var status operator.Status
			err := f.call(ctx, n.Operators, operatorToken, http.MethodGet, "/v1/status", nil, &status)
			if err == nil && status.Version >= v {
				break
			}
			if err := pause(ctx, pollInterval); err != nil {
				return eris.Wrapf(err, "version %d at %s", v, n.host.ID)
			}
		}
	}
	return nil
}

// call sends one request to a node's operators' listener.
func (f *fleet) call(ctx context.Context, address, token, method, path string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encode")
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "request")
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return eris.Wrap(err, "call")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("%s %s: %s", method, path, response.Status)
	}
	return eris.Wrap(json.NewDecoder(response.Body).Decode(answer), "decode")
}
