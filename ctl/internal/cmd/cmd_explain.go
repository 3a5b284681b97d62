package cmd

import (
	"context"
	"fmt"
	"io"
	"strings"

	"comfreyrelay.example/relay/cli"
	"comfreyrelay.example/relay/document"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/schema"
	"comfreyrelay.example/relay/settings"
)

func explainCommand(term *terminal) *cli.Command {
	return &cli.Command{
		Name:  "explain",
		Short: "Explain a field, an outcome, an error's kind or an exit code",
		Long: "Explains a path of the document (as in error messages), a key of the settings behind \"entry:\" or \"agent:\", " +
			"an outcome of a request, the kind of an error or an exit code.\n\n" +
			"Examples:\n  comfreyctl explain /models/0/version\n  comfreyctl explain entry:node.controlAddress\n" +
			"  comfreyctl explain notRun\n  comfreyctl explain 5",
		Run: func(_ context.Context, args []string) error {
			subject, err := oneArgument(args, "a path, an outcome, a kind or an exit code")
			if err != nil {
				return err
			}
			return explain(term.out, subject)
		},
	}
}

// topics maps exit codes, request outcomes and error kinds to their explanations.
var topics = map[string]string{
	"0":        "Exit code 0: it was done.",
	"1":        "Exit code 1: it was tried and failed. The message names the remedy.",
	"2":        "Exit code 2: arguments, settings or the document are wrong, or something named does not exist. Nothing was changed.",
	"3":        "Exit code 3: conflict. Somebody else changed the document first; nothing of yours was accepted. Look at both diffs, merge and apply again.",
	"4":        "Exit code 4: a dependency is down, a limit is used up, or it took too long. Try again later.",
	"5":        "Exit code 5: unknown. It may have taken effect or not. Look at status and audit before you try again.",
	"6":        "Exit code 6: the key is missing or unknown. Give an operator's key with --key-file or COMFREY_KEY.",
	"answered": "Outcome answered: the whole answer came, from one version, which it names.",
	"notRun":   "Outcome notRun: the request certainly was not run, and sending it again does no harm.",
	"unknown":  "Outcome unknown: the request may have been run. One that is not repeatable must not be sent again under another key.",
	"accepted": "Outcome accepted: the document is stored as the revision named, with its audit record, and comes into force everywhere within seconds.",

	string(failure.Invalid):      "Kind invalid: the input is wrong and stays wrong until it is corrected.",
	string(failure.Unauthorized): "Kind unauthorized: the key is missing or unknown.",
	string(failure.Conflict):     "Kind conflict: somebody else changed it first. Look at both diffs, merge and apply again.",
	string(failure.NotFound):     "Kind notFound: it does not exist.",
	string(failure.Unavailable):  "Kind unavailable: a dependency is down. Try again.",
	string(failure.Exhausted):    "Kind exhausted: a limit or budget is used up. Wait as long as retryAfterMillis says.",
	string(failure.Stale):        "Kind stale: the sender knew an older revision than the receiver. It catches up by itself.",
	string(failure.Corrupt):      "Kind corrupt: bytes do not match their hash. They are fetched elsewhere.",
	string(failure.Ambiguous):    "Kind ambiguous: it may have taken effect or not. Ask for the state before you try again.",
	string(failure.Leaving):      "Kind leaving: the process is shutting down. Use another entry.",
	string(failure.Internal):     "Kind internal: a rule that must always hold was broken. Report it with the logs.",
}

func explain(out io.Writer, subject string) error {
	if text, ok := topics[subject]; ok {
		fmt.Fprintln(out, text)
		return nil
	}
	if field, ok := fieldOf(subject); ok {
		explainField(out, subject, field)
		return nil
	}
	return failure.New(failure.Invalid, fmt.Sprintf("there is no explanation of %q", subject),
		"give a path such as /models/0/version, entry:node.tls, notRun, conflict or 5")
}

// fieldOf returns the field of the document or the settings that subject names.
func fieldOf(subject string) (schema.Field, bool) {
	if path, ok := strings.CutPrefix(subject, "entry:"); ok {
		return settings.DescribeEntry(path)
	}
	if path, ok := strings.CutPrefix(subject, "agent:"); ok {
		return settings.DescribeAgent(path)
	}
	if subject == "" {
		return schema.Field{}, false
	}
	if subject == "/" {
		subject = ""
	}
	return document.Describe(subject)
}

func explainField(out io.Writer, subject string, field schema.Field) {
	fmt.Fprintf(out, "%s: %s\n", subject, field.Kind())
	if field.Description() != "" {
		fmt.Fprintln(out, field.Description())
	}
	if field.Default() != "" {
		fmt.Fprintln(out, "default:", field.Default())
	}
	fmt.Fprintln(out, "to correct it:", field.Remedy())
	if len(field.Keys()) > 0 {
		fmt.Fprintln(out, "keys:", strings.Join(field.Keys(), ", "))
	}
}
