package load

import (
	"github.com/shirou/gopsutil/v4/cpu"
)

// CPUTimes is a reading of the machine's CPU times.
type CPUTimes struct {
	times cpu.TimesStat
	// known is false if the reading failed.
	known bool
}

// ReadCPUTimes reads the CPU times of the machine.
func ReadCPUTimes() CPUTimes {
	all, err := cpu.Times(false)
	if err != nil || len(all) == 0 {
		return CPUTimes{}
	}
	return CPUTimes{times: all[0], known: true}
}

// Since returns the shares of CPU time that were used and stolen since the reading m, in percent, and zeros if a reading
// failed.
func (m CPUTimes) Since() (busy, steal float64) {
	now := ReadCPUTimes()
	total := totalTime(now.times) - totalTime(m.times)
	if !m.known || !now.known || total <= 0 {
		return 0, 0
	}
	steal = (now.times.Steal - m.times.Steal) / total * 100
	idle := (now.times.Idle + now.times.Iowait - m.times.Idle - m.times.Iowait) / total * 100
	return 100 - idle - steal, steal
}

// totalTime returns the CPU time in all states.
func totalTime(t cpu.TimesStat) float64 {
	return t.User + t.System + t.Idle + t.Nice + t.Iowait + t.Irq + t.Softirq + t.Steal
}
