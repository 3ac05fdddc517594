package citron

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/citroncross/citroncross/schema/record"
)

// Errors returned by implementations of this package's interfaces.
var (
	// ErrUnavailable means that the remote side did not answer; the request may or may not have taken effect.
	ErrUnavailable = errors.New("unavailable")
	// ErrTruncated means that an answer ended before it was complete.
	ErrTruncated = errors.New("answer truncated")
	// ErrMismatch means that an answer belongs to another request.
	ErrMismatch = errors.New("answer belongs to another request")
	// ErrRecordsDeleted means that the log no longer retains records that a reader needs.
	ErrRecordsDeleted = errors.New("records at the requested offset have been deleted")
	// ErrNotOwner means that this daemon does not own the shard.
	ErrNotOwner = errors.New("this daemon does not own the shard")
)

// RefusalNumber identifies the cause of a refusal in answers, logs and documentation.
type RefusalNumber int32

// Refusal numbers, documented in docs/CALLERS.md.
const (
	RefusalUnknownTeam     RefusalNumber = 101
	RefusalUnknownClass    RefusalNumber = 102
	RefusalBadHeader       RefusalNumber = 103
	RefusalBodyTooLarge    RefusalNumber = 104
	RefusalBadBody         RefusalNumber = 105
	RefusalUnschedulable   RefusalNumber = 106
	RefusalUnknownJob      RefusalNumber = 107
	RefusalNoKey           RefusalNumber = 108
	RefusalQueueFull       RefusalNumber = 201
	RefusalDeadlineTooNear RefusalNumber = 202
	RefusalDeadlinePassed  RefusalNumber = 203
	RefusalNoEndpoint      RefusalNumber = 204
	RefusalLogUnavailable  RefusalNumber = 205
	RefusalNoOwner         RefusalNumber = 207
	RefusalNoSlot          RefusalNumber = 208
	RefusalConfigStale     RefusalNumber = 209
	RefusalBacklog         RefusalNumber = 210
	RefusalNoMemory        RefusalNumber = 211
	RefusalAlreadyRan      RefusalNumber = 301
	RefusalInProgress      RefusalNumber = 302
	RefusalOtherTeamsJob   RefusalNumber = 303
	RefusalOutcomeUnknown  RefusalNumber = 401
)

// Refusal is a final answer given by the scheduler instead of an endpoint.
type Refusal struct {
	Number  RefusalNumber
	Outcome record.Outcome
	// Reason tells the caller what failed and what to change.
	Reason string
	// RetryAfter is the delay before a retry; zero if a retry does not help.
	RetryAfter time.Duration
}

// Error returns the refusal number and reason.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused (%d): %s", r.Number, r.Reason)
}

// Status returns the HTTP status for the refusal number.
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
	case RefusalNoKey:
		return http.StatusUnauthorized
	case RefusalAlreadyRan, RefusalInProgress, RefusalOtherTeamsJob:
		return http.StatusConflict
	case RefusalQueueFull, RefusalBacklog:
		return http.StatusTooManyRequests
	case RefusalOutcomeUnknown:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// NewNotRunRefusal returns a refusal of a request that has reached no endpoint.
func NewNotRunRefusal(number RefusalNumber, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{
		Number:     number,
		Outcome:    record.Outcome_OUTCOME_NOT_RUN,
		Reason:     shorten(fmt.Sprintf(format, args...)),
		RetryAfter: retryAfter,
	}
}

// NewUnknownRefusal returns a refusal of a request that may have run.
func NewUnknownRefusal(number RefusalNumber, format string, args ...any) *Refusal {
	return &Refusal{
		Number:  number,
		Outcome: record.Outcome_OUTCOME_UNKNOWN,
		Reason:  shorten(fmt.Sprintf(format, args...)),
	}
}

// maxReasonBytes limits a reason, which may quote what the caller has sent and is logged.
const maxReasonBytes = 512

// shorten cuts a reason that is too long.
func shorten(reason string) string {
	if len(reason) <= maxReasonBytes {
		return reason
	}
	return strings.ToValidUTF8(reason[:maxReasonBytes], "") + "..."
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
