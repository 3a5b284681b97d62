package cmd

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"comfreyrelay.example/relay/cli"
	"comfreyrelay.example/relay/failure"
)

type reportOptions struct {
	Every string `long:"every" value-name:"DURATION" default:"2s" description:"length of a row"`
	From  string `long:"from" value-name:"TIME" description:"only requests answered at this time or later, as in the logs"`
	To    string `long:"to" value-name:"TIME" description:"only requests answered before this time"`
	JSON  bool   `long:"json" description:"print one JSON object a row, and one a reason"`
	HTML  string `long:"html" value-name:"FILE" description:"write a page with plots too; it needs no other file"`
}

func reportCommand(term *terminal) *cli.Command {
	opts := &reportOptions{}
	return &cli.Command{
		Name:  "report",
		Short: "Count how requests ended, by time and by reason",
		Long: "Reads entries' logs, or standard input where none is named, and counts how requests ended: in time, late, refused " +
			"or failed, a row each few seconds, and why those that were not in time were not. A late answer counts under the " +
			"first of these that holds: it was sent again (sent again), it " +
			"waited for a place for half of its target or more (waited), it paused for too long (paused), its endpoint took " +
			"too long (endpoint).\n\n" +
			"Examples:\n  comfreyctl report entry-*.log\n" +
			"  comfreyctl report --html day.html entry-*.log agent-*.log\n" +
			"  comfreyctl report --every 10s --from 2026-06-17T15:08:30Z --json front-1.log",
		Options: opts,
		Run: func(_ context.Context, args []string) error {
			return report(term, opts, args)
		},
	}
}

// outcome classifies how a request ended.
type outcome struct {
	class  string // "inTime", "late", "refused" or "failed"
	reason string // cause, if the class is not "inTime"
}

// row counts the requests that were answered in one time interval.
type row struct {
	At       time.Time `json:"at"`
	Answered int       `json:"answered"`
	InTime   int       `json:"inTime"`
	Late     int       `json:"late"`
	Refused  int       `json:"refused"`
	Failed   int       `json:"failed"`
}

// reason counts the requests that were not in time for one reason.
type reason struct {
	Class  string `json:"class"`
	Reason string `json:"reason"`
	Count  int    `json:"count"`
}

func report(term *terminal, opts *reportOptions, files []string) error {
	interval, err := time.ParseDuration(opts.Every)
	if err != nil || interval <= 0 {
		return failure.New(failure.Invalid, "--every is not a positive duration", "write it like 2s or 1m")
	}
	lines, err := readLogsBetween(term, files, opts.From, opts.To)
	if err != nil {
		return err
	}
	rows, reasons := countOutcomes(lines, interval)
	if len(rows) == 0 {
		return failure.New(failure.NotFound, "no answered request is in the logs", "name entries' logs, and check the times")
	}
	if opts.HTML != "" {
		if err := writePage(opts.HTML, lines, rows, reasons); err != nil {
			return err
		}
	}
	if opts.JSON {
		return encodeReport(term.out, rows, reasons)
	}
	return printReport(term.out, rows, reasons)
}

// countOutcomes counts the outcomes of requests by interval and by reason. The
// lines must be sorted by time.
func countOutcomes(lines []logLine, interval time.Duration) ([]row, []reason) {
	var rows []row
	counts := map[outcome]int{}
	for _, line := range lines {
		if !answered(line) {
			continue
		}
		at := line.at.Truncate(interval)
		if len(rows) == 0 || !rows[len(rows)-1].At.Equal(at) {
			rows = append(rows, row{At: at})
		}
		end := classifyOutcome(line)
		rows[len(rows)-1].count(end)
		if end.reason != "" {
			counts[end]++
		}
	}
	var reasons []reason
	for end, count := range counts {
		reasons = append(reasons, reason{Class: end.class, Reason: end.reason, Count: count})
	}
	slices.SortFunc(reasons, func(left, right reason) int {
		return cmp.Or(cmp.Compare(right.Count, left.Count), cmp.Compare(left.Class, right.Class), cmp.Compare(left.Reason, right.Reason))
	})
	return rows, reasons
}

func (r *row) count(end outcome) {
	r.Answered++
	switch end.class {
	case "inTime":
		r.InTime++
	case "late":
		r.Late++
	case "refused":
		r.Refused++
	default:
		r.Failed++
	}
}

const (
	statusOK      = 200
	statusRefused = 503
	statusError   = 400
)

// classifyOutcome classifies a request by the line that an entry logged when it
// answered.
func classifyOutcome(line logLine) outcome {
	status := line.intField("status")
	switch {
	case status == statusRefused:
		return outcome{class: "refused", reason: line.fields["outcome"]}
	case status < statusOK || status >= statusError:
		return outcome{class: "failed", reason: line.fields["outcome"]}
	}
	first := line.intField("tookMillis")
	if line.intField("events") > 0 {
		first = line.intField("firstMillis")
	}
	target, gap := line.intField("targetMillis"), line.intField("gapMillis")
	paused := gap > 0 && line.intField("pauseMillis") > gap
	if target <= 0 || first <= target && !paused {
		return outcome{class: "inTime"}
	}
	switch {
	case line.intField("sends") > 1:
		return outcome{class: "late", reason: "sent again"}
	case 2*line.intField("heldMillis") >= target:
		return outcome{class: "late", reason: "waited"}
	case paused:
		return outcome{class: "late", reason: "paused"}
	}
	return outcome{class: "late", reason: "endpoint"}
}

// intField returns the value of an integer field, or 0 if it is missing or invalid.
func (l logLine) intField(name string) int {
	count, err := strconv.Atoi(l.fields[name])
	if err != nil {
		return 0
	}
	return count
}

func encodeReport(out io.Writer, rows []row, reasons []reason) error {
	encoder := json.NewEncoder(out)
	for _, one := range rows {
		if err := encoder.Encode(one); err != nil {
			return err
		}
	}
	for _, one := range reasons {
		if err := encoder.Encode(one); err != nil {
			return err
		}
	}
	return nil
}

func printReport(out io.Writer, rows []row, reasons []reason) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "from\tanswered\tin time\tlate\trefused\tfailed\t")
	for _, one := range rows {
		fmt.Fprintf(table, "%+.1fs\t%d\t%d\t%d\t%d\t%d\t\n", one.At.Sub(rows[0].At).Seconds(), one.Answered, one.InTime, one.Late, one.Refused, one.Failed)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "\n%+.1fs is %s\n", 0.0, rows[0].At.Format(time.RFC3339Nano))
	for _, one := range reasons {
		fmt.Fprintf(out, "%6d %-8s %s\n", one.Count, one.Class, one.Reason)
	}
	return nil
}
