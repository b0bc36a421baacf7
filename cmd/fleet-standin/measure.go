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
	// pollInterval is the interval between status requests, and so the
	// resolution of the convergence time.
	pollInterval = 10 * time.Millisecond
	// convergenceTimeout bounds the wait until all nodes serve a version.
	convergenceTimeout = 60 * time.Second
)

// Report is the result of the measurements, printed as JSON.
type Report struct {
	Nodes int `json:"nodes"`
	// CPUPercent is the CPU use of an idle node, in percent of one core.
	CPUPercent Summary `json:"idle_cpu_percent"`
	// RSSMegabytes is the resident memory of a node, in MiB.
	RSSMegabytes Summary `json:"rss_mb"`
	// IdleBytesPerNodeSecond is the loopback traffic of the idle fleet in bytes per
	// node and second: traffic between nodes and with the platform, with TCP and IP
	// headers. Loopback traffic of other programs on the machine is included.
	IdleBytesPerNodeSecond float64 `json:"idle_bytes_per_node_second"`
	// ConvergenceMillis is, for each release, the time from the response to it
	// until all nodes served the version.
	ConvergenceMillis []float64       `json:"convergence_ms"`
	Load              *measure.Report `json:"load,omitempty"`
	// Callers and Operators are the addresses of the nodes' listeners; empty
	// without --hold.
	Callers   []string `json:"callers,omitempty"`
	Operators []string `json:"operators,omitempty"`
}

func (f *fleet) measure(ctx context.Context, args arguments) (Report, error) {
	report := Report{Nodes: len(f.nodes)}
	if args.Hold {
		report.Callers = f.addresses(func(n hostNode) string { return n.Callers })
		report.Operators = f.addresses(func(n hostNode) string { return n.Operators })
	}
	if _, err := f.releaseConfig(ctx, 0); err != nil {
		return report, err
	}
	if err := sleep(ctx, args.Settle); err != nil {
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

func (f *fleet) addresses(address func(hostNode) string) (list []string) {
	for _, n := range f.nodes {
		list = append(list, address(n))
	}
	return list
}

func sleep(ctx context.Context, d time.Duration) error {
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
	before, err := f.readUsages()
	if err != nil {
		return err
	}
	bytesBefore, err := loopbackBytes()
	if err != nil {
		return err
	}
	if err := sleep(ctx, d); err != nil {
		return err
	}
	bytesAfter, err := loopbackBytes()
	if err != nil {
		return err
	}
	after, err := f.readUsages()
	if err != nil {
		return err
	}
	var cpu, memory []float64
	for i := range after {
		cpu = append(cpu, 100*(after[i].cpuSeconds-before[i].cpuSeconds)/d.Seconds())
		memory = append(memory, float64(after[i].rssBytes)/(1<<20))
	}
	report.CPUPercent = summarize(cpu)
	report.RSSMegabytes = summarize(memory)
	report.IdleBytesPerNodeSecond = float64(bytesAfter-bytesBefore) / d.Seconds() / float64(len(f.nodes))
	return nil
}

func (f *fleet) readUsages() (list []usage, err error) {
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
		convergence, err := f.releaseConfig(ctx, i+1)
		if err != nil {
			return err
		}
		report.ConvergenceMillis = append(report.ConvergenceMillis, float64(convergence)/float64(time.Millisecond))
	}
	return nil
}

func (f *fleet) measureLoad(ctx context.Context, file string, report *Report) error {
	if file == "" {
		return nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return eris.Wrap(err, "read experiment file")
	}
	experiment, err := measure.Parse(data)
	if err != nil {
		return err
	}
	result, err := measure.Run(ctx, experiment, measure.Config{
		Targets:   f.addresses(func(n hostNode) string { return n.Callers }),
		Transport: hop.NewTransport(network.System{}, 0),
		Clock:     clock.System{},
	})
	report.Load = &result
	return err
}

// buildConfig returns a configuration of the fleet with a rule for each service
// and class. The rule's host name is the service's name with ".example", its
// path prefix the class. number is added to the deadlines, so that each number
// gives a different configuration.
func (f *fleet) buildConfig(number int) mesh.Config {
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

// releaseConfig proposes, approves and releases configuration number and returns
// the time from the response to the release until all nodes served it.
func (f *fleet) releaseConfig(ctx context.Context, number int) (time.Duration, error) {
	address := f.nodes[0].Operators
	var current operator.Configuration
	if err := f.call(ctx, address, operatorToken, http.MethodGet, "/v1/configuration", nil, &current); err != nil {
		return 0, err
	}
	id := fmt.Sprintf("change-%d", number)
	request := operator.ProposeRequest{ID: id, Base: current.Version, Config: f.buildConfig(number)}
	var submitted operator.SubmitResponse
	if err := f.call(ctx, address, operatorToken, http.MethodPost, "/v1/proposals", request, &submitted); err != nil {
		return 0, err
	}
	digest, err := f.proposalDigest(ctx, address, id)
	if err != nil {
		return 0, err
	}
	action := operator.ProposalActionRequest{Digest: digest}
	path := "/v1/proposals/" + id
	if err := f.call(ctx, address, customerToken, http.MethodPost, path+"/approve", action, &submitted); err != nil {
		return 0, err
	}
	if err := f.call(ctx, address, operatorToken, http.MethodPost, path+"/release", action, &submitted); err != nil {
		return 0, err
	}
	releasedAt := time.Now()
	err = f.awaitVersion(ctx, submitted.Outcome.Version)
	return time.Since(releasedAt), err
}

func (f *fleet) proposalDigest(ctx context.Context, address, id string) (string, error) {
	var list []change.Proposal
	if err := f.call(ctx, address, operatorToken, http.MethodGet, "/v1/proposals", nil, &list); err != nil {
		return "", err
	}
	for _, p := range list {
		if p.ID == id {
			return p.Digest, nil
		}
	}
	return "", eris.Errorf("proposal %s is not in the list of proposals", id)
}

// awaitVersion polls the status of each node in turn until it serves version v
// or a newer one.
func (f *fleet) awaitVersion(ctx context.Context, v mesh.Version) error {
	ctx, cancel := context.WithTimeout(ctx, convergenceTimeout)
	defer cancel()
	for _, n := range f.nodes {
		for {
			var status operator.Status
			err := f.call(ctx, n.Operators, operatorToken, http.MethodGet, "/v1/status", nil, &status)
			if err == nil && status.Version >= v {
				break
			}
			if err := sleep(ctx, pollInterval); err != nil {
				return eris.Wrapf(err, "wait for version %d at %s", v, n.host.ID)
			}
		}
	}
	return nil
}

// call sends one request to a node's operator API and decodes the response
// body into decoded. Every status except 200 is an error.
func (f *fleet) call(ctx context.Context, address, token, method, path string, body, decoded any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encode request body")
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "create request")
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return eris.Wrap(err, "send request")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("%s %s: %s", method, path, response.Status)
	}
	return eris.Wrap(json.NewDecoder(response.Body).Decode(decoded), "decode response")
}
