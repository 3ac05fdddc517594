package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/citroncross/citroncross/platform"
)

// daemon is one daemon. It outlives the program that runs in it, which may be killed and started again.
type daemon struct {
	name, binary, settings, folder, front string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// stopping is set once the program was told to end, again where it is to be started after that.
	stopping, restart bool
	starts            int
}

// start begins the program unless it runs.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		d.restart = d.stopping
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
	ended := make(chan struct{})
	d.cmd, d.exited, d.stopping, d.restart = cmd, ended, false, false
	go func() {
		// How it ended is in its log lines; a signal is what most of them end by.
		_ = cmd.Wait()
		_ = log.Close()
		d.mu.Lock()
		d.cmd = nil
		again := d.restart
		d.mu.Unlock()
		close(ended)
		if again {
			if err := d.start(); err != nil {
				fmt.Fprintln(os.Stderr, "start again:", err)
			}
		}
	}()
	return nil
}

// signal sends a signal to the program if it runs, and returns a channel that is closed once it has ended.
func (d *daemon) signal(s syscall.Signal) (ended <-chan struct{}, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return d.exited, nil
	}
	d.stopping = d.stopping || s == syscall.SIGTERM
	return d.exited, d.cmd.Process.Signal(s)
}

// kill ends the program at once and waits for its end.
func (d *daemon) kill() error {
	d.mu.Lock()
	d.restart = false
	d.mu.Unlock()
	ended, err := d.signal(syscall.SIGKILL)
	if err != nil || ended == nil {
		return err
	}
	<-ended
	return nil
}

// ensureRunning lets the program go on or starts it again.
func (d *daemon) ensureRunning() error {
	if _, err := d.signal(syscall.SIGCONT); err != nil {
		return err
	}
	return d.start()
}
