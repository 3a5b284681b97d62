// Package cmd holds the subcommands of comfreybench.
package cmd

import (
	"context"
	"os"

	"comfreyrelay.example/relay/cli"
)

// program is the name in help and messages.
const program = "comfreybench"

// Main runs the subcommand that the arguments name and returns the exit code.
func Main(ctx context.Context, version string, args []string) int {
	return cli.Main(ctx, program, version, commands(), args, os.Stdout, os.Stderr)
}

func commands() []*cli.Command {
	return []*cli.Command{demoCommand(), burstCommand(), requestsCommand(), controlCommand(), capacityCommand(), soakCommand(), soakPlatformCommand(), policyCommand(), deploymentCommand()}
}
