// Command comfreystandin holds small fakes of the platform, the back ends and
// the callers, with fault knobs. Tests and the demo run it; the product does
// not.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"comfreyrelay.example/standin/internal/cmd"
)

// version is set when the binary is built.
var version = "dev"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := cmd.Main(ctx, version, os.Args[1:])
	stop()
	os.Exit(code)
}
