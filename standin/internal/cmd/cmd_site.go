package cmd

import (
	"context"

	"comfreyrelay.example/relay/cli"
	"comfreyrelay.example/standin/internal/site"
)

type siteOptions struct {
	File string `long:"file" required:"true" description:"JSON file with the part's options"`
}

const siteHelp = `Stands in for one part of a platform: its metadata store, an endpoint, the origin
of weights or the network between processes, selected by "role" in the file. The
part listens on the file's "address". Its "control" address accepts POST /faults
and GET /record, for a store also PUT and DELETE /key, and for an endpoint also
POST /leave.

Example:
  comfreystandin site --file endpoint-1.json`

func siteCommand() *cli.Command {
	options := &siteOptions{}
	return &cli.Command{
		Name:    "site",
		Short:   "stand in for a part of a platform",
		Long:    siteHelp,
		Options: options,
		Run:     func(ctx context.Context, _ []string) error { return site.Run(ctx, options.File) },
	}
}
