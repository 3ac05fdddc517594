package event

import "github.com/sirupsen/logrus"

// Events of the daemon's life.
var (
	DaemonStarted   = register(100, logrus.InfoLevel, "daemon started")
	DaemonReady     = register(101, logrus.InfoLevel, "daemon ready")
	DaemonDraining  = register(102, logrus.InfoLevel, "daemon draining")
	DaemonStopped   = register(103, logrus.InfoLevel, "daemon stopped")
	DrainTimedOut   = register(104, logrus.WarnLevel, "drain time passed with requests in flight")
	ComponentEnded  = register(105, logrus.ErrorLevel, "part of the daemon ended early")
	StartedFromPeer = register(106, logrus.WarnLevel, "state taken from peers because the log does not answer")
)

// Events of the platform's log and VM list.
var (
	LogReadFailed    = register(200, logrus.WarnLevel, "log read failed")
	LogAppendFailed  = register(201, logrus.WarnLevel, "log append failed")
	SnapshotWritten  = register(202, logrus.InfoLevel, "snapshot written")
	ListFailed       = register(203, logrus.WarnLevel, "VM list failed")
	VMGone           = register(204, logrus.InfoLevel, "VM gone")
	PowerFailed      = register(206, logrus.WarnLevel, "power change failed")
	StoreReachable   = register(207, logrus.InfoLevel, "store answers")
	RecordUnreadable = register(208, logrus.WarnLevel, "record cannot be read, passed over")
)

// Events of ownership.
var (
	ShardGained    = register(300, logrus.InfoLevel, "shard gained")
	ShardLost      = register(301, logrus.WarnLevel, "shard lost")
	LeaseExpired   = register(302, logrus.WarnLevel, "lease lapsed")
	ClaimSent      = register(303, logrus.InfoLevel, "claim sent")
	StandbyChanged = register(304, logrus.InfoLevel, "standby change sent")
	ShardReleased  = register(305, logrus.InfoLevel, "shard released to its standby")
	ShardHandedOff = register(306, logrus.InfoLevel, "shard handover sent")
	ShardReady     = register(307, logrus.InfoLevel, "shard state loaded")
	ClaimSeen      = register(308, logrus.InfoLevel, "pool claimed by a daemon")
	PoolClaimed    = register(309, logrus.InfoLevel, "pool held, state loading")
	PoolRunning    = register(310, logrus.InfoLevel, "pool running")
	PoolLost       = register(311, logrus.WarnLevel, "pool no longer held")
	HandOverFailed = register(312, logrus.WarnLevel, "hand-over refused")
)

// Events of configuration.
var (
	TemplateInForce = register(400, logrus.InfoLevel, "template in force")
	ConfigInForce   = register(401, logrus.InfoLevel, "configuration in force")
)

// Events of calls.
var (
	CallRefused   = register(500, logrus.DebugLevel, "call refused")
	CallRetried   = register(501, logrus.DebugLevel, "call retried")
	CallUnknown   = register(502, logrus.WarnLevel, "call outcome unknown")
	AnswerDropped = register(503, logrus.WarnLevel, "answer dropped")
)

// Events of jobs.
var (
	JobAccepted       = register(600, logrus.InfoLevel, "job accepted")
	TaskPlaced        = register(601, logrus.InfoLevel, "task placed")
	TaskEnded         = register(602, logrus.InfoLevel, "task ended")
	WorkerQuarantined = register(603, logrus.WarnLevel, "worker quarantined")
	WorkerSyncFailed  = register(604, logrus.WarnLevel, "worker sync failed")
	TaskPreempted     = register(605, logrus.InfoLevel, "task preempted")
	WorkerPowered     = register(606, logrus.InfoLevel, "worker power changed")
	TaskRequeued      = register(607, logrus.InfoLevel, "task waits again")
	JobEnded          = register(608, logrus.InfoLevel, "job ended")
	JobRefused        = register(609, logrus.InfoLevel, "job refused")
	JobCancelled      = register(610, logrus.InfoLevel, "job cancelled")
	AdviceRequested   = register(611, logrus.InfoLevel, "policy service asked")
	WorkerLost        = register(612, logrus.WarnLevel, "worker lost")
	StepWaiting       = register(614, logrus.InfoLevel, "step waits")
	ExchangeFailed    = register(613, logrus.WarnLevel, "exchange failed")
)

// Events of upkeep.
var (
	WaveRequested = register(800, logrus.InfoLevel, "wave of upkeep asked for")
	UpkeepOrdered = register(801, logrus.InfoLevel, "machine ordered down for upkeep")
	WaveReported  = register(802, logrus.InfoLevel, "wave reported to the operator")
)

// Events of the ports.
var (
	PeerRefused = register(700, logrus.WarnLevel, "peer message refused")
	KeysLoaded  = register(701, logrus.InfoLevel, "TLS keys loaded")
	// RequestIncomplete is written for senders that are slow, cut or send no HTTP.
	RequestIncomplete = register(702, logrus.InfoLevel, "connection ended without a whole request")
	ServerError       = register(703, logrus.WarnLevel, "HTTP server error")
)

var catalog []Event

// Catalog lists every event by number.
func Catalog() []Event {
	return append([]Event(nil), catalog...)
}

func register(number int, level logrus.Level, text string) Event {
	e := Event{Number: number, Level: level, Text: text}
	catalog = append(catalog, e)
	return e
}
