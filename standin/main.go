// Command comfreystandin holds small fakes of the platform, the back ends and
// the callers, with fault knobs. Tests and the demo run it; the product does
// not.
package main

import (
	"context"
	"os"

	"comfreyrelay.example/standin/internal/cmd"
)

// version is set when the binary is built.
var version = "dev"

func main() {
	os.Exit(cmd.Main(context.Background(), version, os.Args[1:]))
}
