// Package stats defines the metrics of a daemon.
package stats

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/citroncross/citroncross/citron"
)

// Set is the metrics of one daemon. Team and class labels come from current templates only, so their number is bounded.
type Set struct {
	set *metrics.Set

	mu sync.Mutex
	// teamLabels are the teams that have a label of their own in the counters of jobs by team.
	teamLabels map[citron.Team]bool
}

// New returns a set without metrics.
func New() *Set {
	return &Set{set: metrics.NewSet()}
}

// Write writes all metrics in Prometheus text format.
func (s *Set) Write(w io.Writer) {
	s.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// ObserveWait records how long a call waited for a slot.
func (s *Set) ObserveWait(team citron.Team, class citron.Class, d time.Duration) {
	s.classHistogram("citron_wait_seconds", team, class).Update(d.Seconds())
}

// ObserveRun records how long an endpoint took to run a call.
func (s *Set) ObserveRun(team citron.Team, class citron.Class, d time.Duration) {
	s.classHistogram("citron_run_seconds", team, class).Update(d.Seconds())
}

// ObservePlacement records how long a task waited for its placement.
func (s *Set) ObservePlacement(team citron.Team, class citron.Class, d time.Duration) {
	s.classHistogram("citron_place_seconds", team, class).Update(d.Seconds())
}

// CountOutcome counts a final answer to a caller.
func (s *Set) CountOutcome(team citron.Team, class citron.Class, outcome string) {
	s.counter(`citron_outcomes_total{Team=%q,Class=%q,Outcome=%q}`, team, class, outcome).Inc()
}

// CountRefusal counts a refusal by number.
func (s *Set) CountRefusal(number citron.RefusalNumber) {
	s.counter(`citron_refusals_total{Number="%d"}`, number).Inc()
}

// CountRetry counts a retry of a call.
func (s *Set) CountRetry(team citron.Team, class citron.Class) {
	s.counter(`citron_retries_total{Team=%q,Class=%q}`, team, class).Inc()
}

// CountForward counts an attempt that was forwarded to another daemon, by result.
func (s *Set) CountForward(result string) {
	s.counter(`citron_forwards_total{Result=%q}`, result).Inc()
}

// CountAppend counts one append and its records.
func (s *Set) CountAppend(records int, failed bool) {
	s.counter(`citron_appends_total{Failed="%t"}`, failed).Inc()
	s.counter(`citron_appended_records_total`).Add(records)
}

// CountLeaseLoss counts a shard whose lease expired.
func (s *Set) CountLeaseLoss() {
	s.counter(`citron_lease_losses_total`).Inc()
}

// CountControlBytes adds to the bytes of control messages of a kind.
func (s *Set) CountControlBytes(kind string, n int) {
	s.counter(`citron_control_bytes_total{Kind=%q}`, kind).Add(n)
}

// CountPeerRefusal counts a message that the peer port refused.
func (s *Set) CountPeerRefusal() {
	s.counter(`citron_peer_refusals_total`).Inc()
}

// ObserveDecision records how long a placement decision took.
func (s *Set) ObserveDecision(d time.Duration) {
	s.set.GetOrCreateHistogram("citron_decision_seconds").Update(d.Seconds())
}

// CountIncompleteRequest counts a connection to a port that ended without a complete request.
func (s *Set) CountIncompleteRequest(port string) {
	s.counter(`citron_silent_connections_total{Port=%q}`, port).Inc()
}

// CountShedRequest counts a connection to a port that was closed, or a request that was refused, so that others are served.
func (s *Set) CountShedRequest(port, reason string) {
	s.counter(`citron_shed_requests_total{Port=%q,Reason=%q}`, port, reason).Inc()
}

// ObserveAccept records the HTTP status with which a submitted job was answered, and how long the answer took.
func (s *Set) ObserveAccept(queue citron.QueueName, status int, took time.Duration) {
	s.counter(`citron_job_answers_total{Queue=%q,Status="%d"}`, queue, status).Inc()
	s.queueHistogram("citron_job_accept_seconds", queue).Update(took.Seconds())
}

// maxTeamLabels limits the series by team, since a configuration may list any number of teams over time: ten times the
// teams of the largest deployment.
const maxTeamLabels = 200

// otherTeams is the label of the teams beyond maxTeamLabels.
const otherTeams citron.Team = "other"

// CountTeamJob counts a job that a team submitted, by whether it was accepted.
func (s *Set) CountTeamJob(team citron.Team, accepted bool) {
	s.counter(`citron_team_jobs_total{Team=%q,Accepted="%t"}`, s.teamLabel(team), accepted).Inc()
}

// teamLabel returns the label of a team. A team keeps its label until the daemon ends.
func (s *Set) teamLabel(team citron.Team) citron.Team {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.teamLabels[team] {
		return team
	}
	if len(s.teamLabels) >= maxTeamLabels {
		return otherTeams
	}
	if s.teamLabels == nil {
		s.teamLabels = map[citron.Team]bool{}
	}
	s.teamLabels[team] = true
	return team
}

// CountShareRefusal counts a job that was refused because of its team's share, by reason.
func (s *Set) CountShareRefusal(reason string) {
	s.counter(`citron_share_refusals_total{Reason=%q}`, reason).Inc()
}

// CountMemoryRefusal counts a job that was refused because of the memory that accepted jobs take, by reason.
func (s *Set) CountMemoryRefusal(reason string) {
	s.counter(`citron_memory_refusals_total{Reason=%q}`, reason).Inc()
}

// ObserveStart records how long a task waited for its start since it became ready or its last run ended.
func (s *Set) ObserveStart(queue citron.QueueName, waited time.Duration) {
	s.queueHistogram("citron_task_wait_seconds", queue).Update(waited.Seconds())
}

// ObserveEnd records how a run ended and how long it took.
func (s *Set) ObserveEnd(queue citron.QueueName, kind string, ran time.Duration) {
	s.counter(`citron_task_ends_total{Queue=%q,Kind=%q}`, queue, kind).Inc()
	s.queueHistogram("citron_task_run_seconds", queue).Update(ran.Seconds())
}

// CountRequeue counts a run that ended without success and whose task was queued again, by reason.
func (s *Set) CountRequeue(queue citron.QueueName, reason string) {
	s.counter(`citron_task_requeues_total{Queue=%q,Reason=%q}`, queue, reason).Inc()
}

// ObserveJobEnd records the state in which a job ended and the time since its acceptance.
func (s *Set) ObserveJobEnd(queue citron.QueueName, state string, took time.Duration) {
	s.counter(`citron_job_ends_total{Queue=%q,State=%q}`, queue, state).Inc()
	s.queueHistogram("citron_job_seconds", queue).Update(took.Seconds())
}

// CountFailedExchange counts a failed exchange with the store, a worker, the policy service or another daemon.
func (s *Set) CountFailedExchange(kind string) {
	s.counter(`citron_failed_exchanges_total{Kind=%q}`, kind).Inc()
}

// ObserveStoreCall records the outcome and duration of a call to the store.
func (s *Set) ObserveStoreCall(call, outcome string, took time.Duration) {
	s.counter(`citron_store_calls_total{Call=%q,Outcome=%q}`, call, outcome).Inc()
	s.set.GetOrCreateHistogram(fmt.Sprintf(`citron_store_seconds{Call=%q}`, call)).Update(took.Seconds())
}

// CountTraffic counts one exchange and the bytes of its bodies. Remote is the kind of the other side, such as the store or
// a daemon.
func (s *Set) CountTraffic(remote, call string, sent, received int) {
	s.counter(`citron_exchanges_total{Remote=%q,Call=%q}`, remote, call).Inc()
	s.counter(`citron_traffic_bytes_total{Remote=%q,Call=%q,Direction="sent"}`, remote, call).Add(sent)
	s.counter(`citron_traffic_bytes_total{Remote=%q,Call=%q,Direction="received"}`, remote, call).Add(received)
}

// queueHistogram returns the histogram of a queue.
func (s *Set) queueHistogram(name string, queue citron.QueueName) *metrics.Histogram {
	return s.set.GetOrCreateHistogram(fmt.Sprintf(`%s{Queue=%q}`, name, queue))
}

// RegisterGauge adds a gauge whose value is read when the metrics are written.
func (s *Set) RegisterGauge(name string, read func() float64) {
	s.set.GetOrCreateGauge(name, read)
}

// classHistogram returns the histogram of a class of a team.
func (s *Set) classHistogram(name string, team citron.Team, class citron.Class) *metrics.Histogram {
	return s.set.GetOrCreateHistogram(fmt.Sprintf(`%s{Team=%q,Class=%q}`, name, team, class))
}

func (s *Set) counter(format string, args ...any) *metrics.Counter {
	return s.set.GetOrCreateCounter(fmt.Sprintf(format, args...))
}
