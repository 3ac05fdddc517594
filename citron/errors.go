package citron

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/citroncross/citroncross/schema/record"
)

// Sentinel errors of the interfaces.
var (
	// ErrUnavailable means that the other side did not answer; the effect is unknown.
	ErrUnavailable = errors.New("unavailable")
	// ErrTruncated means that an answer ended early.
	ErrTruncated = errors.New("answer truncated")
	// ErrMismatch means that an answer belongs to another request.
	ErrMismatch = errors.New("answer belongs to another request")
	// ErrRecordsDeleted means that the log has forgotten records that are needed.
	ErrRecordsDeleted = errors.New("records are no longer kept")
	// ErrNotOwner means that this daemon does not hold the shard.
	ErrNotOwner = errors.New("shard is not held here")
)

// RefusalNumber identifies a refusal in answers, logs and docs.
type RefusalNumber int32

// Refusal numbers. docs/CALLERS.md lists them.
const (
	RefusalUnknownTeam     RefusalNumber = 101
	RefusalUnknownClass    RefusalNumber = 102
	RefusalBadHeader       RefusalNumber = 103
	RefusalBodyTooLarge    RefusalNumber = 104
	RefusalBadBody         RefusalNumber = 105
	RefusalUnschedulable   RefusalNumber = 106
	RefusalUnknownJob      RefusalNumber = 107
	RefusalQueueFull       RefusalNumber = 201
	RefusalDeadlineTooNear RefusalNumber = 202
	RefusalDeadlinePassed  RefusalNumber = 203
	RefusalNoEndpoint      RefusalNumber = 204
	RefusalLogUnavailable  RefusalNumber = 205
	RefusalNoOwner         RefusalNumber = 207
	RefusalNoSlot          RefusalNumber = 208
	RefusalAlreadyRan      RefusalNumber = 301
	RefusalInProgress      RefusalNumber = 302
	RefusalOutcomeUnknown  RefusalNumber = 401
)

// Refusal is a final answer other than the endpoint's own.
type Refusal struct {
	Number  RefusalNumber
	Outcome record.Outcome
	// Reason says what was wrong and what to change.
	Reason string
	// RetryAfter is when to come back; zero where coming back does not help.
	RetryAfter time.Duration
}

// Error describes the refusal.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused (%d): %s", r.Number, r.Reason)
}

// Status returns the HTTP status that goes with the number.
func (r *Refusal) Status() int {
	switch r.Number {
	case RefusalUnknownTeam, RefusalUnknownClass, RefusalUnknownJob:
		return http.StatusNotFound
	case RefusalBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case RefusalBadHeader, RefusalBadBody:
		return http.StatusBadRequest
	case RefusalUnschedulable:
		return http.StatusUnprocessableEntity
	case RefusalAlreadyRan, RefusalInProgress:
		return http.StatusConflict
	case RefusalQueueFull:
		return http.StatusTooManyRequests
	case RefusalOutcomeUnknown:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// NewNotRunRefusal returns a refusal whose request has reached no endpoint.
func NewNotRunRefusal(number RefusalNumber, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{
		Number:     number,
		Outcome:    record.Outcome_OUTCOME_NOT_RUN,
		Reason:     fmt.Sprintf(format, args...),
		RetryAfter: retryAfter,
	}
}

// NewUnknownRefusal returns a refusal whose request may have run.
func NewUnknownRefusal(number RefusalNumber, format string, args ...any) *Refusal {
	return &Refusal{
		Number:  number,
		Outcome: record.Outcome_OUTCOME_UNKNOWN,
		Reason:  fmt.Sprintf(format, args...),
	}
}

// OutcomeText returns the value of the Citron-Outcome header.
func OutcomeText(outcome record.Outcome) string {
	switch outcome {
	case record.Outcome_OUTCOME_DONE:
		return "Done"
	case record.Outcome_OUTCOME_NOT_RUN:
		return "NotRun"
	}
	return "Unknown"
}
