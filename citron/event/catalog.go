package event

import "github.com/sirupsen/logrus"

// Events of the daemon's life.
var (
	DaemonStarted   = add(100, logrus.InfoLevel, "daemon started")
	DaemonReady     = add(101, logrus.InfoLevel, "daemon ready")
	DaemonDraining  = add(102, logrus.InfoLevel, "daemon draining")
	DaemonStopped   = add(103, logrus.InfoLevel, "daemon stopped")
	DrainTimedOut   = add(104, logrus.WarnLevel, "drain time passed with requests in flight")
	ComponentEnded  = add(105, logrus.ErrorLevel, "part of the daemon ended early")
	StartedFromPeer = add(106, logrus.WarnLevel, "state taken from peers because the log does not answer")
)

// Events of the platform's log and VM list.
var (
	LogReadFailed    = add(200, logrus.WarnLevel, "log read failed")
	LogAppendFailed  = add(201, logrus.WarnLevel, "log append failed")
	SnapshotWritten  = add(202, logrus.InfoLevel, "snapshot written")
	ListFailed       = add(203, logrus.WarnLevel, "VM list failed")
	VMGone           = add(204, logrus.InfoLevel, "VM gone")
	PowerFailed      = add(206, logrus.WarnLevel, "power change failed")
	StoreReachable   = add(207, logrus.InfoLevel, "store answers")
	RecordUnreadable = add(208, logrus.WarnLevel, "record cannot be read, passed over")
)

// Events of ownership.
var (
	ShardGained    = add(300, logrus.InfoLevel, "shard gained")
	ShardLost      = add(301, logrus.WarnLevel, "shard lost")
	LeaseExpired   = add(302, logrus.WarnLevel, "lease lapsed")
	ClaimSent      = add(303, logrus.InfoLevel, "claim sent")
	StandbyChanged = add(304, logrus.InfoLevel, "standby change sent")
	ShardReleased  = add(305, logrus.InfoLevel, "shard released to its standby")
	ShardHandedOff = add(306, logrus.InfoLevel, "shard handover sent")
	ShardReady     = add(307, logrus.InfoLevel, "shard state loaded")
	ClaimSeen      = add(308, logrus.InfoLevel, "pool claimed by a daemon")
	PoolClaimed    = add(309, logrus.InfoLevel, "pool held, state loading")
	PoolRunning    = add(310, logrus.InfoLevel, "pool running")
	PoolLost       = add(311, logrus.WarnLevel, "pool no longer held")
	HandOverFailed = add(312, logrus.WarnLevel, "hand-over refused")
)

// Events of configuration.
var (
	TemplateInForce = add(400, logrus.InfoLevel, "template in force")
	ConfigInForce   = add(401, logrus.InfoLevel, "configuration in force")
)

// Events of calls.
var (
	CallRefused   = add(500, logrus.DebugLevel, "call refused")
	CallRetried   = add(501, logrus.DebugLevel, "call retried")
	CallUnknown   = add(502, logrus.WarnLevel, "call outcome unknown")
	AnswerDropped = add(503, logrus.WarnLevel, "answer dropped")
)

// Events of jobs.
var (
	JobAccepted       = add(600, logrus.InfoLevel, "job accepted")
	TaskPlaced        = add(601, logrus.InfoLevel, "task placed")
	TaskEnded         = add(602, logrus.InfoLevel, "task ended")
	WorkerQuarantined = add(603, logrus.WarnLevel, "worker quarantined")
	WorkerSyncFailed  = add(604, logrus.WarnLevel, "worker sync failed")
	TaskPreempted     = add(605, logrus.InfoLevel, "task preempted")
	WorkerPowered     = add(606, logrus.InfoLevel, "worker power changed")
	TaskRequeued      = add(607, logrus.InfoLevel, "task waits again")
	JobEnded          = add(608, logrus.InfoLevel, "job ended")
	JobRefused        = add(609, logrus.InfoLevel, "job refused")
	JobCancelled      = add(610, logrus.InfoLevel, "job cancelled")
	AdviceRequested   = add(611, logrus.InfoLevel, "policy service asked")
	WorkerLost        = add(612, logrus.WarnLevel, "worker lost")
	StepWaiting       = add(614, logrus.InfoLevel, "step waits")
	ExchangeFailed    = add(613, logrus.WarnLevel, "exchange failed")
)

// Events of upkeep.
var (
	WaveRequested = add(800, logrus.InfoLevel, "wave of upkeep asked for")
	UpkeepOrdered = add(801, logrus.InfoLevel, "machine ordered down for upkeep")
	WaveReported  = add(802, logrus.InfoLevel, "wave reported to the operator")
)

// Events of the ports.
var (
	PeerRefused = add(700, logrus.WarnLevel, "peer message refused")
	KeysLoaded  = add(701, logrus.InfoLevel, "TLS keys loaded")
	// RequestIncomplete is written for senders that are slow, cut or send no HTTP.
	RequestIncomplete = add(702, logrus.InfoLevel, "connection ended without a whole request")
	ServerError       = add(703, logrus.WarnLevel, "HTTP server error")
)

var catalog []Event

// Catalog lists every event by number.
func Catalog() []Event {
	return append([]Event(nil), catalog...)
}

func add(number int, level logrus.Level, text string) Event {
	e := Event{Number: number, Level: level, Text: text}
	catalog = append(catalog, e)
	return e
}
