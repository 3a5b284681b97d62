// Command comfreybench starts whole deployments of real processes over loopback and
// measures them: the demo, the experiments and the soak. It is a test tool;
// the product starts no processes.
package main

import (
	"context"
	"os"

	"comfreyrelay.example/bench/internal/cmd"
)

// version is set when the binary is built.
var version = "dev"

func main() {
	os.Exit(cmd.Main(context.Background(), version, os.Args[1:]))
}
