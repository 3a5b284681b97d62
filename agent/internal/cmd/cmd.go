// Package cmd implements the command line of comfreyagent and wires up its
// components.
package cmd

import (
	"io"

	"comfreyrelay.example/platform"
	"comfreyrelay.example/relay/cli"
	"comfreyrelay.example/relay/settings"
	"comfreyrelay.example/relay/wire"
)

const program = "comfreyagent"

// Main parses the arguments, runs the agent until it receives a stop signal, and
// returns the exit code.
func Main(version string, args []string, out, errOut io.Writer) int {
	daemon := cli.Daemon[*wire.AgentSettings]{
		Name: program,
		About: "Runs beside one endpoint. SIGTERM lets running requests finish; " +
			"a second SIGTERM stops at once.",
		Load: settings.LoadAgentWith,
		Run:  Run,
		// The platform writes the settings file itself.
		DefaultFile: platform.SettingsFile(),
	}
	return daemon.Main(version, args, out, errOut)
}
