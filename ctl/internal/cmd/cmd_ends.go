package cmd

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"comfreyrelay.example/relay/cli"
	"comfreyrelay.example/relay/failure"
)

type endsOptions struct {
	Least int    `long:"least" value-name:"N" default:"2" description:"only requests under which so many endpoints ended"`
	From  string `long:"from" value-name:"TIME" description:"only lines at this time or later, as in the logs"`
	To    string `long:"to" value-name:"TIME" description:"only lines before this time"`
	JSON  bool   `long:"json" description:"print one JSON object a request"`
}

func endsCommand(term *terminal) *cli.Command {
	opts := &endsOptions{}
	return &cli.Command{
		Name:  "ends",
		Short: "List the requests under which endpoints ended",
		Long: "Reads entries' logs, or standard input where none is named, and counts by request under how many endpoints' ends " +
			"it was in progress: one that ends what runs it stands first, those that ran beside it have few. A request that " +
			"comes again is one request, whichever entry it came to.\n\n" +
			"Examples:\n  comfreyctl ends entry-*.log\n" +
			"  comfreyctl ends --least 3 --json entry-*.log",
		Options: opts,
		Run: func(_ context.Context, args []string) error {
			return ends(term, opts, args)
		},
	}
}

// suspect is a request that was in progress on endpoints when they ended.
type suspect struct {
	Print  string    `json:"print"`
	Ends   int       `json:"ends"` // distinct endpoints that ended while it was in progress
	Tries  int       `json:"tries"`
	Held   int       `json:"held"`   // attempts refused because of these ends
	Served int       `json:"served"` // attempts that were served
	First  time.Time `json:"first"`  // time of the first end
	Last   time.Time `json:"last"`
	// Requests are the request ids, set by callers, of the attempts that were in
	// progress when an endpoint ended.
	Requests []string `json:"requests"`
}

// heldOutcome is the logged outcome of a request that is refused because endpoints
// ended while it was in progress.
const heldOutcome = "endpoints ended under this request"

func ends(term *terminal, opts *endsOptions, files []string) error {
	if opts.Least < 1 {
		return failure.New(failure.Invalid, "--least must be 1 or more", "leave it out for 2")
	}
	lines, err := readLogsBetween(term, files, opts.From, opts.To)
	if err != nil {
		return err
	}
	ended, found := countEnds(lines)
	if ended == 0 {
		return failure.New(failure.NotFound, "no endpoint's end is in the logs", "name entries' logs, and check the times")
	}
	found = slices.DeleteFunc(found, func(one suspect) bool { return one.Ends < opts.Least })
	if opts.JSON {
		return encodeEnds(term.out, found)
	}
	return printEnds(term.out, ended, found)
}

// countEnds returns the number of endpoints that ended and the requests that were in
// progress on them, those with the most ends first.
func countEnds(lines []logLine) (ended int, found []suspect) {
	byPrint := map[string]*suspect{}
	endsByPrint := map[string]map[string]bool{} // ended endpoints by request fingerprint
	allEnds := map[string]bool{}
	for _, line := range lines {
		if line.fields["msg"] != "endpoint looked at" || line.fields["ended"] != "true" {
			continue
		}
		end := line.fields["endpoint"] + " " + line.fields["born"]
		allEnds[end] = true
		ids := parseList(line.fields["requests"])
		for i, fingerprint := range parseList(line.fields["prints"]) {
			one := byPrint[fingerprint]
			if one == nil {
				one = &suspect{Print: fingerprint, First: line.at}
				byPrint[fingerprint], endsByPrint[fingerprint] = one, map[string]bool{}
			}
			endsByPrint[fingerprint][end] = true
			one.Ends, one.Last = len(endsByPrint[fingerprint]), line.at
			if i < len(ids) && !slices.Contains(one.Requests, ids[i]) {
				one.Requests = append(one.Requests, ids[i])
			}
		}
	}
	countAttempts(lines, byPrint)
	for _, one := range byPrint {
		found = append(found, *one)
	}
	slices.SortFunc(found, func(left, right suspect) int {
		return cmp.Or(cmp.Compare(right.Ends, left.Ends), left.First.Compare(right.First), cmp.Compare(left.Print, right.Print))
	})
	return len(allEnds), found
}

// countAttempts counts the attempts of each request by outcome.
func countAttempts(lines []logLine, byPrint map[string]*suspect) {
	for _, line := range lines {
		one := byPrint[line.fields["print"]]
		if one == nil || line.fields["msg"] != "answered" {
			continue
		}
		one.Tries++
		switch line.fields["outcome"] {
		case heldOutcome:
			one.Held++
		case "served":
			one.Served++
		}
	}
}

// parseList parses a list in its logged form, such as "[a b]".
func parseList(text string) []string {
	return strings.Fields(strings.TrimSuffix(strings.TrimPrefix(text, "["), "]"))
}

func encodeEnds(out io.Writer, found []suspect) error {
	encoder := json.NewEncoder(out)
	for _, one := range found {
		if err := encoder.Encode(one); err != nil {
			return err
		}
	}
	return nil
}

func printEnds(out io.Writer, ended int, found []suspect) error {
	fmt.Fprintf(out, "%d endpoints ended\n", ended)
	if len(found) == 0 {
		_, err := fmt.Fprintln(out, "no request was in progress at as many ends as asked for: see the endpoints' own logs")
		return err
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "print\tends\ttries\tserved\theld\tfirst\tlast")
	for _, one := range found {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%s\t%+.1fs\n", one.Print, one.Ends, one.Tries, one.Served, one.Held,
			one.First.Format(time.RFC3339Nano), one.Last.Sub(one.First).Seconds())
	}
	return table.Flush()
}
