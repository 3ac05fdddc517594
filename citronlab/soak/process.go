package soak

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/citroncross/citroncross/platform"
)

// daemon is a daemon whose process can be killed and started again.
type daemon struct {
	// settings is the path of the settings file, folder that of the log files, front the address for callers.
	name, binary, settings, folder, front string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// ending is set once the process has received SIGTERM or SIGKILL, restart if a new one is to be started when it has exited.
	ending, restart bool
	// removed is set once the daemon has left for good.
	removed bool
	// starts counts the processes so far; it numbers their log files.
	starts int
}

// start starts the process unless one is running. If that one is ending, a new process is started after its exit.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.removed {
		return nil
	}
	if d.cmd != nil {
		d.restart = d.ending
		return nil
	}
	d.starts++
	log, err := os.Create(filepath.Join(d.folder, fmt.Sprintf("%s-%d.log", d.name, d.starts)))
	if err != nil {
		return err
	}
	cmd := exec.Command(d.binary, "platform")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+d.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.cmd, d.exited, d.ending, d.restart = cmd, exited, false, false
	go func() {
		// The exit status is ignored: most processes end by a signal, and the log file shows the cause of any other end.
		_ = cmd.Wait()
		_ = log.Close()
		d.mu.Lock()
		d.cmd = nil
		restart := d.restart
		d.mu.Unlock()
		close(exited)
		if restart {
			if err := d.start(); err != nil {
				fmt.Fprintln(os.Stderr, "restart of daemon failed:", err)
			}
		}
	}()
	return nil
}

// signal sends a signal to the process if one is running, and returns a channel that is closed once it has exited. The
// channel is nil if the daemon was never started.
func (d *daemon) signal(s syscall.Signal) (exited <-chan struct{}, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return d.exited, nil
	}
	d.ending = d.ending || s == syscall.SIGTERM || s == syscall.SIGKILL
	if err = d.cmd.Process.Signal(s); errors.Is(err, os.ErrProcessDone) {
		err = nil // Its end has not been recorded yet.
	}
	return d.exited, err
}

// kill kills the process without a restart and waits for its exit.
func (d *daemon) kill() error {
	d.mu.Lock()
	d.restart = false
	d.mu.Unlock()
	exited, err := d.signal(syscall.SIGKILL)
	if err != nil || exited == nil {
		return err
	}
	<-exited
	return nil
}

// ensureRunning resumes a frozen process or starts a new one.
func (d *daemon) ensureRunning() error {
	if _, err := d.signal(syscall.SIGCONT); err != nil {
		return err
	}
	return d.start()
}
