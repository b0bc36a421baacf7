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
	// requestTimeout bounds one request to a node. It exceeds the longest time
	// for which the node holds a request.
	requestTimeout = 45 * time.Second
	// maxResponseBytes bounds the body of a node's response.
	maxResponseBytes = 64 << 20
)

// nodeResponse is a node's response to one request.
type nodeResponse struct {
	status int
	body   []byte
}

// errorText returns the error and code in the node's response, or its status if
// there are none.
func (r nodeResponse) errorText() string {
	var p operator.Problem
	if err := json.Unmarshal(r.body, &p); err == nil && p.Error != "" {
		return fmt.Sprintf("%s (%s)", p.Error, p.Code)
	}
	return fmt.Sprintf("the node answered with status %d", r.status)
}

// request sends one request to the node. sent is false if the request cannot have
// reached the node.
func (l *commandLine) request(method, path string, body any) (_ nodeResponse, sent bool, err error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nodeResponse{}, false, eris.Wrap(err, "encode request body")
	}
	request, err := http.NewRequest(method, l.Node+path, bytes.NewReader(data))
	if err != nil {
		return nodeResponse{}, false, eris.Wrap(err, "create request")
	}
	request.Header.Set("Authorization", "Bearer "+l.Token)
	request.Header.Set("Content-Type", "application/json")
	connected := false
	client := &http.Client{Timeout: requestTimeout}
	response, err := client.Do(request.WithContext(traceConnection(request.Context(), &connected)))
	if err != nil {
		return nodeResponse{}, connected, eris.Wrap(err, "send request to the node")
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	return nodeResponse{response.StatusCode, responseBody}, true, eris.Wrap(err, "read the node's response")
}

// query sends a GET request and decodes the response into value. With --json it
// prints the response unchanged instead, and printed is true.
func (l *commandLine) query(path string, value any) (printed bool, err error) {
	response, _, err := l.request(http.MethodGet, path, nil)
	if err != nil {
		return false, err
	}
	if response.status != http.StatusOK {
		return false, eris.New(response.errorText())
	}
	if l.JSON {
		_, err := fmt.Fprintln(l.out, string(bytes.TrimSpace(response.body)))
		return true, eris.Wrap(err, "write output")
	}
	return false, l.decode(response, value)
}

func (l *commandLine) decode(response nodeResponse, value any) error {
	return eris.Wrap(json.Unmarshal(response.body, value), "decode the node's response")
}

// print writes one line.
func (l *commandLine) print(format string, values ...any) {
	fmt.Fprintf(l.out, format+"\n", values...)
}

// printJSON writes a value as one line of JSON.
func (l *commandLine) printJSON(value any) error {
	return eris.Wrap(json.NewEncoder(l.out).Encode(value), "write output")
}
