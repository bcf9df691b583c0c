// Package observe provides the observability of a process: a log with one line of
// key=value pairs for each event, metrics, and an admin HTTP server with health
// checks and a state dump.
package observe

import (
	"io"
	"strconv"
	"strings"

	"github.com/phuslu/log"
)

// NewLogger returns a logger that writes one line of key=value pairs for each
// event to w. Level is trace, debug, info, warn or error; program and instance
// are part of every line. Callers name each event with Str("event", …).
func NewLogger(w io.Writer, level, program, instance string) *log.Logger {
	return &log.Logger{
		Level:   log.ParseLevel(level),
		Context: log.NewContext(nil).Str("program", program).Str("instance", instance).Value(),
		Writer:  &log.ConsoleWriter{Writer: w, Formatter: formatLine},
	}
}

// formatLine writes args as one line of key=value pairs. Values are quoted only if needed.
func formatLine(w io.Writer, args *log.FormatterArgs) (int, error) {
	b := make([]byte, 0, 256)
	b = appendPair(b, "time", args.Time)
	b = appendPair(b, "level", args.Level)
	for _, kv := range args.KeyValues {
		b = appendPair(b, kv.Key, kv.Value)
	}
	if args.Message != "" {
		b = appendPair(b, "message", args.Message)
	}
	b[len(b)-1] = '\n'
	return w.Write(b)
}

func appendPair(b []byte, key, value string) []byte {
	b = append(b, key...)
	b = append(b, '=')
	if needsQuotes(value) {
		b = strconv.AppendQuote(b, value)
	} else {
		b = append(b, value...)
	}
	return append(b, ' ')
}

func needsQuotes(value string) bool {
	if value == "" {
		return true
	}
	return strings.ContainsFunc(value, func(r rune) bool {
		return r <= ' ' || r == '=' || r == '"' || r > '~'
	})
}
