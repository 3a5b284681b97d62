// Package cmd holds the subcommands of comfreystandin.
package cmd

import (
	"context"
	"os"

	"comfreyrelay.example/relay/cli"
)

// program is the program name shown in help and messages.
const program = "comfreystandin"

// Main runs the subcommand that the arguments name and returns the exit code.
func Main(ctx context.Context, version string, args []string) int {
	return cli.Main(ctx, program, version, commands(), args, os.Stdout, os.Stderr)
}

func commands() []*cli.Command {
	return append(platformCommands(), endpointCommands()...)
}

// platformCommands returns the commands that simulate services of the platform.
func platformCommands() []*cli.Command {
	return []*cli.Command{kvCommand(), hostsCommand(), originCommand(), publishCommand(), siteCommand()}
}
