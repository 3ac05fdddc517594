// Package front is the HTTP API through which callers send calls and jobs to package daemon.
package front

import (
	"context"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/calls"
	"github.com/citroncross/citroncross/citron/event"
	"github.com/citroncross/citroncross/citron/jobs"
	"github.com/citroncross/citroncross/citron/serve"
	"github.com/citroncross/citroncross/citron/state"
	"github.com/citroncross/citroncross/citron/stats"
	"github.com/citroncross/citroncross/schema/admin"
	"github.com/citroncross/citroncross/schema/record"
)

// Headers of requests and answers.
const (
	HeaderRequestID  = "Citron-Request-Id"
	HeaderDeadline   = "Citron-Deadline-Ms"
	HeaderRepeatable = "Citron-Repeatable"
	HeaderOutcome    = "Citron-Outcome"
	HeaderRetryAfter = "Citron-Retry-After-Ms"
)

// maxIDLength is the maximum length of a request id in bytes.
const maxIDLength = 128

// CallService schedules calls.
type CallService interface {
	// Serve runs a request and writes its answer.
	Serve(ctx context.Context, r calls.Request, w citron.AnswerWriter) *citron.Refusal
}

// Front serves the requests of callers.
type Front struct {
	// BodyBytes is the maximum size of a request body.
	BodyBytes int64
	Timer     citron.Timer
	Templates *state.Templates
	Calls     CallService
	Jobs      *jobs.Service
	Stats     *stats.Set
	Log       *event.Logger
}

// Routes returns the routes of the caller port.
func (f *Front) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: "/v1/teams/:team/calls/:class", Handler: f.call},
		{Method: http.MethodPost, Path: "/v1/teams/:team/jobs", Handler: f.submit},
		{Method: http.MethodGet, Path: "/v1/teams/:team/jobs/:id", Handler: f.get},
		{Method: http.MethodDelete, Path: "/v1/teams/:team/jobs/:id", Handler: f.cancel},
	}
}

func (f *Front) call(w http.ResponseWriter, r *http.Request) {
	request, refusal := f.readRequest(r)
	w.Header().Set(HeaderRequestID, string(request.ID))
	if refusal == nil {
		out := &answer{w: w, size: -1}
		refusal = f.Calls.Serve(r.Context(), request, out)
		if refusal == nil {
			f.Stats.CountOutcome(request.Team, request.Class, citron.OutcomeText(record.Outcome_OUTCOME_DONE))
			out.finish()
			return
		}
		if out.started {
			// The answer broke off. The connection is aborted, so that the caller can't mistake it for a complete answer.
			f.recordRefusal(request, refusal)
			panic(http.ErrAbortHandler)
		}
	}
	f.recordRefusal(request, refusal)
	f.refuse(w, refusal)
}

// readRequest reads and checks the headers and the body of a call.
func (f *Front) readRequest(r *http.Request) (request calls.Request, refusal *citron.Refusal) {
	vars := pathvar.Vars(r)
	request = calls.Request{
		Team:        citron.Team(vars["team"]),
		Class:       citron.Class(vars["class"]),
		ContentType: r.Header.Get("Content-Type"),
		Repeatable:  true,
	}
	request.GeneratedID = r.Header.Get(HeaderRequestID) == ""
	request.ID, refusal = readRequestID(r)
	if refusal != nil {
		return request, refusal
	}
	template, ok := f.Templates.Get(request.Team)
	if !ok {
		return request, citron.NewNotRunRefusal(citron.RefusalUnknownTeam, 0, "team %q has no template; publish one with citronctl", request.Team)
	}
	class, ok := template.Compiled.Classes[request.Class]
	if !ok {
		return request, citron.NewNotRunRefusal(citron.RefusalUnknownClass, 0, "team %q has no class %q; see citronctl template show", request.Team, request.Class)
	}
	if request.Repeatable, refusal = readRepeatable(r, class.Repeatable); refusal != nil {
		return request, refusal
	}
	if request.Deadline, refusal = f.readDeadline(r, class.Deadline); refusal != nil {
		return request, refusal
	}
	request.Body, refusal = f.readBody(r)
	return request, refusal
}

// readRequestID returns the id in the request's header, or a new one if there is none.
func readRequestID(r *http.Request) (citron.RequestID, *citron.Refusal) {
	id := r.Header.Get(HeaderRequestID)
	if id == "" {
		return citron.RequestID(uuid.NewString()), nil
	}
	if len(id) > maxIDLength || !validID(id) {
		return "", citron.NewNotRunRefusal(citron.RefusalBadHeader, 0, "%s must be 1 to %d letters, digits, '-', '_', '.' or ':'", HeaderRequestID, maxIDLength)
	}
	return citron.RequestID(id), nil
}

func validID(id string) bool {
	for _, c := range id {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		case c == '-', c == '_', c == '.', c == ':':
		default:
			return false
		}
	}
	return true
}

// readRepeatable returns whether a call is repeatable. The header can make a call of a repeatable class non-repeatable,
// but not the reverse.
func readRepeatable(r *http.Request, class bool) (bool, *citron.Refusal) {
	text := r.Header.Get(HeaderRepeatable)
	switch {
	case text == "":
		return class, nil
	case text == "false":
		return false, nil
	case text == "true" && class:
		return true, nil
	case text == "true":
		return false, citron.NewNotRunRefusal(citron.RefusalBadHeader, 0, "%s is true, but the class is not repeatable; leave the header out", HeaderRepeatable)
	}
	return false, citron.NewNotRunRefusal(citron.RefusalBadHeader, 0, "%s is %q, must be true or false", HeaderRepeatable, text)
}

// readDeadline returns the deadline in the request's header, or the longest that the class allows if there is none.
func (f *Front) readDeadline(r *http.Request, longest time.Duration) (citron.Instant, *citron.Refusal) {
	text := r.Header.Get(HeaderDeadline)
	d := longest
	if text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 1 || ms > longest.Milliseconds() {
			return citron.Instant{}, citron.NewNotRunRefusal(citron.RefusalBadHeader, 0,
				"%s is %q, must be from 1 to %d milliseconds", HeaderDeadline, text, longest.Milliseconds())
		}
		d = time.Duration(ms) * time.Millisecond
	}
	return f.Timer.Now().Add(d), nil
}

func (f *Front) readBody(r *http.Request) ([]byte, *citron.Refusal) {
	body, err := serve.ReadBody(r, f.BodyBytes)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, citron.NewNotRunRefusal(citron.RefusalBodyTooLarge, 0, "the body has more than %d bytes; send less", f.BodyBytes)
	case serve.IsNoMemory(err):
		return nil, noMemory()
	case err != nil:
		return nil, citron.NewNotRunRefusal(citron.RefusalBadBody, 0, "the body ended early; send it again")
	}
	return body, nil
}

// noMemoryRetry is when a caller may return whose request was refused because the memory for requests is used up.
const noMemoryRetry = time.Second

func noMemory() *citron.Refusal {
	return citron.NewNotRunRefusal(citron.RefusalNoMemory, noMemoryRetry, "this daemon has no memory left for the request")
}

// recordRefusal counts and logs the refusal of a call.
func (f *Front) recordRefusal(r calls.Request, refusal *citron.Refusal) {
	f.Stats.CountRefusal(refusal.Number)
	f.Log.Emit(event.CallRefused, event.Fields{"Team": r.Team, "Class": r.Class, "Number": refusal.Number, "Reason": refusal.Reason})
	if t, ok := f.Templates.Get(r.Team); ok {
		if _, ok := t.Compiled.Classes[r.Class]; ok {
			f.Stats.CountOutcome(r.Team, r.Class, citron.OutcomeText(refusal.Outcome))
		}
	}
}

// refuse writes a refusal as JSON, with the delay before a retry.
func (f *Front) refuse(w http.ResponseWriter, refusal *citron.Refusal) {
	h := w.Header()
	h.Set(HeaderOutcome, citron.OutcomeText(refusal.Outcome))
	if refusal.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
		h.Set(HeaderRetryAfter, strconv.FormatInt(refusal.RetryAfter.Milliseconds(), 10))
	}
	writeJSON(w, refusal.Status(), &admin.Problem{
		Number:       int32(refusal.Number),
		Reason:       refusal.Reason,
		Outcome:      citron.OutcomeText(refusal.Outcome),
		RetryAfterMs: refusal.RetryAfter.Milliseconds(),
	})
}

func writeJSON(w http.ResponseWriter, status int, message proto.Message) {
	body, err := protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(message)
	if err != nil {
		status, body = http.StatusInternalServerError, []byte(`{"Reason":"answer could not be encoded"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n'))
}

var errCallerGone = errors.New("caller has gone")

// answer writes an endpoint's answer to the caller. An answer of one chunk is sent with its length and the outcome as a
// header; a longer one is streamed and carries the outcome in a trailer.
type answer struct {
	w           http.ResponseWriter
	status      int
	contentType string
	// first is the first chunk, held back until the second one or the end of the answer.
	first []byte
	// size is the length of the first chunk; -1 before there is one.
	size int
	// started is set once the status line has been written.
	started bool
}

// WriteHead stores the status and the content type until the answer starts.
func (a *answer) WriteHead(status int, contentType string) error {
	a.status, a.contentType = status, contentType
	return nil
}

// WriteChunk holds back the first chunk and streams the others.
func (a *answer) WriteChunk(p []byte) error {
	if a.size < 0 {
		a.size = len(p)
		a.first = append([]byte(nil), p...)
		return nil
	}
	if !a.started {
		a.w.Header().Set("Trailer", HeaderOutcome)
		a.start()
	}
	return a.write(p)
}

// finish completes the answer.
func (a *answer) finish() {
	if a.started {
		a.w.Header().Set(HeaderOutcome, citron.OutcomeText(record.Outcome_OUTCOME_DONE))
		return
	}
	a.w.Header().Set(HeaderOutcome, citron.OutcomeText(record.Outcome_OUTCOME_DONE))
	a.w.Header().Set("Content-Length", strconv.Itoa(len(a.first)))
	a.start()
}

// start writes the head and the first chunk.
func (a *answer) start() {
	a.started = true
	if a.contentType != "" {
		a.w.Header().Set("Content-Type", a.contentType)
	}
	a.w.WriteHeader(a.status)
	_ = a.write(a.first)
	a.first = nil
}

func (a *answer) write(p []byte) error {
	if _, err := a.w.Write(p); err != nil {
		return errCallerGone
	}
	return nil
}
