// Package site stands in for the platform that comfreyrelay runs on, a process a part:
// its metadata store, its endpoints and the origin of weights.
//
// A second address of each part takes what a platform's own machinery does, and faults:
// POST /faults sets them, GET /record returns what the part saw.
package site

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"comfreyrelay.example/platform/platformtest"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/standin/internal/fault"
	"comfreyrelay.example/standin/internal/link"
)

// part is one process of the platform.
type part struct {
	options platformtest.PartOptions
	lis     *link.Listener
	handler http.Handler
	control *http.ServeMux
	// faults applies what is not the link's.
	faults func(platformtest.PartFaults)
	run    func(ctx context.Context) error // beside serving; nil: nothing
}

// Run runs the part that the file describes until ctx ends.
func Run(ctx context.Context, file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return failure.Wrap(err, failure.Invalid, "the options cannot be read", "name a JSON file with --file")
	}
	var options platformtest.PartOptions
	if err := json.Unmarshal(text, &options); err != nil {
		return failure.Wrap(err, failure.Invalid, "the options cannot be read", "write them as JSON")
	}
	raw, err := net.Listen("tcp", options.Address)
	if err != nil {
		return failure.Wrap(err, failure.Unavailable, "cannot listen on "+options.Address, "choose a free address")
	}
	one := &part{options: options, lis: link.New(raw), control: http.NewServeMux(), faults: func(platformtest.PartFaults) {}}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	switch options.Role {
	case platformtest.RoleStore:
		one.store()
	case platformtest.RoleEndpoint:
		one.endpoint(ctx)
	case platformtest.RoleOrigin:
		one.origin()
	default:
		return failure.New(failure.Invalid, "the role is unknown", "use store, endpoint or origin")
	}
	return one.serve(ctx)
}

func (p *part) serve(ctx context.Context) error {
	knobs := &fault.Knobs[platformtest.PartFaults]{Changed: func(values platformtest.PartFaults) platformtest.PartFaults {
		values.Link = p.lis.Set(values.Link)
		p.faults(values)
		values.Compact, values.Lapse, values.Spoil = false, false, false
		return values
	}}
	p.control.Handle("/faults", knobs)
	control, err := net.Listen("tcp", p.options.Control)
	if err != nil {
		return failure.Wrap(err, failure.Unavailable, "cannot listen on "+p.options.Control, "choose a free address")
	}
	fmt.Fprintf(os.Stdout, "listening address=%s\n", p.lis.Addr())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return serve(ctx, p.lis, p.handler) })
	group.Go(func() error { return serve(ctx, control, p.control) })
	if p.run != nil {
		group.Go(func() error { return p.run(ctx) })
	}
	return group.Wait()
}

func serve(ctx context.Context, lis net.Listener, handler http.Handler) error {
	const headerTimeout = 10 * time.Second
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	err := server.Serve(lis)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

var callFaults = map[string]platformtest.Fault{
	"busy": platformtest.Busy, "limit": platformtest.Limit, "lost": platformtest.Lost,
	"silent": platformtest.Silent, "slow": platformtest.Slow, "late": platformtest.Late,
}

// store is the metadata store. Its second address writes keys as operators and
// endpoints do; a key with a time to live ends unless it is written again.
func (p *part) store() {
	store := platformtest.NewStore()
	store.Run()
	p.handler = store
	kept := &keeper{store: store, timers: map[string]*time.Timer{}}
	p.control.HandleFunc("PUT /key", func(w http.ResponseWriter, r *http.Request) {
		var value json.RawMessage
		if err := json.NewDecoder(r.Body).Decode(&value); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		ttl, _ := time.ParseDuration(r.URL.Query().Get("ttl"))
		answer(w, kept.put(r.URL.Query().Get("key"), value, ttl))
	})
	p.control.HandleFunc("DELETE /key", func(_ http.ResponseWriter, r *http.Request) {
		store.Remove(r.URL.Query().Get("key"))
	})
	p.faults = func(f platformtest.PartFaults) {
		if f.Compact {
			store.Compact()
		}
		if f.Lapse {
			store.EndLeases()
		}
		kind, share := callFaults[f.Calls], f.Share
		store.SetFault(func(*http.Request) platformtest.Fault {
			if f.Calls == "" || rand.Float64() >= share {
				return platformtest.None
			}
			return kind
		})
	}
}

// keeper keeps keys that end by themselves.
type keeper struct {
	store *platformtest.Store

	mu     sync.Mutex
	values map[string]string
	timers map[string]*time.Timer
}

// put writes a key where it changed and puts its end off. It returns the time at which
// the store acknowledged it, Unix nanoseconds.
func (k *keeper) put(key string, value json.RawMessage, ttl time.Duration) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.values == nil {
		k.values = map[string]string{}
	}
	if timer := k.timers[key]; timer != nil {
		timer.Stop()
	}
	if k.values[key] != string(value) {
		k.store.Put(key, value)
	}
	k.values[key] = string(value)
	if ttl > 0 {
		k.timers[key] = time.AfterFunc(ttl, func() { k.end(key) })
	}
	return time.Now().UnixNano()
}

func (k *keeper) end(key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.values, key)
	k.store.Remove(key)
}
