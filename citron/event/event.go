// Package event writes the structured log. Every line belongs to a numbered event.
package event

import (
	"io"
	"sync"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

// Event is a kind of log line. docs/LOGS.md lists all events.
type Event struct {
	Number int
	Level  logrus.Level
	Text   string
}

// Fields are the structured values of a line.
type Fields = logrus.Fields

// Logger writes events. The zero value discards them.
type Logger struct {
	log *logrus.Logger
	vm  string

	mu sync.Mutex
	// limit is the number of lines per second of each event.
	limit rate.Limit
	// limits holds the limit of each event by number; nil if the log is not limited.
	limits map[int]*lineLimit
}

// lineLimit limits the lines of one event.
type lineLimit struct {
	limiter *rate.Limiter
	// omitted is the number of lines omitted since the last one that was written.
	omitted int
}

// SetRateLimit limits each event to a number of lines per second. A line with the number of omitted lines precedes the
// next line of the event that is written.
func (l *Logger) SetRateLimit(perSecond int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit, l.limits = rate.Limit(perSecond), map[int]*lineLimit{}
}

// allow reports whether a line of an event may be written, and how many were omitted since the last one.
func (l *Logger) allow(number int) (omitted int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limits == nil {
		return 0, true
	}
	eventLimit := l.limits[number]
	if eventLimit == nil {
		eventLimit = &lineLimit{limiter: rate.NewLimiter(l.limit, int(l.limit))}
		l.limits[number] = eventLimit
	}
	if !eventLimit.limiter.Allow() {
		eventLimit.omitted++
		return 0, false
	}
	omitted, eventLimit.omitted = eventLimit.omitted, 0
	return omitted, true
}

// New returns a logger for a VM. Level and format come from validated settings.
func New(out io.Writer, level, format, vm string) *Logger {
	log := logrus.New()
	log.SetOutput(out)
	if parsed, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(parsed)
	}
	if format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{})
	} else {
		log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	}
	return &Logger{log: log, vm: vm}
}

// Enabled reports whether the log level includes an event.
func (l *Logger) Enabled(e Event) bool {
	return l != nil && l.log != nil && l.log.IsLevelEnabled(e.Level)
}

// Emit writes a line unless the log level or the rate limit of the event excludes it.
func (l *Logger) Emit(e Event, fields Fields) {
	if !l.Enabled(e) {
		return
	}
	omitted, ok := l.allow(e.Number)
	if !ok {
		return
	}
	if omitted > 0 {
		l.log.WithFields(logrus.Fields{"Event": e.Number, "VM": l.vm, "Omitted": omitted}).Log(e.Level, "lines left out")
	}
	l.log.WithFields(logrus.Fields{"Event": e.Number, "VM": l.vm}).WithFields(fields).Log(e.Level, e.Text)
}
