package cmd

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"

	"comfreyrelay.example/bench/internal/deployment"
	"comfreyrelay.example/relay/cli"
	"comfreyrelay.example/relay/failure"
)

type deploymentOptions struct {
	common
	Entries   int     `long:"entries" default:"9" description:"entry hosts"`
	Hosts     int     `long:"hosts" default:"12" description:"number of hosts, each running an engine and its agent"`
	Services  int     `long:"services" default:"1" description:"number of plain services, each with its agent"`
	ModelMiB  float64 `long:"model-mib" default:"8" description:"size of the model weights in MiB"`
	Customers int     `long:"customers" default:"10" description:"number of customers in the document"`
	Info      string  `long:"info" description:"file to write the JSON object to instead of standard output"`
	LogLevel  string  `long:"log-level" default:"info" description:"log level of the started processes"`
}

const deploymentHelp = `Starts a complete deployment, rolls out a model, prints one JSON object with addresses
and keys, and keeps the deployment running until SIGINT or SIGTERM.

Example:
  comfreybench deployment --entries 3 --hosts 4`

func deploymentCommand() *cli.Command {
	options := &deploymentOptions{}
	return &cli.Command{
		Name:    "deployment",
		Short:   "run a complete deployment for experiments",
		Long:    deploymentHelp,
		Options: options,
		Run:     func(ctx context.Context, _ []string) error { return runDeployment(ctx, options) },
	}
}

func runDeployment(ctx context.Context, options *deploymentOptions) error {
	ctx, stop := untilSignal(ctx)
	defer stop()
	log, closeLog, err := options.processLog("deployment.log")
	if err != nil {
		return err
	}
	defer closeLog()
	kept, err := deployment.Start(ctx, deployment.Config{
		Bin:      options.Bin,
		Log:      log,
		Places:   deployment.Quetzal(),
		Entries:  options.Entries,
		Hosts:    options.Hosts,
		Services: options.Services,
		Mixed:    true,
		LogLevel: options.LogLevel,
	})
	if err != nil {
		return failure.Wrap(err, failure.Internal, "the deployment did not start", "read "+filepath.Join(options.Out, "deployment.log"))
	}
	defer kept.Stop()
	document, err := rollOut(ctx, kept, options)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "the model was not rolled out", "read "+filepath.Join(options.Out, "deployment.log"))
	}
	if err := printInfo(options.Info, kept.Describe(document)); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// printInfo writes the description to standard output or, atomically by a rename, to
// a file, so that a reader never sees a part of it.
func printInfo(name string, info deployment.Description) error {
	const mode = 0o600
	text, err := json.Marshal(info)
	if err != nil {
		return err
	}
	if name == "" {
		_, err = os.Stdout.Write(append(text, '\n'))
		return err
	}
	partial := name + ".partial"
	if err := os.WriteFile(partial, text, mode); err != nil {
		return failure.Wrap(err, failure.Invalid, "cannot write the description of the deployment", "choose a writable file with --info")
	}
	return os.Rename(partial, name)
}

// rollOut rolls out a model to every host and returns the name of the document file.
func rollOut(ctx context.Context, kept *deployment.Deployment, options *deploymentOptions) (string, error) {
	const chunkKiB = 64
	made, err := kept.Publish(ctx, deployment.Publication{Model: deployment.ModelName, Mib: options.ModelMiB, ChunkKib: chunkKiB, Seed: options.Seed})
	if err != nil {
		return "", err
	}
	if err := kept.WaitRoutable(ctx); err != nil {
		return "", err
	}
	customers := deployment.Customers(options.Customers)
	doc := kept.Document(deployment.Desired{Version: made.Version, Objective: deployment.ObjectiveTime, Customers: customers})
	if _, err := kept.Submit(ctx, kept.Entries()[0], 0, doc, "comfreybench deployment"); err != nil {
		return "", err
	}
	if err := kept.WaitServing(ctx, kept.Agents(), made.Version, nil); err != nil {
		return "", err
	}
	if err := kept.WaitAnswering(ctx, customers[0]); err != nil {
		return "", err
	}
	return kept.WriteDocument(doc)
}
