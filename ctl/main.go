// Command comfreyctl is the operators' command line: it validates, compares
// and applies documents and shows what is in force.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"comfreyrelay.example/ctl/internal/cmd"
)

// version is set when the binary is built.
var version = "dev"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := cmd.Main(ctx, version, os.Args[1:])
	stop()
	os.Exit(code)
}
