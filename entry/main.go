// Command comfreyentry runs on an entry host: it serves callers and operators,
// routes requests, and may hold the leases to watch and to plan.
package main

import (
	"os"

	"comfreyrelay.example/entry/internal/cmd"
)

// version is set when the binary is built.
var version = "dev"

func main() {
	os.Exit(cmd.Main(version, os.Args[1:], os.Stdout, os.Stderr))
}
