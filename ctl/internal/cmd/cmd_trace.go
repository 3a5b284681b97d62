package cmd

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"comfreyrelay.example/relay/cli"
	"comfreyrelay.example/relay/failure"
)

// maxLogLine is the maximum length of a log line in bytes.
const maxLogLine = 1 << 20

type traceOptions struct {
	Request string `long:"request" value-name:"ID" description:"only lines that name this request"`
	Print   string `long:"print" value-name:"PRINT" description:"only lines that name this fingerprint: all tries of one request"`
	Node    string `long:"node" value-name:"ID" description:"only lines of this process"`
	From    string `long:"from" value-name:"TIME" description:"only lines at this time or later, as in the logs"`
	To      string `long:"to" value-name:"TIME" description:"only lines before this time"`
	JSON    bool   `long:"json" description:"print one JSON object a line"`
}

func traceCommand(term *terminal) *cli.Command {
	opts := &traceOptions{}
	return &cli.Command{
		Name:  "trace",
		Short: "Print what the processes logged, in order of time",
		Long: "Reads log files, or standard input where none is named, and prints the lines that match in order of time: " +
			"the story of one request over several processes, or what one process came to believe. Clocks of different " +
			"hosts differ: where a line of another process seems to come before its cause, the clocks are why.\n\n" +
			"Examples:\n  comfreyctl trace --request 9c41d07be2a35f68 entry-1.log agent-3.log\n" +
			"  comfreyctl trace --node front-1 --from 2026-06-17T15:08:30Z front-1.log",
		Options: opts,
		Run: func(_ context.Context, args []string) error {
			return trace(term, opts, args)
		},
	}
}

// logLine is a parsed log line.
type logLine struct {
	at     time.Time
	text   string // the original text, starting at the time field
	fields map[string]string
}

func trace(term *terminal, opts *traceOptions, files []string) error {
	lines, err := readLogsBetween(term, files, opts.From, opts.To)
	if err != nil {
		return err
	}
	lines = slices.DeleteFunc(lines, func(line logLine) bool {
		return opts.Request != "" && !line.mentions("request", opts.Request) ||
			opts.Print != "" && !line.mentions("print", opts.Print) ||
			opts.Node != "" && line.fields["node"] != opts.Node
	})
	if len(lines) == 0 {
		return failure.New(failure.NotFound, "no line matches", "check the id, the times and that all processes' logs are named")
	}
	return printLogs(term.out, lines, opts.JSON)
}

// mentions reports whether the line has value in the given field (a request id or
// fingerprint), or in the list in the plural of that field.
func (l logLine) mentions(field, value string) bool {
	return l.fields[field] == value || slices.Contains(parseList(l.fields[field+"s"]), value)
}

// readLogsBetween returns the log lines from the time --from (inclusive) to --to
// (exclusive), sorted by time. An empty option sets no limit.
func readLogsBetween(term *terminal, files []string, fromText, toText string) ([]logLine, error) {
	from, err := timeOption("--from", fromText)
	if err != nil {
		return nil, err
	}
	to, err := timeOption("--to", toText)
	if err != nil {
		return nil, err
	}
	lines, err := readLogs(term, files)
	if err != nil {
		return nil, err
	}
	lines = slices.DeleteFunc(lines, func(line logLine) bool {
		return !from.IsZero() && line.at.Before(from) || !to.IsZero() && !line.at.Before(to)
	})
	slices.SortStableFunc(lines, func(left, right logLine) int { return left.at.Compare(right.at) })
	return lines, nil
}

// timeOption parses the time given with an option; an empty text gives the zero time.
func timeOption(name, text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return time.Time{}, failure.Wrap(err, failure.Invalid, name+" is not a time", "write it as in the logs: 2026-06-17T15:08:30.123Z")
	}
	return at, nil
}

// readLogs parses the named log files, or standard input if none is named.
func readLogs(term *terminal, files []string) ([]logLine, error) {
	if len(files) == 0 {
		return parseLog(term.in)
	}
	var all []logLine
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, failure.Wrap(err, failure.Invalid, "a log cannot be read", "name existing files")
		}
		lines, err := parseLog(file)
		_ = file.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

// parseLog parses the lines that have a time field and skips all others. Text
// before that field, such as the prefix of a log collector, is dropped.
func parseLog(in io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		_, rest, ok := bytes.Cut(scanner.Bytes(), []byte("time="))
		if !ok {
			continue
		}
		if line, ok := parseLine("time=" + string(rest)); ok {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "a log cannot be read", "check that it is text with lines under a megabyte")
	}
	return lines, nil
}

// parseLine parses a logfmt line and reports whether it is valid.
func parseLine(text string) (logLine, bool) {
	line := logLine{text: text, fields: map[string]string{}}
	decoder := logfmt.NewDecoder(strings.NewReader(text))
	if !decoder.ScanRecord() {
		return logLine{}, false
	}
	for decoder.ScanKeyval() {
		line.fields[string(decoder.Key())] = string(decoder.Value())
	}
	at, err := time.Parse(time.RFC3339Nano, line.fields["time"])
	if err != nil || decoder.Err() != nil {
		return logLine{}, false
	}
	line.at = at
	return line, true
}

func printLogs(out io.Writer, lines []logLine, asJSON bool) error {
	start := lines[0].at
	encoder := json.NewEncoder(out)
	for _, line := range lines {
		if asJSON {
			if err := encoder.Encode(line.fields); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(out, "%+9.3fs %-24s %s\n", line.at.Sub(start).Seconds(), line.fields["node"], dropColumnFields(line.text))
	}
	return nil
}

// dropColumnFields removes the time and node, which have columns of their own, and
// the program.
func dropColumnFields(text string) string {
	kept := make([]string, 0, 16)
	for _, field := range strings.Split(text, " ") {
		name, _, _ := strings.Cut(field, "=")
		if name != "time" && name != "program" && name != "node" {
			kept = append(kept, field)
		}
	}
	return strings.Join(kept, " ")
}
