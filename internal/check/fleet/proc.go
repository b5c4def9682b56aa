package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

type (
	// Proc is a process started by a Fleet.
	Proc struct {
		Name string
		// Addresses holds the JSON object that the program printed when it was
		// ready: its listen addresses by purpose, such as "caller" or "peer".
		Addresses map[string]string
		cmd       *exec.Cmd
		// done is closed after the process has ended and waitErr is set.
		done    chan struct{}
		waitErr error
	}

	// Fleet is a set of processes.
	Fleet struct {
		// bin is the directory of the programs, dir that of logs and settings.
		bin, dir string
		mu       sync.Mutex
		procs    []*Proc
	}

	// StartError reports a program that did not become ready, or a process
	// that did not end in time.
	StartError struct {
		Name string
		// Log is the path of the program's log.
		Log string
		Err error
	}
)

// readyTimeout bounds the time until a program prints its addresses.
const readyTimeout = 20 * time.Second

// Error returns the name of the program, the cause and the path of the log.
func (e *StartError) Error() string {
	return fmt.Sprintf("%s did not start: %v (log in %s)", e.Name, e.Err, e.Log)
}

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Err }

// New returns a Fleet that runs programs in the directory bin and writes logs and
// settings to dir.
func New(bin, dir string) *Fleet { return &Fleet{bin: bin, dir: dir} }

// Dir returns the directory for logs, settings and other files of the run.
func (f *Fleet) Dir() string { return f.dir }

// Start starts a program and waits until it prints its addresses.
func (f *Fleet) Start(ctx context.Context, name, program string, args ...string) (*Proc, error) {
	logPath := filepath.Join(f.dir, name+".log")
	fail := func(err error) (*Proc, error) { return nil, &StartError{Name: name, Log: logPath, Err: err} }
	logFile, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fail(err)
	}
	defer logFile.Close()
	cmd := exec.Command(filepath.Join(f.bin, program), args...)
	cmd.Stderr = logFile
	out, err := cmd.StdoutPipe()
	if err != nil {
		return fail(err)
	}
	if err := cmd.Start(); err != nil {
		return fail(err)
	}
	p := &Proc{Name: name, cmd: cmd, done: make(chan struct{})}
	f.mu.Lock()
	f.procs = append(f.procs, p)
	f.mu.Unlock()
	lines := make(chan string, 1)
	go func() {
		sc := bufio.NewScanner(out)
		if sc.Scan() {
			lines <- sc.Text()
		}
		close(lines)
		// The program must not block on a full pipe.
		for sc.Scan() {
		}
		p.waitErr = cmd.Wait()
		close(p.done)
	}()
	select {
	case line, ok := <-lines:
		if !ok {
			<-p.done
			return fail(fmt.Errorf("process exited before it was ready: %v", p.waitErr))
		}
		if err := json.Unmarshal([]byte(line), &p.Addresses); err != nil {
			return fail(err)
		}
		return p, nil
	case <-time.After(readyTimeout):
		return fail(context.DeadlineExceeded)
	case <-ctx.Done():
		return fail(ctx.Err())
	}
}

// Pid returns the process identifier.
func (p *Proc) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Proc) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Kill sends SIGKILL to the process and waits for its end.
func (p *Proc) Kill() {
	// A process that has already ended can't be signalled; the error is
	// irrelevant.
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Wait returns the exit code, or an error if the process does not end within
// timeout.
func (p *Proc) Wait(timeout time.Duration) (int, error) {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(timeout):
		return 0, &StartError{Name: p.Name, Err: context.DeadlineExceeded}
	}
}

// Running reports whether the process has not ended.
func (p *Proc) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// KillAll kills all processes of the Fleet and waits for their ends.
func (f *Fleet) KillAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.procs {
		// A suspended process handles only SIGKILL until it is continued.
		_ = p.cmd.Process.Kill()
	}
	for _, p := range f.procs {
		<-p.done
	}
	f.procs = nil
}
