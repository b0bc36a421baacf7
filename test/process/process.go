// Package process runs fleets of the system's programs as separate processes, for
// tests only: marigoldd with the stand-ins of the platform and of the backend
// servers, in real time, on the loopback interface. The daemons themselves start no
// processes.
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

// stopTimeout bounds the wait for the end of a process.
const stopTimeout = 60 * time.Second

// moduleRoot is the module's directory, relative to a test of this package.
const moduleRoot = "../.."

// BuildPrograms builds the named programs of cmd and returns the directory with the
// executables.
func BuildPrograms(t *testing.T, names ...string) string {
	t.Helper()
	openSources(t)
	dir := t.TempDir()
	for _, name := range names {
		build := exec.Command("go", "build", "-o", filepath.Join(dir, name),
			"github.com/marigoldshelf/marigoldshelf/cmd/"+name)
		output, err := build.CombinedOutput()
		must.NoError(t, err, must.Sprintf("build %s: %s", name, output))
	}
	return dir
}

// openSources opens every Go file of the module. The go command reuses a cached
// test result while the test binary and the files that the test opened stay the
// same. The programs belong to neither, so without this a change to them would not
// be tested.
func openSources(t *testing.T) {
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
	exit    chan error // receives the result of the process once
}

// Start starts a program and decodes its first line of output, a JSON object with
// the addresses on which it listens, into addresses. The process is killed when
// the test ends.
func Start(t *testing.T, addresses any, program string, args ...string) *Process {
	t.Helper()
	command := exec.Command(program, args...)
	command.Stderr = os.Stderr
	stdout, err := command.StdoutPipe()
	must.NoError(t, err)
	must.NoError(t, command.Start())
	line, err := bufio.NewReader(stdout).ReadBytes('\n')
	must.NoError(t, err)
	must.NoError(t, json.Unmarshal(line, addresses))
	p := &Process{command: command, exit: make(chan error, 1)}
	go func() { p.exit <- command.Wait() }()
	t.Cleanup(p.Kill)
	return p
}

// Kill sends SIGKILL. It has no effect on a process that has ended.
func (p *Process) Kill() { _ = p.command.Process.Kill() }

// Suspend suspends the process with SIGSTOP until Resume.
func (p *Process) Suspend() { _ = p.command.Process.Signal(syscall.SIGSTOP) }

// Resume resumes a suspended process with SIGCONT.
func (p *Process) Resume() { _ = p.command.Process.Signal(syscall.SIGCONT) }

// Terminate sends SIGTERM, which starts a planned stop.
func (p *Process) Terminate() { _ = p.command.Process.Signal(syscall.SIGTERM) }

// Hangup sends SIGHUP, on which the process reads its settings again.
func (p *Process) Hangup() { _ = p.command.Process.Signal(syscall.SIGHUP) }

// Wait waits for the end of the process and returns the error of exec.Cmd.Wait. It
// returns the context's error when ctx ends or stopTimeout passes first. The
// result is delivered once: a second call waits for the timeout.
func (p *Process) Wait(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	select {
	case err := <-p.exit:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// PID returns the process ID.
func (p *Process) PID() int { return p.command.Process.Pid }
