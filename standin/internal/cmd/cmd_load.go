package cmd

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/cli"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/logging"
	"comfreyrelay.example/standin/internal/load"
)

type loadOptions struct {
	Entries       []string      `long:"entry" description:"ip:port of an entry to ask which entry to use; may be repeated"`
	Direct        []string      `long:"direct" description:"base URL of an engine to call directly, bypassing the entries; may be repeated"`
	Customers     []string      `long:"customer" description:"name:key:share; may be repeated"`
	Callers       int           `long:"callers" default:"8" description:"callers per customer, each with its own directory"`
	Services      []string      `long:"services" description:"name:fraction of the requests that call this plain service; may be repeated"`
	Adapters      []string      `long:"adapter" description:"name:version:fraction of the requests that use this adapter; may be repeated"`
	Versions      []string      `long:"versions" description:"version accepted in answers; may be repeated; any version if not given"`
	Rate          float64       `long:"rate" default:"50" description:"mean arrivals per second"`
	Seconds       float64       `long:"seconds" default:"10" description:"duration of the load, in seconds"`
	Seed          uint64        `long:"seed" default:"1" description:"seed of arrival times and request contents"`
	Model         string        `long:"model" default:"parcel" description:"model to request"`
	MaxTokens     int           `long:"max-tokens" default:"32" description:"tokens of each answer"`
	PromptBytes   int           `long:"prompt-bytes" default:"200" description:"length of a prompt"`
	PromptGroups  int           `long:"prompt-groups" default:"32" description:"prefixes that prompts share; 0 gives each its own"`
	NonRepeatable float64       `long:"nonrepeatable" default:"0" description:"fraction of the requests that may run at most once"`
	Stream        float64       `long:"stream" default:"1" description:"fraction of the requests to models answered as a stream"`
	DoubleSend    float64       `long:"double-send" default:"0" description:"fraction of the non-repeatable requests that are sent through two entries at once"`
	Deadline      time.Duration `long:"deadline" default:"5s" description:"time limit for an answer, from the planned arrival and including retries"`
	Retries       int           `long:"retries" default:"3" description:"maximum number of retries of a request that was not run"`
	ResendUnknown bool          `long:"resend-unknown" description:"send repeatable requests again after an unknown outcome"`
	MaxInFlight   int           `long:"max-in-flight" default:"20000" description:"maximum number of requests in flight; arrivals beyond it are counted as overrun"`
	Control       string        `long:"control" description:"ip:port that serves POST /versions, GET /summary and POST /stop"`
	LedgerFile    string        `long:"ledger-file" description:"file that receives one JSON line per request"`
}

const loadHelp = `Sends requests at random times, independent of the answers, and checks each
answer against the one computed from the version and the prompt. Prints one JSON
object at the end and logs progress to stderr every second.

Every request has one outcome: answered (complete and correct; late answers are
included and also counted separately), notRun, unknown, wrongAnswer,
wrongVersion or cutOff. Times are measured from the planned arrival.

POST /versions at the control address takes
  {"add":["<version>"],"remove":["<version>"],"addAdapters":{"<name>":"<version>"}}
and a removed version stays valid for requests sent before the removal.

Examples:
  comfreystandin load --entry 127.0.0.1:8080 --customer post:key1:9 --customer shop:key2:1 \
    --rate 200 --seconds 30 --nonrepeatable 0.2 --double-send 0.05 --services customs:0.1
  comfreystandin load --direct http://127.0.0.1:7100 --customer x:x --rate 20`

func loadCommand() *cli.Command {
	options := &loadOptions{}
	return &cli.Command{
		Name:    "load",
		Short:   "send requests and check the answers",
		Long:    loadHelp,
		Options: options,
		Run:     func(ctx context.Context, _ []string) error { return runLoad(ctx, options) },
	}
}

func runLoad(ctx context.Context, options *loadOptions) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	parsed, err := options.parse()
	if err != nil {
		return err
	}
	record, closeRecord, err := openRecord(options.LedgerFile)
	if err != nil {
		return err
	}
	log := logging.New(os.Stderr, "info", program, "load")
	caller, err := load.New(parsed, clockwork.NewRealClock(), log, record)
	if err != nil {
		return err
	}
	if options.Control != "" {
		control := &http.Server{Addr: options.Control, Handler: caller.Control(stop), ReadHeaderTimeout: headerTimeout}
		defer control.Close()
		go func() {
			if err := control.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
				log.Warn("cannot serve the control address", "address", options.Control, "error", err)
			}
		}()
	}
	summary, err := caller.Run(ctx)
	if err := closeRecord(); err != nil {
		return failure.Wrap(err, failure.Unavailable, "cannot write the caller's ledger", "free the disk or leave out --ledger-file")
	}
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(summary)
}

// openRecord opens the ledger file and returns a writer and a function that closes
// it. The writer is nil if name is empty.
func openRecord(name string) (io.Writer, func() error, error) {
	if name == "" {
		return nil, func() error { return nil }, nil
	}
	file, err := os.Create(name)
	if err != nil {
		return nil, nil, failure.Wrap(err, failure.Invalid, "cannot write the caller's ledger", "name a writable file with --ledger-file")
	}
	buffered := bufio.NewWriter(file)
	closeRecord := func() error {
		if err := buffered.Flush(); err != nil {
			return err
		}
		return file.Close()
	}
	return buffered, closeRecord, nil
}

// parse converts the flags to load options.
func (o *loadOptions) parse() (load.Options, error) {
	parsed := load.Options{
		Entries:       o.Entries,
		Direct:        o.Direct,
		Callers:       o.Callers,
		Versions:      o.Versions,
		Rate:          o.Rate,
		Time:          time.Duration(o.Seconds * float64(time.Second)),
		Seed:          o.Seed,
		Model:         o.Model,
		MaxTokens:     o.MaxTokens,
		PromptBytes:   o.PromptBytes,
		PromptGroups:  o.PromptGroups,
		NonRepeatable: o.NonRepeatable,
		Stream:        o.Stream,
		DoubleSend:    o.DoubleSend,
		Deadline:      o.Deadline,
		Retries:       o.Retries,
		ResendUnknown: o.ResendUnknown,
		MaxInFlight:   o.MaxInFlight,
	}
	var err error
	if parsed.Customers, err = parseAll(o.Customers, load.ParseCustomer); err != nil {
		return parsed, err
	}
	if parsed.Services, err = parseAll(o.Services, load.ParseService); err != nil {
		return parsed, err
	}
	parsed.Adapters, err = parseAll(o.Adapters, load.ParseAdapter)
	return parsed, err
}

func parseAll[T any](texts []string, parse func(string) (T, error)) ([]T, error) {
	var all []T
	for _, text := range texts {
		one, err := parse(text)
		if err != nil {
			return nil, err
		}
		all = append(all, one)
	}
	return all, nil
}
