package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
)

// storyCommand prints what the logs of several nodes say of one request.
type storyCommand struct {
	Request string   `arg:"" help:"ID of the request, as its caller sent it."`
	Logs    []string `arg:"" type:"existingfile" help:"Log files of the nodes."`
}

// maxLogLine bounds a line of a log, in bytes.
const maxLogLine = 1 << 20

// storyLine is a line that speaks of the request.
type storyLine struct {
	time, file, text string
}

// Run prints the lines in the order of their times. Calls that a backend
// server made for the request have IDs that begin with its own.
func (c *storyCommand) Run(l *commandLine) error {
	var lines []storyLine
	for _, path := range c.Logs {
		found, err := c.search(path)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return fmt.Errorf("no line speaks of request %s; lines_omitted tells where lines were left out", c.Request)
	}
	slices.SortStableFunc(lines, func(a, b storyLine) int { return cmp.Compare(a.time, b.time) })
	for _, line := range lines {
		if _, err := fmt.Fprintf(l.out, "%s %s %s\n", line.time, line.file, line.text); err != nil {
			return err
		}
	}
	return nil
}

func (c *storyCommand) search(path string) ([]storyLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var lines []storyLine
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		if line, ok := c.read(scanner.Text()); ok {
			line.file = path
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

// read returns the line if it speaks of the request. What stands before the
// JSON object, such as a collector's prefix, is passed over.
func (c *storyCommand) read(text string) (storyLine, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 || !strings.Contains(text, c.Request) {
		return storyLine{}, false
	}
	var fields struct {
		Time    string `json:"time"`
		Request string `json:"request"`
	}
	if json.Unmarshal([]byte(text[start:]), &fields) != nil || !strings.HasPrefix(fields.Request, c.Request) {
		return storyLine{}, false
	}
	return storyLine{time: fields.Time, text: text[start:]}, true
}
