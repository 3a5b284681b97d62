package site

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"comfreyrelay.example/platform/platformtest"
	"comfreyrelay.example/standin/internal/link"
)

var callFaults = map[string]platformtest.Fault{
	"busy": platformtest.Busy, "limit": platformtest.Limit, "lost": platformtest.Lost,
	"silent": platformtest.Silent, "slow": platformtest.Slow, "late": platformtest.Late,
}

// setupStore sets up the metadata store. Its control address writes keys on behalf of operators
// and endpoints; a key with a TTL is removed unless it is written again.
func (p *part) setupStore() error {
	store := platformtest.NewStore()
	store.EnableLeaseExpiry()
	p.handler = store
	proxies := map[string]*storeProxy{}
	shared := platformtest.NewNarrowLink(nil, p.options.DoorsBytesPerSecond)
	for _, address := range p.options.Doors {
		lis, err := listen(address)
		if err != nil {
			return err
		}
		proxies[address] = &storeProxy{lis: lis, store: store}
		var serving net.Listener = lis
		if p.options.DoorsBytesPerSecond > 0 {
			serving = shared.Share(lis)
		}
		p.extraServers = append(p.extraServers, listenerHandler{lis: serving, handler: proxies[address]})
	}
	keys := &expiringKeys{store: store, values: map[string]string{}, timers: map[string]*time.Timer{}}
	p.control.HandleFunc("PUT /key", func(w http.ResponseWriter, r *http.Request) {
		var value json.RawMessage
		if err := json.NewDecoder(r.Body).Decode(&value); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		ttl, _ := time.ParseDuration(r.URL.Query().Get("ttl"))
		writeJSON(w, keys.put(r.URL.Query().Get("key"), value, ttl))
	})
	p.control.HandleFunc("DELETE /key", func(_ http.ResponseWriter, r *http.Request) {
		keys.remove(r.URL.Query().Get("key"))
	})
	p.faults = func(f platformtest.PartFaults) {
		if f.Compact {
			store.Compact()
		}
		if f.Lapse {
			store.EndLeases()
		}
		for address, proxy := range proxies {
			proxy.set(f.Doors[address])
		}
		kind, share := callFaults[f.Calls], f.Share
		store.SetFault(func(*http.Request) platformtest.Fault {
			if f.Calls == "" || rand.Float64() >= share {
				return platformtest.None
			}
			return kind
		})
	}
	return nil
}

// storeProxy serves the store to one process, with faults that affect only that process.
type storeProxy struct {
	lis    *link.Listener
	store  *platformtest.Store
	status atomic.Int64
}

func (s *storeProxy) set(faults platformtest.DoorFaults) {
	s.lis.Set(faults.Link)
	s.status.Store(int64(faults.Status))
}

func (s *storeProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if status := s.status.Load(); status != 0 {
		w.WriteHeader(int(status))
		return
	}
	s.store.ServeHTTP(w, r)
}

// expiringKeys writes keys to the store and removes them when their TTL expires.
type expiringKeys struct {
	store *platformtest.Store

	mu     sync.Mutex
	values map[string]string
	timers map[string]*time.Timer
}

// put writes a key if its value changed and renews its TTL. It returns the time at which
// the store acknowledged the write, in Unix nanoseconds.
func (k *expiringKeys) put(key string, value json.RawMessage, ttl time.Duration) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if timer := k.timers[key]; timer != nil {
		timer.Stop()
	}
	if k.values[key] != string(value) {
		k.store.Put(key, value)
	}
	k.values[key] = string(value)
	if ttl > 0 {
		k.timers[key] = time.AfterFunc(ttl, func() { k.remove(key) })
	}
	return time.Now().UnixNano()
}

func (k *expiringKeys) remove(key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.values, key)
	k.store.Remove(key)
}
