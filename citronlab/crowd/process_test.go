package crowd

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron/timer"
)

// clock is the time source of this package.
var clock timer.System

const (
	// pollInterval is the interval at which conditions are checked.
	pollInterval = 20 * time.Millisecond
	// answerTimeout is how long an ordinary request may be repeated until it is answered. It only ends a test that would hang.
	answerTimeout = 2 * time.Minute
	// mebibyte is the unit of memory limits in settings.
	mebibyte = 1 << 20
)

// process is a daemon under test.
type process struct {
	cmd *exec.Cmd
	// exited is closed once the process has ended.
	exited chan struct{}
	log    string
	// ports are the TCP ports on which the process listens.
	ports map[int]bool
}

// buildDaemon builds the daemon without the race detector, whose memory is not the product's.
func buildDaemon(t *testing.T) (binary string) {
	t.Helper()
	binary = filepath.Join(t.TempDir(), "citrond")
	build := exec.Command("go", "build", "-o", binary, "github.com/citroncross/citroncross/citrond")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return binary
}

// startProcess starts a daemon that listens on the given addresses and ends it with the test.
func startProcess(t *testing.T, listens []string, environment, binary string, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(binary, args...), exited: make(chan struct{}), log: filepath.Join(t.TempDir(), "daemon.log"), ports: map[int]bool{}}
	for _, address := range listens {
		_, port, err := net.SplitHostPort(address)
		if err != nil {
			t.Fatal(err)
		}
		n, err := strconv.Atoi(port)
		if err != nil {
			t.Fatal(err)
		}
		p.ports[n] = true
	}
	out, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	p.cmd.Env = append(os.Environ(), environment)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		_ = out.Close()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
		if t.Failed() {
			t.Logf("end of the daemon's log:\n%s", lastLines(p.log))
		}
	})
	return p
}

// lastLines returns the end of a log file, with long lines cut.
func lastLines(file string) string {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	lines = lines[max(len(lines)-15, 0):]
	for n, line := range lines {
		lines[n] = line[:min(len(line), 300)]
	}
	return strings.Join(lines, "\n")
}

// alive reports whether the process has not ended.
func (p *process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// use is what a process uses at a moment.
type use struct {
	// resident and unread are bytes: the resident memory, and what the process's sockets have received and not yet delivered.
	resident, unread int64
	descriptors      int
}

// measure returns the use of the process; ok is false if it has ended.
func (p *process) measure() (u use, ok bool) {
	folder := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	status, err := os.ReadFile(folder + "status")
	if err != nil {
		return u, false
	}
	for line := range strings.Lines(string(status)) {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			if err != nil {
				return u, false
			}
			u.resident = kilobytes << 10
		}
	}
	files, err := os.ReadDir(folder + "fd")
	if err != nil {
		return u, false
	}
	u.descriptors = len(files)
	u.unread, err = p.unreadBytes()
	return u, err == nil
}

// unreadBytes returns the bytes in the receive queues of the connections to the process's ports, accepted or not.
func (p *process) unreadBytes() (sum int64, err error) {
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	defer func() { _ = table.Close() }()
	const stateListen = "0A"
	for s := bufio.NewScanner(table); s.Scan(); {
		fields := strings.Fields(s.Text())
		if len(fields) < 5 || fields[3] == stateListen {
			continue
		}
		_, hexPort, _ := strings.Cut(fields[1], ":")
		_, hexQueue, _ := strings.Cut(fields[4], ":")
		port, err := strconv.ParseInt(hexPort, 16, 32)
		if err != nil || !p.ports[int(port)] {
			continue
		}
		queued, err := strconv.ParseInt(hexQueue, 16, 64)
		if err != nil {
			return 0, err
		}
		sum += queued
	}
	return sum, nil
}

// peak collects the largest use of a process.
type peak struct {
	use
	// total is the largest sum of resident memory and unread bytes.
	total   int64
	samples int
}

// watch samples the use of a process until the context ends, and then delivers the largest.
func (p *process) watch(ctx context.Context) <-chan peak {
	result := make(chan peak, 1)
	go func() {
		var most peak
		for ctx.Err() == nil {
			if u, ok := p.measure(); ok {
				most.samples++
				most.resident, most.unread = max(most.resident, u.resident), max(most.unread, u.unread)
				most.descriptors, most.total = max(most.descriptors, u.descriptors), max(most.total, u.resident+u.unread)
			}
			timer.Pause(ctx, clock, pollInterval)
		}
		result <- most
	}()
	return result
}

// check reports what the process has exceeded.
func (p *process) check(t *testing.T, most peak, memory int64, descriptors int) {
	t.Helper()
	t.Logf("peak: %d MB resident and unread together, %d MB resident, %d MB unread, %d descriptors (%d samples)",
		most.total/mebibyte, most.resident/mebibyte, most.unread/mebibyte, most.descriptors, most.samples)
	if !p.alive() {
		t.Error("the process has ended")
	}
	if most.samples == 0 {
		t.Error("the use of the process was never measured")
	}
	if most.total > memory {
		t.Errorf("resident memory and unread bytes reached %d MB, the limit is %d MB", most.total/mebibyte, memory/mebibyte)
	}
	if most.descriptors > descriptors {
		t.Errorf("the process had %d open descriptors, the limit is %d", most.descriptors, descriptors)
	}
}

// eventually repeats a request until it is answered as wanted.
func eventually(t *testing.T, what string, request func(attempt int) (done bool, answer string)) {
	t.Helper()
	answer := ""
	for n, deadline := 0, clock.Now().Boot+answerTimeout; clock.Now().Boot < deadline; n++ {
		done := false
		if done, answer = request(n); done {
			return
		}
		timer.Pause(context.Background(), clock, 5*pollInterval)
	}
	t.Fatalf("%s: last answer %q", what, answer)
}
