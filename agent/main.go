// Command comfreyagent runs in the slot of an endpoint host: it moves weights,
// orders the engine, gates every request to it and reports its load.
package main

import (
	"os"

	"comfreyrelay.example/agent/internal/cmd"
)

// version is set when the binary is built.
var version = "dev"

func main() {
	os.Exit(cmd.Main(version, os.Args[1:], os.Stdout, os.Stderr))
}
