// Package process starts the system's programs as separate processes, for the
// tests that need the whole path. The daemons themselves start no processes.
package process

import (
	"bufio"
	"context"
	"encoding/json"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// stopTimeout bounds the wait for a process that was asked to stop.
const stopTimeout = 60 * time.Second

// moduleRoot is the module's folder, seen from a test in this one.
const moduleRoot = "../.."

// Programs builds the programs named and returns their folder.
func Programs(t *testing.T, names ...string) string {
	t.Helper()
	noteSources(t)
	folder := t.TempDir()
	for _, name := range names {
		build := exec.Command("go", "build", "-o", filepath.Join(folder, name),
			"github.com/marigoldshelf/marigoldshelf/cmd/"+name)
		out, err := build.CombinedOutput()
		must.NoError(t, err, must.Sprintf("build %s: %s", name, out))
	}
	return folder
}

// noteSources opens every source file of the module. The go command keeps the
// result of a test while its binary and the files it opened stay the same; the
// programs are in neither, so a change of theirs would go untested.
func noteSources(t *testing.T) {
	t.Helper()
	err := filepath.WalkDir(moduleRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || filepath.Ext(path) != ".go" {
			return err
		}
		file, err := os.Open(path)
		if err != nil {
			return err
		}
		return file.Close()
	})
	must.NoError(t, err)
}

// Process is a running program.
type Process struct {
	command *exec.Cmd
	ended   chan error
}

// Start runs a program and reads its first line of output, a JSON object with
// its addresses, into addresses. It is killed when the test ends.
func Start(t *testing.T, addresses any, program string, args ...string) *Process {
	t.Helper()
	command := exec.Command(program, args...)
	command.Stderr = os.Stderr
	out, err := command.StdoutPipe()
	must.NoError(t, err)
	must.NoError(t, command.Start())
	line, err := bufio.NewReader(out).ReadBytes('\n')
	must.NoError(t, err)
	must.NoError(t, json.Unmarshal(line, addresses))
	p := &Process{command: command, ended: make(chan error, 1)}
	go func() { p.ended <- command.Wait() }()
	t.Cleanup(p.Kill)
	return p
}

// Kill ends the process at once; it may be called again.
func (p *Process) Kill() { _ = p.command.Process.Kill() }

// Freeze stops the process as a long pause would; Thaw lets it go on.
func (p *Process) Freeze() { _ = p.command.Process.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() { _ = p.command.Process.Signal(syscall.SIGCONT) }

// Terminate asks the process to stop.
func (p *Process) Terminate() { _ = p.command.Process.Signal(syscall.SIGTERM) }

// Hangup tells the process that its settings have changed.
func (p *Process) Hangup() { _ = p.command.Process.Signal(syscall.SIGHUP) }

// Wait returns how the process ended, or the context's error when it has not
// ended in time.
func (p *Process) Wait(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	select {
	case err := <-p.ended:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ID returns the process's number.
func (p *Process) ID() int { return p.command.Process.Pid }
