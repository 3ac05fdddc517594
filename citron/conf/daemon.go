package conf

import (
	"net"
	"net/url"
	"strconv"

	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/schema/prefs"
)

// Maximum values of settings.
const (
	maxShards  = 100_000
	maxMs      = 24 * 60 * 60 * 1000
	maxBytes   = 1 << 32
	maxCount   = 1 << 31
	maxMinutes = 30 * 24 * 60

	minMemoryMb  = 96
	maxMemoryMb  = 1 << 20
	minOpenFiles = 256
	// bodiesInMemory is the number of largest bodies whose size the memory must be, so that its share for requests holds some.
	bodiesInMemory = 32
)

// DaemonDefaults returns the settings that apply if a file does not set them.
func DaemonDefaults() *prefs.Daemon {
	return &prefs.Daemon{
		Log: &prefs.Log{Level: "info", Format: "text"},
		TLS: &prefs.TLS{},
		Limits: &prefs.Limits{
			BodyBytes:           1 << 20,
			QueuedCalls:         4096,
			QueuedBytes:         16 << 20,
			BufferedAnswerBytes: 256 << 10,
			AppendsPerSecond:    25,
			RetryPercent:        10,
			DrainMs:             20_000,
			IntentKeepMinutes:   24 * 60,
			SnapshotMinutes:     10,
			MemoryMb:            512,
			OpenFiles:           4096,
		},
		Ownership: &prefs.Ownership{
			LeaseMs:      2000,
			RenewMs:      400,
			DriftPercent: 5,
			CallShards:   24,
			WorkerPools:  1,
			BeatMs:       1000,
		},
		Jobs: &prefs.Jobs{
			TaskLeaseMs:        30_000,
			SyncMs:             1000,
			QuarantineFailures: 3,
			QuarantineMs:       60_000,
			GangHoldMs:         10_000,
			IdleSleepMs:        60_000,
			JobKeepMinutes:     60,
		},
	}
}

// ReadDaemon reads and validates the settings file of a daemon.
func ReadDaemon(file string) (settings *prefs.Daemon, problems Problems) {
	var read prefs.Daemon
	problems = ReadFile(file, &read)
	settings = DaemonDefaults()
	proto.Merge(settings, &read)
	checkDaemon(file, settings, &problems)
	return settings, problems
}

// allowedRange is the range of a numeric setting.
type allowedRange struct {
	key      string
	value    int64
	min, max int64
}

func checkDaemon(file string, d *prefs.Daemon, p *Problems) {
	checkRequired(file, "VM", d.GetVM(), p)
	checkRequired(file, "FailureDomain", d.GetFailureDomain(), p)
	checkAddress(file, "CallerAddress", d.GetCallerAddress(), p)
	checkAddress(file, "PeerAddress", d.GetPeerAddress(), p)
	checkAddress(file, "AdminAddress", d.GetAdminAddress(), p)
	if u, err := url.Parse(d.GetPlatformURL()); err != nil || u.Host == "" {
		p.Add(file, "PlatformURL", "is %q, must be a URL such as http://127.0.0.1:9000", d.GetPlatformURL())
	}
	checkPeers(file, d, p)
	checkTLS(file, d.GetTLS(), p)
	checkOneOf(file, "Log.Level", d.GetLog().GetLevel(), p, "debug", "info", "warning", "error")
	checkOneOf(file, "Log.Format", d.GetLog().GetFormat(), p, "text", "json")
	for _, r := range daemonRanges(d) {
		if r.value < r.min || r.value > r.max {
			p.Add(file, r.key, "is %d, must be from %d to %d%s", r.value, r.min, r.max, unitPhrase(r.key, " %s"))
		}
	}
	if o := d.GetOwnership(); o.GetRenewMs()*3 > o.GetLeaseMs() {
		p.Add(file, "Ownership.RenewMs", "is %d, must be at most a third of LeaseMs (%d)", o.GetRenewMs(), o.GetLeaseMs())
	}
	if j := d.GetJobs(); j.GetSyncMs()*3 > j.GetTaskLeaseMs() {
		p.Add(file, "Jobs.SyncMs", "is %d, must be at most a third of TaskLeaseMs (%d)", j.GetSyncMs(), j.GetTaskLeaseMs())
	}
}

func daemonRanges(d *prefs.Daemon) []allowedRange {
	l, o, j := d.GetLimits(), d.GetOwnership(), d.GetJobs()
	return []allowedRange{
		{"Limits.BodyBytes", l.GetBodyBytes(), 1, 64 << 20},
		{"Limits.QueuedCalls", l.GetQueuedCalls(), 1, maxCount},
		{"Limits.QueuedBytes", l.GetQueuedBytes(), 1, maxBytes},
		{"Limits.BufferedAnswerBytes", l.GetBufferedAnswerBytes(), 1, maxBytes},
		{"Limits.AppendsPerSecond", l.GetAppendsPerSecond(), 1, 1000},
		{"Limits.RetryPercent", l.GetRetryPercent(), 0, 100},
		{"Limits.DrainMs", l.GetDrainMs(), 1, maxMs},
		{"Limits.IntentKeepMinutes", l.GetIntentKeepMinutes(), 1, maxMinutes},
		{"Limits.SnapshotMinutes", l.GetSnapshotMinutes(), 1, maxMinutes},
		{"Limits.MemoryMb", l.GetMemoryMb(), max(minMemoryMb, bodiesInMemory*l.GetBodyBytes()>>20), maxMemoryMb},
		{"Limits.OpenFiles", l.GetOpenFiles(), minOpenFiles, maxCount},
		{"Ownership.LeaseMs", o.GetLeaseMs(), 100, maxMs},
		{"Ownership.RenewMs", o.GetRenewMs(), 10, maxMs},
		{"Ownership.DriftPercent", o.GetDriftPercent(), 1, 100},
		{"Ownership.CallShards", o.GetCallShards(), 1, maxShards},
		{"Ownership.WorkerPools", o.GetWorkerPools(), 1, maxShards},
		{"Ownership.BeatMs", o.GetBeatMs(), 20, 60_000},
		{"Jobs.TaskLeaseMs", j.GetTaskLeaseMs(), 300, maxMs},
		{"Jobs.SyncMs", j.GetSyncMs(), 10, maxMs},
		{"Jobs.QuarantineFailures", j.GetQuarantineFailures(), 1, 1000},
		{"Jobs.QuarantineMs", j.GetQuarantineMs(), 1, maxMs},
		{"Jobs.GangHoldMs", j.GetGangHoldMs(), 1, maxMs},
		{"Jobs.IdleSleepMs", j.GetIdleSleepMs(), 1, maxMs},
		{"Jobs.JobKeepMinutes", j.GetJobKeepMinutes(), 1, maxMinutes},
	}
}

// checkPeers checks that every daemon of the cell is listed once and that this daemon is among them.
func checkPeers(file string, d *prefs.Daemon, p *Problems) {
	if len(d.GetPeers()) == 0 {
		p.Add(file, "Peers", "is missing; list every daemon of the cell, including this one, as [[Peers]]")
		return
	}
	self := false
	listed := map[string]bool{}
	for n, peer := range d.GetPeers() {
		key := "Peers[" + strconv.Itoa(n) + "]"
		checkRequired(file, key+".VM", peer.GetVM(), p)
		checkAddress(file, key+".Address", peer.GetAddress(), p)
		if listed[peer.GetVM()] {
			p.Add(file, key+".VM", "%q is listed twice", peer.GetVM())
		}
		listed[peer.GetVM()] = true
		self = self || peer.GetVM() == d.GetVM() && peer.GetAddress() == d.GetPeerAddress()
	}
	if !self {
		p.Add(file, "Peers", "has no entry with this VM (%q) and PeerAddress (%q)", d.GetVM(), d.GetPeerAddress())
	}
}

// checkTLS checks that either all key files are set or TLS is turned off explicitly.
func checkTLS(file string, t *prefs.TLS, p *Problems) {
	given := t.GetCertFile() != "" || t.GetKeyFile() != "" || t.GetCAFile() != ""
	if t.GetOff() {
		if given {
			p.Add(file, "TLS.Off", "is true, but CertFile, KeyFile or CAFile is set; remove Off or the files")
		}
		return
	}
	const hint = "is missing; set CertFile, KeyFile and CAFile, or set Off = true"
	for _, f := range []struct{ key, value string }{
		{"TLS.CertFile", t.GetCertFile()},
		{"TLS.KeyFile", t.GetKeyFile()},
		{"TLS.CAFile", t.GetCAFile()},
	} {
		if f.value == "" {
			p.Add(file, f.key, hint)
		}
	}
}

func checkRequired(file, key, value string, p *Problems) {
	if value == "" {
		p.Add(file, key, "is missing")
	}
}

func checkAddress(file, key, value string, p *Problems) {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		p.Add(file, key, "is %q, must be IP:port such as 127.0.0.1:8080", value)
		return
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
		p.Add(file, key, "has port %q, must be from 1 to 65535", port)
	}
}

func checkOneOf(file, key, value string, p *Problems, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	p.Add(file, key, "is %q, must be one of %v", value, allowed)
}
