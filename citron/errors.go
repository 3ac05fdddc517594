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
	// ErrLost means that the log has forgotten records that are needed.
	ErrLost = errors.New("records are no longer kept")
	// ErrNotOwner means that this daemon does not hold the shard.
	ErrNotOwner = errors.New("shard is not held here")
)

// Number identifies a refusal in answers, logs and docs.
type Number int32

// Refusal numbers. docs/CALLERS.md lists them.
const (
	NumberUnknownTeam     Number = 101
	NumberUnknownClass    Number = 102
	NumberBadHeader       Number = 103
	NumberBodyTooLarge    Number = 104
	NumberBadBody         Number = 105
	NumberNeverFits       Number = 106
	NumberUnknownJob      Number = 107
	NumberQueueFull       Number = 201
	NumberDeadlineTooNear Number = 202
	NumberDeadlinePassed  Number = 203
	NumberNoEndpoint      Number = 204
	NumberLogDown         Number = 205
	NumberNoOwner         Number = 207
	NumberNoSlot          Number = 208
	NumberAlreadyRan      Number = 301
	NumberInProgress      Number = 302
	NumberLost            Number = 401
)

// Refusal is a final answer other than the endpoint's own.
type Refusal struct {
	Number  Number
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
	case NumberUnknownTeam, NumberUnknownClass, NumberUnknownJob:
		return http.StatusNotFound
	case NumberBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case NumberBadHeader, NumberBadBody:
		return http.StatusBadRequest
	case NumberNeverFits:
		return http.StatusUnprocessableEntity
	case NumberAlreadyRan, NumberInProgress:
		return http.StatusConflict
	case NumberQueueFull:
		return http.StatusTooManyRequests
	case NumberLost:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// NotRun returns a refusal whose request has reached no endpoint.
func NotRun(number Number, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{
		Number:     number,
		Outcome:    record.Outcome_OUTCOME_NOT_RUN,
		Reason:     fmt.Sprintf(format, args...),
		RetryAfter: retryAfter,
	}
}

// Unknown returns a refusal whose request may have run.
func Unknown(number Number, format string, args ...any) *Refusal {
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
