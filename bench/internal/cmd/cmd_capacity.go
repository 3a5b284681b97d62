package cmd

import (
	"bytes"
	"context"
	"os"

	"comfreyrelay.example/bench/internal/capacity"
	"comfreyrelay.example/relay/cli"
	"comfreyrelay.example/relay/failure"
)

type capacityOptions struct {
	In      []string `long:"in" value-name:"FILE" description:"JSON lines of the benches; may be given again"`
	Out     string   `long:"out" value-name:"PAGE" description:"page that takes the table between its markers; empty prints it"`
	Measure bool     `long:"measure" description:"measure the decision cores at growing sizes and print JSON lines"`
}

const capacityHelp = `Computes what each role would spend at the size that the users expect: slopes by
least squares through what the benches measured, against the budgets. With
--measure it measures what needs no whole deployment, within a minute.

Examples:
  comfreybench capacity --measure > docs/measurements/slopes.jsonl
  comfreybench capacity --in docs/measurements/slopes.jsonl --in docs/measurements/control.jsonl --out docs/CAPACITY.md`

func capacityCommand() *cli.Command {
	options := &capacityOptions{}
	return &cli.Command{
		Name:    "capacity",
		Short:   "compute what the full size needs",
		Long:    capacityHelp,
		Options: options,
		Run:     func(context.Context, []string) error { return runCapacity(options) },
	}
}

func runCapacity(options *capacityOptions) error {
	if options.Measure {
		return capacity.Measure(os.Stdout)
	}
	if len(options.In) == 0 {
		return failure.New(failure.Invalid, "there are no measurements", "name files of JSON lines with --in, or measure with --measure")
	}
	var measured bytes.Buffer
	for _, name := range options.In {
		lines, err := os.ReadFile(name)
		if err != nil {
			return failure.Wrap(err, failure.Invalid, "cannot read the measurements", "name a file of JSON lines with --in")
		}
		measured.Write(lines)
		measured.WriteByte('\n')
	}
	if options.Out == "" {
		return capacity.Print(measured.Bytes(), os.Stdout)
	}
	return capacity.Write(measured.Bytes(), options.Out)
}
