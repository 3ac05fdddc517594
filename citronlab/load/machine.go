package load

import (
	"github.com/shirou/gopsutil/v4/cpu"
)

// CPUTimes is one reading of the machine's processor time.
type CPUTimes struct {
	times cpu.TimesStat
	known bool
}

// ReadCPUTimes reads the machine's processor time.
func ReadCPUTimes() CPUTimes {
	all, err := cpu.Times(false)
	if err != nil || len(all) == 0 {
		return CPUTimes{}
	}
	return CPUTimes{times: all[0], known: true}
}

// Since returns how much of the machine was used and stolen since a reading, in percent; zero where it is unknown.
func (m CPUTimes) Since() (busy, steal float64) {
	now := ReadCPUTimes()
	total := sum(now.times) - sum(m.times)
	if !m.known || !now.known || total <= 0 {
		return 0, 0
	}
	steal = (now.times.Steal - m.times.Steal) / total * 100
	idle := (now.times.Idle + now.times.Iowait - m.times.Idle - m.times.Iowait) / total * 100
	return 100 - idle - steal, steal
}

func sum(t cpu.TimesStat) float64 {
	return t.User + t.System + t.Idle + t.Nice + t.Iowait + t.Irq + t.Softirq + t.Steal
}
