// Command comfreyentry runs on an entry host. It serves callers and operators,
// routes requests, and may hold the leases for watching the key-value service and
// for planning.
package main

import (
	"os"

	"comfreyrelay.example/entry/internal/cmd"
)

// version is set at build time.
var version = "dev"

func main() {
	os.Exit(cmd.Main(version, os.Args[1:], os.Stdout, os.Stderr))
}
