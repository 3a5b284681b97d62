package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	slots      = 16
	warmTime   = 300 * time.Millisecond // a load, after what runs has ended
	prefill    = 20 * time.Millisecond
	eventPause = 45 * time.Millisecond
	// rotExcuse is how long a piece may have been bad when it is taken (rule WHOLE).
	rotExcuse = 3 * time.Second
)

// begun is a request that began to run: its first token was made.
type begun struct {
	at      time.Time
	request string
	worker  string
	version uint64 // of the weights
	spoilt  bool   // the weights were taken while a piece was bad for longer than rotExcuse
}

// worker is a stand-in of a model worker.
type worker struct {
	id, address, zone, service string
	rec                        *record

	mu       sync.Mutex
	version  uint64 // loaded
	spoilt   bool   // of the loaded weights, see begun
	staged   map[int][]byte
	badSince map[int]time.Time
	seq      uint64
	busy     bool
	running  int
	cut      chan struct{} // closed when a cutover ends what runs
	beats    uint64
	begun    []begun
	// checked holds the pieces that were read back since the last one was written.
	checked map[int]bool
	// onChecked is called once, when every piece of the version was read back.
	onChecked func(*worker)
	checkedOf uint64
	// awake is closed unless the machine is frozen.
	awake chan struct{}
}

func newWorker(id, address, zone, service string, rec *record) *worker {
	w := &worker{
		id: id, address: address, zone: zone, service: service, rec: rec, version: 1,
		staged: map[int][]byte{}, badSince: map[int]time.Time{}, cut: make(chan struct{}), checked: map[int]bool{},
		awake: make(chan struct{}),
	}
	close(w.awake)
	for i := range pieces {
		w.staged[i] = piece(1, i)
	}
	return w
}

// registration is the value under servers/ID.
func (w *worker) registration() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.beats++
	return map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": slots, "state": "ready",
		"cold_remaining_ms": 0, "stage": "both", "models": w.models(), "seq": w.beats,
	}
}

func (w *worker) models() []map[string]any {
	return []map[string]any{{"name": model, "version": w.version, "adapters": []string{}}}
}

// spoil turns staged pieces bad.
func (w *worker) spoil(indexes ...int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range indexes {
		bad := bytes.Clone(w.staged[i])
		bad[0] ^= 0xff
		w.staged[i] = bad
		w.badSince[i] = time.Now()
	}
	w.rec.say("worker %s: the staged pieces %v turn bad", w.id, indexes)
}

// freeze makes the worker stand still until wake is called.
func (w *worker) freeze() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.awake = make(chan struct{})
}

// wake ends a freeze.
func (w *worker) wake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.awake)
}

func (w *worker) runningNow() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running
}

// awaitAwake waits until the worker is not frozen.
func (w *worker) awaitAwake() {
	w.mu.Lock()
	awake := w.awake
	w.mu.Unlock()
	<-awake
}

func (w *worker) begunRequests() []begun {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]begun(nil), w.begun...)
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	w.awaitAwake()
	switch path := r.URL.Path; {
	case path == "/report":
		w.report(out)
	case path == "/order":
		w.order(out, r)
	case path == "/health":
		out.Header().Set("X-Instance-Id", w.id)
	case strings.HasPrefix(path, "/stage-put/"):
		w.stagePut(out, r)
	case strings.HasPrefix(path, "/stage-get/"):
		w.stageGet(out, r)
	default:
		w.request(out, r)
	}
}

func (w *worker) report(out http.ResponseWriter) {
	w.mu.Lock()
	body := map[string]any{
		"stage": "both", "models": w.models(), "busy": w.busy, "seq": w.seq, "queued": 0, "running": w.running,
		"kv_used": w.running * 1000 * 16, "kv_total": 1180000 * 16, "handles": 0, "pace": 1,
	}
	w.mu.Unlock()
	reply(out, http.StatusOK, body)
}

func (w *worker) stagePut(out http.ResponseWriter, r *http.Request) {
	index, err := strconv.Atoi(r.URL.Query().Get("num"))
	data, readErr := io.ReadAll(r.Body)
	if err != nil || readErr != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.staged[index] = data
	delete(w.badSince, index)
	w.checked = map[int]bool{}
}

func (w *worker) stageGet(out http.ResponseWriter, r *http.Request) {
	if !r.URL.Query().Has("num") {
		w.mu.Lock()
		held := make([]int, 0, len(w.staged))
		for i := range w.staged {
			held = append(held, i)
		}
		w.mu.Unlock()
		reply(out, http.StatusOK, map[string]any{"held": held})
		return
	}
	index, _ := strconv.Atoi(r.URL.Query().Get("num"))
	w.mu.Lock()
	data, ok := w.staged[index]
	w.mu.Unlock()
	if !ok {
		out.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = out.Write(data)
	w.noteChecked(index, data)
}

// noteChecked calls onChecked once every piece of the version checkedOf was read back.
func (w *worker) noteChecked(index int, data []byte) {
	w.mu.Lock()
	if w.onChecked == nil || !bytes.Equal(data, piece(w.checkedOf, index)) {
		w.mu.Unlock()
		return
	}
	w.checked[index] = true
	call := w.onChecked
	if len(w.checked) < pieces {
		call = nil
	} else {
		w.onChecked = nil
	}
	w.mu.Unlock()
	if call != nil {
		go call(w)
	}
}

func (w *worker) order(out http.ResponseWriter, r *http.Request) {
	var body struct {
		Operation    string  `json:"operation"`
		Model        string  `json:"model"`
		Version      uint64  `json:"version"`
		Mode         string  `json:"mode"`
		Precondition *uint64 `json:"precondition"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.Operation != "start" || body.Model != model {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if body.Version == w.version {
		out.WriteHeader(http.StatusOK)
		return
	}
	if w.busy || body.Precondition != nil && *body.Precondition != w.seq {
		w.rec.add("worker %s: order of version %d refused, busy %v, seq %d", w.id, body.Version, w.busy, w.seq)
		out.WriteHeader(http.StatusConflict)
		return
	}
	w.seq++
	w.busy = true
	bad, longest := w.judge(body.Version)
	w.rec.say("worker %s: order of version %d accepted (mode %s); bad pieces %v, the longest for %.3f s",
		w.id, body.Version, body.Mode, bad, longest.Seconds())
	out.WriteHeader(http.StatusAccepted)
	if body.Mode == "cutover" {
		close(w.cut)
		w.cut = make(chan struct{})
	}
	go w.load(body.Version, longest > rotExcuse)
}

// judge returns the staged pieces that aren't those of the version, and how long the one that
// counts most has been bad. A piece that is missing or of another version has always been. w.mu
// must be held.
func (w *worker) judge(version uint64) (bad []int, longest time.Duration) {
	for i := range pieces {
		if bytes.Equal(w.staged[i], piece(version, i)) {
			continue
		}
		bad = append(bad, i)
		since, turned := w.badSince[i]
		if !turned {
			since = w.rec.start
		}
		longest = max(longest, time.Since(since))
	}
	return bad, longest
}

// load makes a version usable after what runs has ended.
func (w *worker) load(version uint64, spoilt bool) {
	for {
		w.mu.Lock()
		running := w.running
		w.mu.Unlock()
		if running == 0 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(warmTime)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version, w.spoilt, w.busy = version, spoilt, false
	w.rec.say("worker %s: version %d loaded", w.id, version)
}

// request runs a client's request.
func (w *worker) request(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	out.Header().Set("X-Attempt-Id", id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.mu.Lock()
	status := w.refusal(r)
	if status == 0 {
		w.running++
	}
	version, spoilt, cut := w.version, w.spoilt, w.cut
	load := fmt.Sprintf("%d,0,%d", w.running, slots)
	w.mu.Unlock()
	out.Header().Set("X-Instance-Load", load)
	if status != 0 {
		out.Header().Set("X-Not-Executed", "1")
		out.Header().Set("X-Instance-Id", w.id)
		out.WriteHeader(status)
		return
	}
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.running--
	}()
	time.Sleep(prefill + time.Duration(len(body))*time.Microsecond)
	w.awaitAwake()
	if r.Context().Err() != nil {
		return
	}
	w.mu.Lock()
	w.begun = append(w.begun, begun{at: time.Now(), request: id, worker: w.id, version: version, spoilt: spoilt})
	w.mu.Unlock()
	w.rec.add("worker %s: request %s begins on version %d", w.id, id, version)
	w.stream(out, r, version, cut)
}

// refusal returns the status of a request that is not run, 0 if it is. w.mu must be held.
func (w *worker) refusal(r *http.Request) int {
	expected := r.Header.Get("X-Expect-Version")
	switch {
	case r.Header.Get("X-Attempt-Id") == "":
		return http.StatusBadRequest
	case r.Header.Get("X-Expect-Instance") != "" && r.Header.Get("X-Expect-Instance") != w.id:
		return http.StatusMisdirectedRequest
	case expected != "" && expected != strconv.FormatUint(w.version, 10):
		return http.StatusMisdirectedRequest
	case w.busy || w.running >= slots:
		return http.StatusServiceUnavailable
	}
	return 0
}

// stream answers with events of 5 tokens each, after the last one that the caller has.
func (w *worker) stream(out http.ResponseWriter, r *http.Request, version uint64, cut <-chan struct{}) {
	_, tokens, _ := strings.Cut(r.Header.Get("X-Token-Counts"), ",")
	count, _ := strconv.Atoi(tokens)
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	out.Header().Set("Content-Type", "text/event-stream")
	out.Header().Set("X-Server-Stamp", "stamp-"+w.id)
	out.Header().Set("X-Weight-Versions", strconv.FormatUint(version, 10))
	flush := http.NewResponseController(out)
	for i := first + 1; i <= count/5; i++ {
		if _, err := fmt.Fprintf(out, "id: %d\ndata: tokens of %s\n\n", i, r.Header.Get("X-Attempt-Id")); err != nil || flush.Flush() != nil {
			return
		}
		w.awaitAwake()
		select {
		case <-time.After(eventPause):
		case <-r.Context().Done():
			return
		case <-cut:
			panic(http.ErrAbortHandler)
		}
	}
}
