package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/citroncross/citroncross/citron/timer"
)

const (
	// crowdClients is the number of clients of one crowd.
	crowdClients = 500
	// crowdReturn is the pause of a client whose connection was closed.
	crowdReturn = 50 * time.Millisecond
	// crowdMemoryMb and crowdFiles are the limits of the daemons in a run with crowds.
	crowdMemoryMb = 144
	crowdFiles    = 1000
)

// crowd makes many clients send requests to one daemon that stop just short of their end, and return when they are closed.
var crowd = fault{"crowd", 4 * time.Second, func(s *soak, rng *rand.Rand) (string, func() error, error) {
	d := s.daemon(rng.IntN(s.Daemons))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, crowdClients)
	for range crowdClients {
		id := fmt.Sprintf("ffff%012x", len(s.stalledJobs))
		s.stalledJobs = append(s.stalledJobs, id)
		request := stalledRequest(id, rng)
		go func() { ended <- sendStalled(ctx, d.front, request) }()
	}
	return fmt.Sprintf("%d clients stall at %s", crowdClients, d.name), func() error {
		err := d.checkMemory()
		cancel()
		for range crowdClients {
			<-ended
		}
		return err
	}, nil
}}

// stalledRequest returns the submission of a job that lacks its end.
func stalledRequest(id string, rng *rand.Rand) string {
	const largest = 256 << 10
	head := fmt.Sprintf("POST /quick/%s HTTP/1.1\r\nHost: jobs.example\r\n", id)
	body := strings.Repeat(" ", largest) + `{"spec":"s","steps":[{"count":1,"cpu":100,"mem_mb":16}]}`
	body = body[len(body)-largest:]
	switch rng.IntN(4) {
	case 0:
		var lines strings.Builder
		for n := range 2500 {
			fmt.Fprintf(&lines, "%s:\r\n", strconv.FormatInt(int64(36+n), 36))
		}
		return head + lines.String()
	case 1:
		return head + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", largest, body)
	case 2:
		return head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\n \r\n", 10_000)
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", largest) + body[:largest-1]
}

// sendStalled sends a request again and again, each time on a new connection that stays open until the daemon closes it.
func sendStalled(ctx context.Context, front, request string) error {
	var dialer net.Dialer
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp", front)
		if err == nil {
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			// The daemon may close the connection at any moment.
			_, _ = io.WriteString(conn, request)
			_, _ = io.Copy(io.Discard, conn)
			stop()
			_ = conn.Close()
		}
		timer.Pause(ctx, clock, crowdReturn)
	}
	return nil
}

// checkMemory returns an error if the process has needed more memory than its settings allow. A process that is gone, or has
// just been replaced, is not checked.
func (d *daemon) checkMemory() error {
	d.mu.Lock()
	cmd := d.cmd
	d.mu.Unlock()
	if cmd == nil {
		return nil
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return nil
	}
	for line := range strings.Lines(string(status)) {
		rest, found := strings.CutPrefix(line, "VmHWM:")
		if !found {
			continue
		}
		kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
		if err == nil && kilobytes > crowdMemoryMb<<10 {
			err = fmt.Errorf("%s has needed %d MB of memory, its limit is %d MB", d.name, kilobytes>>10, crowdMemoryMb)
		}
		return err
	}
	return nil
}

// checkStalledJobs reports jobs that run although they were never sent as a whole.
func (s *soak) checkStalledJobs() {
	for _, id := range s.stalledJobs {
		if s.checker.startedTasks(id) > 0 {
			s.report.Violations = append(s.report.Violations, fmt.Sprintf("job %s runs, but was never sent as a whole", id))
		}
	}
}
