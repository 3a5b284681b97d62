package cmd

import (
	"fmt"
	"os"
	"strings"
	"time"

	"comfreyrelay.example/ctl/internal/client"
	"comfreyrelay.example/relay/failure"
)

// connection holds the options of subcommands that send requests to an entry.
type connection struct {
	Entries []string      `long:"entry" value-name:"IP:PORT" env:"COMFREY_ENTRY" env-delim:"," description:"Entry to ask; give several and the next is tried where one does not answer"`
	Key     string        `long:"key" value-name:"KEY" env:"COMFREY_KEY" description:"Operator's bearer key; other users of this machine can see it, better use --key-file"`
	KeyFile string        `long:"key-file" value-name:"FILE" description:"File that holds the operator's bearer key"`
	Timeout time.Duration `long:"timeout" value-name:"TIME" default:"10s" description:"Longest wait for one entry's reply"`
	JSON    bool          `long:"json" description:"Print JSON in place of tables"`
}

// open returns a client for the configured entries.
func (c *connection) open(term *terminal) (*client.Client, error) {
	key, err := c.key()
	if err != nil {
		return nil, err
	}
	return client.New(client.Options{
		Entries: c.Entries,
		Key:     key,
		Timeout: c.Timeout,
		Clock:   term.clock,
		Send:    term.send,
		Notify:  func(line string) { fmt.Fprintln(term.errOut, line) },
	})
}

// key returns the bearer key. --key-file takes precedence over --key and the
// environment.
func (c *connection) key() (string, error) {
	if c.KeyFile == "" {
		return c.Key, nil
	}
	text, err := os.ReadFile(c.KeyFile)
	if err != nil {
		return "", failure.Wrap(err, failure.Invalid, "cannot read the key", "name a readable file with --key-file")
	}
	key := strings.TrimSpace(string(text))
	if key == "" {
		return "", failure.New(failure.Invalid, c.KeyFile+" is empty", "put the bearer key there, in one line")
	}
	return key, nil
}

// oneArgument returns the single positional argument, or an error if there is not
// exactly one. what describes the argument in the error.
func oneArgument(args []string, what string) (string, error) {
	if len(args) != 1 {
		return "", failure.New(failure.Invalid, fmt.Sprintf("got %d arguments, want one: %s", len(args), what),
			"see --help for an example")
	}
	return args[0], nil
}

// noArguments returns an error if there are positional arguments.
func noArguments(args []string) error {
	if len(args) == 0 {
		return nil
	}
	return failure.New(failure.Invalid, "unexpected argument "+args[0], "see --help for an example")
}
