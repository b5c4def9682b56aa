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
	// Proc is one process.
	Proc struct {
		Name string
		// Line holds the JSON object that the program printed when it was
		// ready, with its addresses.
		Addresses map[string]string
		cmd       *exec.Cmd
		done      chan struct{}
		err       error
	}

	// Fleet is a set of processes.
	Fleet struct {
		bin, dir string
		mu       sync.Mutex
		procs    []*Proc
	}

	// StartError reports a program that did not become ready.
	StartError struct {
		Name string
		Log  string
		Err  error
	}
)

// readyTimeout bounds the time until a program prints its addresses.
const readyTimeout = 20 * time.Second

// Error names the program and its log.
func (e *StartError) Error() string {
	return fmt.Sprintf("%s did not start: %v (log in %s)", e.Name, e.Err, e.Log)
}

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Err }

// New returns a Fleet whose programs are in bin and whose logs go to dir.
func New(bin, dir string) *Fleet { return &Fleet{bin: bin, dir: dir} }

// Dir returns the folder for files of the run.
func (f *Fleet) Dir() string { return f.dir }

// Start runs a program and waits until it prints its addresses.
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
		for sc.Scan() {
		}
		p.err = cmd.Wait()
		close(p.done)
	}()
	select {
	case line, ok := <-lines:
		if !ok {
			<-p.done
			return fail(fmt.Errorf("it ended: %v", p.err))
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

// Pid returns the identifier of the process.
func (p *Proc) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Proc) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Kill ends the process at once and waits for its end.
func (p *Proc) Kill() {
	// A process that ended already can't be signalled, which is fine.
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Wait returns the exit code, or an error if the process does not end in time.
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

// StopAll ends all processes of the Fleet.
func (f *Fleet) KillAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.procs {
		// A stopped process handles no signal but SIGKILL until it continues.
		_ = p.cmd.Process.Kill()
	}
	for _, p := range f.procs {
		<-p.done
	}
	f.procs = nil
}
