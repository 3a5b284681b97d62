// Command comfreyagent runs beside an endpoint on its host. It transfers weights,
// sends orders to the engine, admits or refuses each request to it and reports
// its load.
package main

import (
	"os"

	"comfreyrelay.example/agent/internal/cmd"
)

// version is set at build time.
var version = "dev"

func main() {
	os.Exit(cmd.Main(version, os.Args[1:], os.Stdout, os.Stderr))
}
