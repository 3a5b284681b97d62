// Package demo runs a complete deployment for less than a minute: it rolls out a
// model, serves requests, rolls out a second version under load, and shuts down one
// entry and one host gracefully.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"comfreyrelay.example/bench/internal/audit"
	"comfreyrelay.example/bench/internal/deployment"
	"comfreyrelay.example/relay/wire"
)

// Options configure the demo.
type Options struct {
	// Bin is the directory of the built programs.
	Bin string
	// Hosts counts the engines with their agents.
	Hosts int
	// Objective is "time" or "originBytes".
	Objective string
	// ModelMiB is the size of the weights.
	ModelMiB float64
	// Log receives the log of the demo itself, Progress that of the callers and
	// ProcessLog those of all other processes.
	Log        *slog.Logger
	Progress   io.Writer
	ProcessLog io.Writer
	Seed       uint64
}

// Sizes and times of the demo.
const (
	entryCount      = 9
	serviceCount    = 1
	customerCount   = 10
	chunkKiB        = 64
	changeFraction  = 0.25 // of the chunks, between the two versions
	loadRate        = 80   // requests per second
	loadTime        = 18 * time.Second
	rollDelay       = 3 * time.Second
	leaveDelay      = 3 * time.Second // after the start of the roll
	answerTokens    = 16
	linkFactor      = 2 // copies of the model per window on each host's link
	originFactor    = 4 // copies of the model per window on the origin's link
	window          = 6 * time.Second
	runLimit        = 58 * time.Second
	requestDeadline = 8 * time.Second
)

// Result is the JSON line of the demo. All figures come from the callers and the
// stand-ins; none is reported by the system under test.
type Result struct {
	Demo             string  `json:"demo"`
	Hosts            int     `json:"hosts"`
	Objective        string  `json:"objective"`
	ServingSeconds   float64 `json:"servingSeconds"`
	OriginCopies     float64 `json:"originCopies"`
	RollSeconds      float64 `json:"rollSeconds"`
	RollOriginCopies float64 `json:"rollOriginCopies"`
	Requests         int     `json:"requests"`
	Answered         int     `json:"answered"`
	NotRun           int     `json:"notRun"`
	Unknown          int     `json:"unknown"`
	Doubled          int     `json:"doubled"`
	WrongAnswer      int     `json:"wrongAnswer"`
	WrongVersion     int     `json:"wrongVersion"`
	CutOff           int     `json:"cutOff"`
	NotRunButRan     int     `json:"notRunButRan"`
	// OtherBreaches counts violations that engines observed and members that did
	// not shut down cleanly.
	OtherBreaches int     `json:"otherBreaches"`
	Seconds       float64 `json:"seconds"`
}

// Values of Result.Demo.
const (
	stateOK     = "ok"
	stateBroken = "broken"
)

// setState sets Demo to broken if an invariant broke or no request was answered.
func (r *Result) setState() {
	r.Demo = stateOK
	if r.Doubled+r.WrongAnswer+r.WrongVersion+r.CutOff+r.NotRunButRan+r.OtherBreaches > 0 || r.Answered == 0 {
		r.Demo = stateBroken
	}
}

// Broken reports whether the demo failed: an invariant broke or nothing was answered.
func (r *Result) Broken() bool { return r.Demo != stateOK }

// demo is the state of one run.
type demo struct {
	options    Options
	deployment *deployment.Deployment
	log        *slog.Logger
	result     Result
	leaving    struct{ entry, host *deployment.Member }
}

// Run runs the demo and stops every process that it started.
func Run(ctx context.Context, options Options) (Result, error) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()
	d := &demo{options: options, log: options.Log}
	d.result.Hosts, d.result.Objective = options.Hosts, options.Objective
	if err := d.start(ctx); err != nil {
		return d.result, err
	}
	defer d.deployment.Stop()
	if err := d.run(ctx); err != nil {
		return d.result, err
	}
	d.result.Seconds = time.Since(started).Seconds()
	d.result.setState()
	return d.result, nil
}

func (d *demo) start(ctx context.Context) (err error) {
	d.log.Info("starting the deployment", "entries", entryCount, "hosts", d.options.Hosts, "services", serviceCount)
	bytes := d.options.ModelMiB * (1 << 20)
	link := uint64(linkFactor * bytes / window.Seconds())
	d.deployment, err = deployment.Start(ctx, deployment.Config{
		Bin:                  d.options.Bin,
		Log:                  d.options.ProcessLog,
		Places:               deployment.Quetzal(),
		Entries:              entryCount,
		Hosts:                d.options.Hosts,
		Services:             serviceCount,
		Link:                 deployment.Link{Up: link, Down: link},
		OriginBytesPerSecond: uint64(originFactor * bytes / window.Seconds()),
		Mixed:                true,
		LogLevel:             "info",
	})
	return err
}

func (d *demo) run(ctx context.Context) error {
	if err := d.deployment.WaitRoutable(ctx); err != nil {
		return err
	}
	first, err := d.publish(ctx, deployment.Publication{Seed: d.options.Seed})
	if err != nil {
		return err
	}
	customers := deployment.Customers(customerCount)
	want := deployment.Desired{Version: first, Objective: d.options.Objective, Customers: customers}
	if d.result.ServingSeconds, err = d.rollOut(ctx, want, d.deployment.Agents()); err != nil {
		return err
	}
	if err := d.deployment.WaitAnswering(ctx, customers[0]); err != nil {
		return err
	}
	d.log.Info("callers start", "requestsPerSecond", loadRate, "seconds", loadTime.Seconds())
	load, err := d.deployment.StartLoad(ctx, deployment.LoadOptions{
		Customers:     deployment.EvenShares(customers),
		Rate:          loadRate,
		Time:          loadTime,
		Seed:          d.options.Seed,
		Versions:      []string{first},
		MaxTokens:     answerTokens,
		NonRepeatable: 0.3,
		DoubleSend:    0.2,
		Services:      0.15,
		Deadline:      requestDeadline,
		Log:           d.options.Progress,
	})
	if err != nil {
		return err
	}
	if err := d.changeUnderLoad(ctx, load, want); err != nil {
		return err
	}
	summary, err := load.Wait(ctx)
	if err != nil {
		return err
	}
	return d.fillResult(ctx, load, summary, first)
}

func (d *demo) publish(ctx context.Context, pub deployment.Publication) (string, error) {
	pub.Model, pub.Mib, pub.ChunkKib = deployment.ModelName, d.options.ModelMiB, chunkKiB
	made, err := d.deployment.Publish(ctx, pub)
	if err != nil {
		return "", fmt.Errorf("publish: %w", err)
	}
	d.log.Info("version published", "version", made.Version, "bytes", made.Bytes, "chunks", made.Chunks)
	return made.Version, nil
}

// rollOut applies the document with comfreyctl, as an operator would, and
// returns the seconds until each of the hosts serves the version.
func (d *demo) rollOut(ctx context.Context, want deployment.Desired, hosts []*deployment.Member) (float64, error) {
	started := time.Now()
	if err := d.apply(ctx, d.deployment.Document(want)); err != nil {
		return 0, err
	}
	d.log.Info("document applied", "version", want.Version)
	if err := d.deployment.WaitServing(ctx, hosts, want.Version, d.mustServe); err != nil {
		return 0, err
	}
	took := time.Since(started).Seconds()
	d.log.Info("every host serves the version", "version", want.Version, "seconds", took)
	return took, nil
}

// mustServe is false for the host that shuts down; it need not change versions.
func (d *demo) mustServe(m *deployment.Member) bool { return m != d.leaving.host }

func (d *demo) apply(ctx context.Context, doc *wire.Document) error {
	name, err := d.deployment.WriteDocument(doc)
	if err != nil {
		return err
	}
	command := exec.CommandContext(ctx, filepath.Join(d.options.Bin, "comfreyctl"), "apply",
		"--entry", d.deployment.Entries()[0].CallersAddress(), "--reason", "comfreybench demo", name)
	command.Env = append(os.Environ(), "COMFREY_KEY="+deployment.OperatorKey)
	out, err := command.CombinedOutput()
	if err != nil {
		return fmt.Errorf("comfreyctl apply: %w: %s", err, out)
	}
	return nil
}

// changeUnderLoad rolls out a second version while the callers send, and shuts down
// one entry and one host meanwhile.
func (d *demo) changeUnderLoad(ctx context.Context, load *deployment.Load, want deployment.Desired) error {
	if err := pause(ctx, rollDelay); err != nil {
		return err
	}
	first := want.Version
	second, err := d.publish(ctx, deployment.Publication{Seed: d.options.Seed + 1, FromVersion: first, ChangeFraction: changeFraction})
	if err != nil {
		return err
	}
	if err := load.AddVersion(ctx, second); err != nil {
		return err
	}
	want.Version = second
	// Use the last ones, because comfreyctl is connected to the first entry.
	entries, hosts := d.deployment.Entries(), d.deployment.Agents()
	d.leaving.entry, d.leaving.host = entries[len(entries)-1], hosts[len(hosts)-1]
	left := make(chan error, 1)
	go func() { left <- d.leave(ctx) }()
	d.result.RollSeconds, err = d.rollOut(ctx, want, hosts)
	if err = errors.Join(err, <-left); err != nil {
		return err
	}
	d.result.RollOriginCopies, err = d.copies(ctx, second)
	return errors.Join(err, load.RemoveVersion(ctx, first))
}

// leave shuts down one entry and one host gracefully.
func (d *demo) leave(ctx context.Context) error {
	if err := pause(ctx, leaveDelay); err != nil {
		return err
	}
	for _, m := range []*deployment.Member{d.leaving.entry, d.leaving.host} {
		d.log.Info("asking to leave", "node", m.ID())
		if err := d.deployment.ListLeaving(ctx, m); err != nil {
			return err
		}
		if err := m.Terminate(ctx); err != nil {
			d.log.Error("did not leave cleanly", "node", m.ID(), "error", err)
			d.result.OtherBreaches++
			continue
		}
		d.log.Info("left", "node", m.ID())
	}
	return nil
}

func (d *demo) copies(ctx context.Context, version string) (float64, error) {
	ledger, err := d.deployment.OriginLedger(ctx)
	return ledger.Copies(version), err
}

// fillResult fills in the result from the records of the callers and the endpoints.
func (d *demo) fillResult(ctx context.Context, load *deployment.Load, summary deployment.LoadSummary, first string) (err error) {
	if d.result.OriginCopies, err = d.copies(ctx, first); err != nil {
		return err
	}
	ledgers := audit.Collect(ctx, d.deployment)
	found, err := audit.CompareFile(load, ledgers.Runs, d.deployment, requestDeadline)
	if err != nil {
		return err
	}
	for _, breach := range found.Examples {
		d.log.Error("invariant broke", "kind", breach.Kind, "request", breach.RequestID, "detail", breach.Detail)
	}
	for _, example := range summary.Examples {
		d.log.Info("request without an answer", "outcome", example.Outcome, "request", example.RequestID, "detail", example.Detail)
	}
	d.result.Requests = summary.Requests
	d.result.Answered = summary.Answered
	d.result.NotRun = summary.NotRun
	d.result.Unknown = summary.Unknown
	d.result.WrongAnswer = summary.WrongAnswer
	d.result.WrongVersion = summary.WrongVersion
	d.result.CutOff = summary.CutOff + found.CutOff
	d.result.Doubled = found.Doubled
	d.result.NotRunButRan = found.NotRunButRan + summary.Contradicted
	d.result.OtherBreaches += found.Other + found.NeverRan + found.Unverified + ledgers.Lost
	return nil
}

func pause(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
