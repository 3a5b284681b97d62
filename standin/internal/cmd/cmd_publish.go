package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"

	"comfreyrelay.example/relay/cli"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/standin/internal/origin"
)

// maxAnswerBytes limits how much of the origin's response is read.
const maxAnswerBytes = 1 << 16

func publishCommand() *cli.Command {
	var opts struct {
		Origin   string  `long:"origin" required:"true" description:"base address of the origin: http://127.0.0.1:7003"`
		Model    string  `long:"model" required:"true" description:"name of the model"`
		Mib      float64 `long:"mib" default:"8" description:"size of the weights"`
		ChunkKib int     `long:"chunk-kib" default:"256" description:"size of a chunk"`
		Seed     uint64  `long:"seed" default:"1" description:"seed of the weights"`
		Kind     string  `long:"kind" default:"base" choice:"base" choice:"adapter" description:"kind of version"`
		Base     string  `long:"base" description:"for an adapter: its base version"`
		From     string  `long:"from" description:"derive the version from this one"`
		Change   float64 `long:"change-fraction" description:"with --from: the fraction of chunks that differ"`
	}
	return &cli.Command{
		Name:    "publish",
		Short:   "create a version at the origin",
		Long:    "Prints {\"version\",\"chunks\",\"bytes\"}. The same options give the same version.",
		Options: &opts,
		Run: func(ctx context.Context, _ []string) error {
			return publish(ctx, opts.Origin, origin.Publication{
				Model: opts.Model, Kind: opts.Kind, BaseVersion: opts.Base, Mib: opts.Mib, ChunkKib: opts.ChunkKib,
				Seed: opts.Seed, FromVersion: opts.From, ChangeFraction: opts.Change,
			})
		},
	}
}

func publish(ctx context.Context, base string, pub origin.Publication) error {
	text, err := json.Marshal(pub)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(base, "/")+"/publish", bytes.NewReader(text))
	if err != nil {
		return failure.Wrap(err, failure.Invalid, "the origin's address is not valid", "give --origin http://ip:port")
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return failure.Wrap(err, failure.Unavailable, "the origin does not answer", "start it, or correct --origin")
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return failure.Wrap(err, failure.Unavailable, "the origin's answer was cut short", "publish again")
	}
	if answer.StatusCode != http.StatusOK {
		return failure.New(failure.Invalid, "the origin refused: "+strings.TrimSpace(string(body)), "correct the options")
	}
	_, err = os.Stdout.Write(body)
	return err
}
