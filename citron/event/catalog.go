package event

import "github.com/sirupsen/logrus"

// Events of the daemon's lifecycle.
var (
	DaemonStarted   = register(100, logrus.InfoLevel, "daemon started")
	DaemonReady     = register(101, logrus.InfoLevel, "daemon ready")
	DaemonDraining  = register(102, logrus.InfoLevel, "daemon draining")
	DaemonStopped   = register(103, logrus.InfoLevel, "daemon stopped")
	DrainTimedOut   = register(104, logrus.WarnLevel, "drain timed out with requests in flight")
	ComponentEnded  = register(105, logrus.ErrorLevel, "component of the daemon ended with an error")
	StartedFromPeer = register(106, logrus.WarnLevel, "state loaded from a peer because the log does not answer")
)

// Events of the platform's log and VM list.
var (
	LogReadFailed    = register(200, logrus.WarnLevel, "log read failed")
	LogAppendFailed  = register(201, logrus.WarnLevel, "log append failed")
	SnapshotWritten  = register(202, logrus.InfoLevel, "snapshot written")
	ListFailed       = register(203, logrus.WarnLevel, "VM list could not be read")
	VMGone           = register(204, logrus.InfoLevel, "VM no longer listed")
	PowerFailed      = register(206, logrus.WarnLevel, "power change failed")
	StoreReachable   = register(207, logrus.InfoLevel, "store reachable")
	RecordUnreadable = register(208, logrus.WarnLevel, "record cannot be decoded, skipped")
	PartitionLoaded  = register(209, logrus.InfoLevel, "partition loaded")
	RecordsDeleted   = register(210, logrus.WarnLevel, "records deleted before they were read, loading the partition again")
)

// Events of ownership.
var (
	ShardGained    = register(300, logrus.InfoLevel, "shard gained")
	ShardLost      = register(301, logrus.WarnLevel, "shard lost")
	LeaseExpired   = register(302, logrus.WarnLevel, "lease expired")
	ClaimSent      = register(303, logrus.InfoLevel, "claim sent")
	StandbyChanged = register(304, logrus.InfoLevel, "standby change sent")
	ShardReleased  = register(305, logrus.InfoLevel, "shard released to its standby")
	ShardHandedOff = register(306, logrus.InfoLevel, "shard handover sent")
	ShardReady     = register(307, logrus.InfoLevel, "shard state loaded")
	ClaimSeen      = register(308, logrus.InfoLevel, "claim on the pool read")
	PoolClaimed    = register(309, logrus.InfoLevel, "pool held by this daemon, loading state")
	PoolRunning    = register(310, logrus.InfoLevel, "pool running")
	PoolLost       = register(311, logrus.WarnLevel, "pool no longer held by this daemon")
	HandOverFailed = register(312, logrus.WarnLevel, "pool handover failed")
	// LostDaemonsRemoved and PresenceRestored concern the records with which daemons announce themselves.
	LostDaemonsRemoved = register(313, logrus.InfoLevel, "presence records of lost daemons removed")
	PresenceRestored   = register(314, logrus.WarnLevel, "this daemon is not counted by the holder, announcing again")
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
	JobAccepted        = register(600, logrus.InfoLevel, "job accepted")
	TaskPlaced         = register(601, logrus.InfoLevel, "task placed")
	TaskEnded          = register(602, logrus.InfoLevel, "task ended")
	WorkerQuarantined  = register(603, logrus.WarnLevel, "worker quarantined")
	WorkerSyncFailed   = register(604, logrus.WarnLevel, "worker sync failed")
	TaskPreempted      = register(605, logrus.InfoLevel, "task preempted")
	WorkerPowered      = register(606, logrus.InfoLevel, "worker power changed")
	TaskRequeued       = register(607, logrus.InfoLevel, "task requeued")
	QueueUse           = register(635, logrus.InfoLevel, "use by queue")
	PoolUse            = register(636, logrus.InfoLevel, "use of the pool")
	JobEnded           = register(608, logrus.InfoLevel, "job ended")
	JobRefused         = register(609, logrus.InfoLevel, "job refused")
	JobCancelled       = register(610, logrus.InfoLevel, "job cancelled")
	AdviceRequested    = register(611, logrus.InfoLevel, "policy service queried")
	WorkerLost         = register(612, logrus.WarnLevel, "worker lost")
	StepWaiting        = register(614, logrus.InfoLevel, "step waiting")
	ExchangeFailed     = register(613, logrus.WarnLevel, "exchange failed")
	WorkerSpeedChanged = register(630, logrus.InfoLevel, "worker speed class changed")
	RunLost            = register(616, logrus.InfoLevel, "run lost with its worker")
	WorkerRestarted    = register(617, logrus.InfoLevel, "worker restarted under its id")
	EndSkipped         = register(618, logrus.WarnLevel, "ended run skipped")
	PendingJobsCounted = register(615, logrus.InfoLevel, "pending jobs counted")
	TeamMalformed      = register(620, logrus.WarnLevel, "team in the configuration malformed")
	KeyAmbiguous       = register(621, logrus.WarnLevel, "key of several teams in the configuration")
	KeyRefused         = register(622, logrus.InfoLevel, "caller without a valid key refused")
	KeysOutdated       = register(623, logrus.WarnLevel, "keys refused while the configuration may be outdated")
	TeamAboveQuota     = register(624, logrus.WarnLevel, "team uses more than its new maximum")
	TeamWaitsForQuota  = register(625, logrus.InfoLevel, "team waits for its quota")
	UnknownRunsCounted = register(626, logrus.WarnLevel, "runs of unknown teams count against each maximum")
	TeamsRefused       = register(627, logrus.InfoLevel, "jobs of teams refused")
	TeamRefusalsEnded  = register(628, logrus.InfoLevel, "jobs of all teams admitted")
	TeamBacklogFound   = register(629, logrus.InfoLevel, "backlog of team too long")
	// PairAccepted and PairWithdrawn carry the Slowed and By kinds, the Factor and the counts of ended runs.
	PairAccepted  = register(633, logrus.InfoLevel, "interfering kinds of task accepted")
	PairWithdrawn = register(634, logrus.InfoLevel, "interfering kinds of task withdrawn")
)

// Events of machine upkeep.
var (
	WaveRequested = register(800, logrus.InfoLevel, "upkeep wave requested")
	UpkeepOrdered = register(801, logrus.InfoLevel, "machine upkeep ordered")
	WaveReported  = register(802, logrus.InfoLevel, "upkeep wave reported to the operator")
)

// Events of the ports.
var (
	PeerRefused = register(700, logrus.WarnLevel, "peer message refused")
	KeysLoaded  = register(701, logrus.InfoLevel, "TLS keys loaded")
	// RequestIncomplete is emitted for senders that are slow, disconnected or do not send HTTP.
	RequestIncomplete = register(702, logrus.InfoLevel, "connection closed without a complete request")
	ServerError       = register(703, logrus.WarnLevel, "HTTP server error")
	RequestsShed      = register(704, logrus.WarnLevel, "connections closed or requests refused so that others are served")
)

var catalog []Event

// Catalog returns all events in the order of their definition.
func Catalog() []Event {
	return append([]Event(nil), catalog...)
}

// register defines an event and adds it to the catalog.
func register(number int, level logrus.Level, text string) Event {
	e := Event{Number: number, Level: level, Text: text}
	catalog = append(catalog, e)
	return e
}
