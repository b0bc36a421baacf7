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

// storyCommand prints the lines about one request from the logs of several nodes.
type storyCommand struct {
	Request string   `arg:"" help:"ID of the request, as its caller sent it."`
	Logs    []string `arg:"" type:"existingfile" help:"Log files of the nodes."`
}

// maxLogLineBytes bounds a line of a log file. A longer line is an error.
const maxLogLineBytes = 1 << 20

// logLine is a line about the request. file is the path of its log file.
type logLine struct {
	time, file, text string
}

// Run prints the lines in the order of their timestamps. It includes the calls
// that backend servers made for the request; their IDs begin with the request's
// ID.
func (c *storyCommand) Run(l *commandLine) error {
	var lines []logLine
	for _, path := range c.Logs {
		found, err := c.searchFile(path)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return fmt.Errorf("no log line mentions request %s; a line with lines_omitted marks where lines were dropped from a log", c.Request)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.time, b.time) })
	for _, line := range lines {
		if _, err := fmt.Fprintf(l.out, "%s %s %s\n", line.time, line.file, line.text); err != nil {
			return err
		}
	}
	return nil
}

func (c *storyCommand) searchFile(path string) ([]logLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var lines []logLine
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		if line, ok := c.matchLine(scanner.Text()); ok {
			line.file = path
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

// matchLine returns the line if it is about the request. It skips text before the
// JSON object, such as the prefix that a log collector adds.
func (c *storyCommand) matchLine(text string) (logLine, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 || !strings.Contains(text, c.Request) {
		return logLine{}, false
	}
	var fields struct {
		Time    string `json:"time"`
		Request string `json:"request"`
	}
	if json.Unmarshal([]byte(text[start:]), &fields) != nil || !strings.HasPrefix(fields.Request, c.Request) {
		return logLine{}, false
	}
	return logLine{time: fields.Time, text: text[start:]}, true
}
