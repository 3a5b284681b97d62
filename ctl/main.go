// Command comfreyctl is the command-line tool for operators: it validates,
// compares and applies documents and shows the state of the deployment.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"comfreyrelay.example/ctl/internal/cmd"
)

// version is set at build time.
var version = "dev"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := cmd.Main(ctx, version, os.Args[1:])
	stop()
	os.Exit(code)
}
