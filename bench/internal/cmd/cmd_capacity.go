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
	In      []string `long:"in" value-name:"FILE" description:"file with JSON lines of the benchmarks; can be repeated"`
	Out     string   `long:"out" value-name:"PAGE" description:"page whose marked section is replaced by the table; empty prints the table"`
	Measure bool     `long:"measure" description:"measure the decision cores at increasing sizes and print JSON lines"`
}

const capacityHelp = `Computes the resource use of each role at the size that the users expect, from
least-squares slopes through the benchmark results, and compares it with the budgets.
With --measure, measures the parts that need no complete deployment, within a minute.

Examples:
  comfreybench capacity --measure > docs/measurements/slopes.jsonl
  comfreybench capacity --in docs/measurements/slopes.jsonl --in docs/measurements/control.jsonl --out docs/CAPACITY.md`

func capacityCommand() *cli.Command {
	options := &capacityOptions{}
	return &cli.Command{
		Name:    "capacity",
		Short:   "compute the resource needs at full size",
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
		return failure.New(failure.Invalid, "no measurements given", "pass files of JSON lines with --in, or run with --measure")
	}
	var measured bytes.Buffer
	for _, name := range options.In {
		lines, err := os.ReadFile(name)
		if err != nil {
			return failure.Wrap(err, failure.Invalid, "cannot read the measurements", "pass a file of JSON lines with --in")
		}
		measured.Write(lines)
		measured.WriteByte('\n')
	}
	if options.Out == "" {
		return capacity.Print(measured.Bytes(), os.Stdout)
	}
	return capacity.Write(measured.Bytes(), options.Out)
}
