// Package event writes the structured log as numbered events.
package event

import (
	"io"

	"github.com/sirupsen/logrus"
)

// Event is one kind of log line. docs/LOGS.md lists them all.
type Event struct {
	Number int
	Level  logrus.Level
	Text   string
}

// Fields are the values of one line.
type Fields = logrus.Fields

// Logger writes events. The zero value discards them.
type Logger struct {
	log *logrus.Logger
	vm  string
}

// New returns a logger for one VM. Level and format come from checked settings.
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

// Emit writes one line.
func (l *Logger) Emit(e Event, fields Fields) {
	if l == nil || l.log == nil || !l.log.IsLevelEnabled(e.Level) {
		return
	}
	l.log.WithFields(logrus.Fields{"Event": e.Number, "VM": l.vm}).WithFields(fields).Log(e.Level, e.Text)
}
