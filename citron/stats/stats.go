// Package stats holds the metrics of one daemon.
package stats

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/citroncross/citroncross/citron"
)

// Set is the metrics of one daemon. Team and class come from templates in force only, so no label is unbounded.
type Set struct {
	set *metrics.Set
}

// New returns an empty set.
func New() *Set {
	return &Set{set: metrics.NewSet()}
}

// Write writes all metrics in the text format of Prometheus.
func (s *Set) Write(w io.Writer) {
	s.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// ObserveWait notes how long a call waited for a slot.
func (s *Set) ObserveWait(team citron.Team, class citron.Class, d time.Duration) {
	s.classHistogram("citron_wait_seconds", team, class).Update(d.Seconds())
}

// ObserveRun notes how long an endpoint took.
func (s *Set) ObserveRun(team citron.Team, class citron.Class, d time.Duration) {
	s.classHistogram("citron_run_seconds", team, class).Update(d.Seconds())
}

// ObservePlacement notes how long a task waited for its placement.
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

// CountRetry counts a further attempt.
func (s *Set) CountRetry(team citron.Team, class citron.Class) {
	s.counter(`citron_retries_total{Team=%q,Class=%q}`, team, class).Inc()
}

// CountForward counts a call that went to another daemon.
func (s *Set) CountForward(result string) {
	s.counter(`citron_forwards_total{Result=%q}`, result).Inc()
}

// CountAppend counts one append and its records.
func (s *Set) CountAppend(records int, failed bool) {
	s.counter(`citron_appends_total{Failed="%t"}`, failed).Inc()
	s.counter(`citron_appended_records_total`).Add(records)
}

// CountLeaseLoss counts a shard that could no longer be used.
func (s *Set) CountLeaseLoss() {
	s.counter(`citron_lease_losses_total`).Inc()
}

// CountControlBytes counts the bytes of control messages by kind.
func (s *Set) CountControlBytes(kind string, n int) {
	s.counter(`citron_control_bytes_total{Kind=%q}`, kind).Add(n)
}

// CountPeerRefusal counts a message that the peer port refused.
func (s *Set) CountPeerRefusal() {
	s.counter(`citron_peer_refusals_total`).Inc()
}

// ObserveDecision notes how long one placement decision took.
func (s *Set) ObserveDecision(d time.Duration) {
	s.set.GetOrCreateHistogram("citron_decision_seconds").Update(d.Seconds())
}

// CountIncompleteRequest counts a connection to a port that ended without a whole request.
func (s *Set) CountIncompleteRequest(port string) {
	s.counter(`citron_silent_connections_total{Port=%q}`, port).Inc()
}

// ObserveAccept notes how long a job took to be stored, or that it was refused with a status.
func (s *Set) ObserveAccept(queue citron.QueueName, status int, took time.Duration) {
	s.counter(`citron_job_answers_total{Queue=%q,Status="%d"}`, queue, status).Inc()
	s.queueHistogram("citron_job_accept_seconds", queue).Update(took.Seconds())
}

// ObserveStart notes how long a task waited from being ready, or from its last end, to its start.
func (s *Set) ObserveStart(queue citron.QueueName, waited time.Duration) {
	s.queueHistogram("citron_task_wait_seconds", queue).Update(waited.Seconds())
}

// ObserveEnd notes how a run ended and how long it took.
func (s *Set) ObserveEnd(queue citron.QueueName, kind string, ran time.Duration) {
	s.counter(`citron_task_ends_total{Queue=%q,Kind=%q}`, queue, kind).Inc()
	s.queueHistogram("citron_task_run_seconds", queue).Update(ran.Seconds())
}

// CountRequeue counts a run that ended without being done, and why.
func (s *Set) CountRequeue(queue citron.QueueName, reason string) {
	s.counter(`citron_task_requeues_total{Queue=%q,Reason=%q}`, queue, reason).Inc()
}

// ObserveJobEnd notes how a job ended and how long after its acceptance.
func (s *Set) ObserveJobEnd(queue citron.QueueName, state string, took time.Duration) {
	s.counter(`citron_job_ends_total{Queue=%q,State=%q}`, queue, state).Inc()
	s.queueHistogram("citron_job_seconds", queue).Update(took.Seconds())
}

// CountFailedExchange counts an exchange with a store, worker, policy service or daemon that failed.
func (s *Set) CountFailedExchange(kind string) {
	s.counter(`citron_failed_exchanges_total{Kind=%q}`, kind).Inc()
}

// ObserveStoreCall notes one call to the store.
func (s *Set) ObserveStoreCall(call, outcome string, took time.Duration) {
	s.counter(`citron_store_calls_total{Call=%q,Outcome=%q}`, call, outcome).Inc()
	s.set.GetOrCreateHistogram(fmt.Sprintf(`citron_store_seconds{Call=%q}`, call)).Update(took.Seconds())
}

func (s *Set) queueHistogram(name string, queue citron.QueueName) *metrics.Histogram {
	return s.set.GetOrCreateHistogram(fmt.Sprintf(`%s{Queue=%q}`, name, queue))
}

// RegisterGauge shows a value that is read when the metrics are written.
func (s *Set) RegisterGauge(name string, read func() float64) {
	s.set.GetOrCreateGauge(name, read)
}

func (s *Set) classHistogram(name string, team citron.Team, class citron.Class) *metrics.Histogram {
	return s.set.GetOrCreateHistogram(fmt.Sprintf(`%s{Team=%q,Class=%q}`, name, team, class))
}

func (s *Set) counter(format string, args ...any) *metrics.Counter {
	return s.set.GetOrCreateCounter(fmt.Sprintf(format, args...))
}
