package observe

import (
	"io"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
)

// Formats of log lines.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// Defaults of LogOptions.
const (
	DefaultLevel   = "info"
	DefaultRepeats = 5
)

// LogOptions configures a logger.
type LogOptions struct {
	// Level is the lowest level written, such as "debug", "info" or "warning"; empty is DefaultLevel.
	Level string
	// Format is FormatText (also when empty) or FormatJSON.
	Format string
	// Output is where lines go; nil is standard error.
	Output io.Writer
	// Repeats is how many lines with the same level, message and fields are
	// written a second; 0 is DefaultRepeats, a negative number means no limit.
	Repeats int
}

// NewLogger returns a logger, or an error that names the invalid option.
func NewLogger(options LogOptions) (*logrus.Logger, error) {
	if options.Level == "" {
		options.Level = DefaultLevel
	}
	level, err := logrus.ParseLevel(options.Level)
	if err != nil {
		return nil, trace.BadParameter("log level %q: want one of panic, fatal, error, warning, info, debug, trace", options.Level)
	}
	formatter, err := newFormatter(options.Format)
	if err != nil {
		return nil, err
	}
	if options.Repeats == 0 {
		options.Repeats = DefaultRepeats
	}
	if options.Repeats > 0 {
		formatter = newRepeatFilter(formatter, options.Repeats)
	}
	logger := logrus.New()
	logger.SetLevel(level)
	logger.SetFormatter(formatter)
	logger.SetOutput(os.Stderr)
	if options.Output != nil {
		logger.SetOutput(options.Output)
	}
	return logger, nil
}

func newFormatter(format string) (logrus.Formatter, error) {
	switch format {
	case FormatText, "":
		return &logrus.TextFormatter{FullTimestamp: true, TimestampFormat: time.RFC3339Nano, DisableColors: true}, nil
	case FormatJSON:
		return &logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}, nil
	}
	return nil, trace.BadParameter("log format %q: want %q or %q", format, FormatText, FormatJSON)
}

// Discard returns a logger that writes nothing.
func Discard() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	logger.SetLevel(logrus.PanicLevel)
	return logger
}
