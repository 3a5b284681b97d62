// Package cmd contains the command line and the dependency wiring of comfreyentry.
package cmd

import (
	"io"

	"comfreyrelay.example/platform"
	"comfreyrelay.example/relay/cli"
	"comfreyrelay.example/relay/settings"
	"comfreyrelay.example/relay/wire"
)

const program = "comfreyentry"

// Main parses the arguments, runs the entry until it receives a stop signal, and
// returns the exit code.
func Main(version string, args []string, out, errOut io.Writer) int {
	daemon := cli.Daemon[*wire.EntrySettings]{
		Name: program,
		About: "Serves callers and operators. SIGTERM lets requests in progress finish; " +
			"a second SIGTERM stops at once.",
		Load: settings.LoadEntryWith,
		Run:  Run,
		// The platform writes the settings file itself, at this path.
		DefaultFile: platform.SettingsFile(),
	}
	return daemon.Main(version, args, out, errOut)
}
