package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
	"unicode"

	"comfreyrelay.example/ctl/internal/client"
	"comfreyrelay.example/relay/document"
)

const (
	tabPadding   = 2
	maxCellBytes = 72
	// maxLastCellBytes is larger because no column follows the last one.
	maxLastCellBytes = 160
)

// table prints rows as aligned columns.
type table struct {
	writer *tabwriter.Writer
}

func newTable(out io.Writer, headers ...string) *table {
	t := &table{writer: tabwriter.NewWriter(out, 0, 0, tabPadding, ' ', 0)}
	t.row(headers...)
	return t
}

func (t *table) row(cells ...string) {
	last := len(cells) - 1
	for i, cell := range cells[:last] {
		cells[i] = truncate(replaceControl(cell), maxCellBytes)
	}
	cells[last] = truncate(replaceControl(cells[last]), maxLastCellBytes)
	fmt.Fprintln(t.writer, strings.Join(cells, "\t"))
}

func (t *table) flush() error { return t.writer.Flush() }

// replaceControl replaces control characters with spaces, so that text from a
// remote process cannot send escape sequences to the terminal.
func replaceControl(text string) string {
	return strings.Map(func(char rune) rune {
		if unicode.IsControl(char) {
			return ' '
		}
		return char
	}, text)
}

// truncate shortens a long cell to limit bytes, so that it does not break the
// table layout.
func truncate(cell string, limit int) string {
	if len(cell) <= limit {
		return cell
	}
	return strings.ToValidUTF8(cell[:limit], "") + "..."
}

func printJSON(out io.Writer, value any) error {
	writer := json.NewEncoder(out)
	writer.SetIndent("", "  ")
	writer.SetEscapeHTML(false)
	return writer.Encode(value)
}

func printProblems(out io.Writer, problems []document.Problem) {
	for _, problem := range problems {
		path := problem.Path()
		if path == "" {
			path = "/"
		}
		fmt.Fprintf(out, "%s\n    %s\n    remedy: %s\n", path, problem.Message(), problem.Remedy())
	}
}

func printChanges(out io.Writer, changes []client.Change) error {
	if len(changes) == 0 {
		fmt.Fprintln(out, "no change")
		return nil
	}
	list := newTable(out, "PATH", "BEFORE", "AFTER")
	for _, change := range changes {
		list.row(change.Path, orDash(change.Before), orDash(change.After))
	}
	return list.flush()
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func formatMillis(count int64) string {
	return (time.Duration(count) * time.Millisecond).String()
}

func shortVersion(version string) string {
	const digits = 12
	if len(version) <= digits {
		return version
	}
	return version[:digits]
}
