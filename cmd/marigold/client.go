package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldshelf/marigoldshelf/front/operator"
)

const (
	// requestTimeout bounds one request to a node, beyond the longest time
	// for which the node holds one.
	requestTimeout = 45 * time.Second
	// maxAnswerBytes bounds a node's answer.
	maxAnswerBytes = 64 << 20
)

// reply is a node's answer.
type reply struct {
	status int
	body   []byte
}

// problem returns what the node said was wrong, or its status.
func (r reply) problem() string {
	var p operator.Problem
	if err := json.Unmarshal(r.body, &p); err == nil && p.Error != "" {
		return fmt.Sprintf("%s (%s)", p.Error, p.Code)
	}
	return fmt.Sprintf("the node answered %d", r.status)
}

// request sends one request to the node. sent is false when it cannot have
// reached the node.
func (l *commandLine) request(method, path string, body any) (answer reply, sent bool, err error) {
	data, err := json.Marshal(body)
	if err != nil {
		return reply{}, false, eris.Wrap(err, "encode")
	}
	request, err := http.NewRequest(method, l.Node+path, bytes.NewReader(data))
	if err != nil {
		return reply{}, false, eris.Wrap(err, "request")
	}
	request.Header.Set("Authorization", "Bearer "+l.Token)
	request.Header.Set("Content-Type", "application/json")
	connected := false
	client := &http.Client{Timeout: requestTimeout}
	response, err := client.Do(request.WithContext(traceConnection(request.Context(), &connected)))
	if err != nil {
		return reply{}, connected, eris.Wrap(err, "request")
	}
	defer response.Body.Close()
	read, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	return reply{response.StatusCode, read}, true, eris.Wrap(err, "read answer")
}

// query asks the node and decodes its answer into value; with --json the answer
// is printed as it came, and printed is true.
func (l *commandLine) query(path string, value any) (printed bool, err error) {
	answer, _, err := l.request(http.MethodGet, path, nil)
	if err != nil {
		return false, err
	}
	if answer.status != http.StatusOK {
		return false, eris.New(answer.problem())
	}
	if l.JSON {
		_, err := fmt.Fprintln(l.out, string(bytes.TrimSpace(answer.body)))
		return true, eris.Wrap(err, "print")
	}
	return false, l.decode(answer, value)
}

func (l *commandLine) decode(answer reply, value any) error {
	return eris.Wrap(json.Unmarshal(answer.body, value), "the node's answer")
}

// print writes one line.
func (l *commandLine) print(format string, values ...any) {
	fmt.Fprintf(l.out, format+"\n", values...)
}

// printJSON writes a value as one line of JSON.
func (l *commandLine) printJSON(value any) error {
	return eris.Wrap(json.NewEncoder(l.out).Encode(value), "print")
}
