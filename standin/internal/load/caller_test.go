package load

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/standin/internal/answer"
)

// deployment is a fake of the system. It answers directory lookups with a fixed
// reply and POST requests by a function.
type deployment struct {
	directory directoryReply
	// reply answers the n-th POST, counted from 1 over all entries.
	reply func(n int, post post) (*http.Response, error)

	mu    sync.Mutex
	asked int
	posts []post
}

// post is a POST request that an entry received.
type post struct {
	entry string
	modelBody
}

func (h *deployment) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.Method == http.MethodGet {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.asked++
		return respond(http.StatusOK, h.directory), nil
	}
	received := post{entry: request.URL.Host}
	if err := json.NewDecoder(request.Body).Decode(&received.modelBody); err != nil {
		return nil, err
	}
	h.mu.Lock()
	h.posts = append(h.posts, received)
	n := len(h.posts)
	h.mu.Unlock()
	return h.reply(n, received)
}

func (h *deployment) entries() []string {
	var entries []string
	for _, received := range h.posts {
		entries = append(entries, received.entry)
	}
	return entries
}

func respond(status int, body any) *http.Response {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err) // all bodies of these tests can be marshalled
	}
	return &http.Response{StatusCode: status, Body: io.NopCloser(bytes.NewReader(encoded))}
}

func right(received post) *http.Response {
	reply := unaryReply{Outcome: Answered, RequestID: received.Key, Version: "v1"}
	for i := range received.MaxTokens {
		reply.Tokens = append(reply.Tokens, answer.Token("v1", "", received.Prompt, i))
	}
	return respond(http.StatusOK, reply)
}

func refuse(outcome string, retryAfter time.Duration, spares ...string) *http.Response {
	body := replyError{Outcome: outcome}
	body.Error.Kind = "exhausted"
	body.Error.RetryAfterMillis = retryAfter.Milliseconds()
	body.Error.Spares = spares
	return respond(http.StatusServiceUnavailable, body)
}

// runOne sends one request through the fake deployment.
func runOne(t *testing.T, fake *deployment, change func(*Options)) Summary {
	t.Helper()
	options := Options{
		Entries:     []string{"seed:1"},
		Customers:   []Customer{{Name: "post", Key: "k", Share: 1}},
		Callers:     1,
		Rate:        1,
		Time:        time.Hour,
		Model:       "parcel",
		MaxTokens:   3,
		Deadline:    5 * time.Second,
		Retries:     3,
		MaxInFlight: 10,
	}
	change(&options)
	if fake.directory.Use == "" {
		fake.directory = directoryReply{Use: "a:1", Spares: []string{"b:1", "c:1"}, TTLSeconds: 30, Owner: "owner"}
	}
	caller, err := New(options, clockwork.NewRealClock(), slog.New(slog.DiscardHandler), nil)
	if err != nil {
		t.Fatalf("options: got %v, want none", err)
	}
	caller.sender.keepAlive.Transport, caller.sender.noKeepAlive.Transport = fake, fake
	planned, _ := newPlan(options).next()
	planned.arrival = 0
	var calls sync.WaitGroup
	caller.launch(&calls, planned)
	calls.Wait()
	return caller.Summary()
}

func nonRepeatable(options *Options) { options.NonRepeatable = 1 }

func TestCallerOutcomes(t *testing.T) {
	dialFailed := &net.OpError{Op: "dial", Err: errors.New("refused")}
	tests := []struct {
		name        string
		reply       func(n int, received post) (*http.Response, error)
		change      func(*Options)
		want        Counts
		wantEntries []string
	}{
		{
			name:        "answered",
			reply:       func(_ int, received post) (*http.Response, error) { return right(received), nil },
			want:        Counts{Answered: 1, Attempts: 1, Tokens: 3},
			wantEntries: []string{"a:1"},
		},
		{
			name: "not run, then answered by a spare from the error",
			reply: func(n int, received post) (*http.Response, error) {
				if n == 1 {
					return refuse(NotRun, 500*time.Millisecond, "z:1"), nil
				}
				return right(received), nil
			},
			change:      nonRepeatable,
			want:        Counts{Answered: 1, NotRunThenAnswered: 1, Attempts: 2, Tokens: 3},
			wantEntries: []string{"a:1", "z:1"},
		},
		{
			name:        "retry limit reached",
			reply:       func(int, post) (*http.Response, error) { return refuse(NotRun, time.Millisecond), nil },
			want:        Counts{NotRun: 1, Attempts: 4},
			wantEntries: []string{"a:1", "a:1", "a:1", "a:1"},
		},
		{
			name:        "the deadline ends retries",
			reply:       func(int, post) (*http.Response, error) { return refuse(NotRun, 3*time.Second), nil },
			want:        Counts{NotRun: 1, Attempts: 2},
			wantEntries: []string{"a:1", "a:1"},
		},
		{
			name:        "unknown is not resent by default",
			reply:       func(int, post) (*http.Response, error) { return refuse(Unknown, time.Millisecond), nil },
			change:      nonRepeatable,
			want:        Counts{Unknown: 1, Attempts: 1},
			wantEntries: []string{"a:1"},
		},
		{
			name: "non-repeatable requests are not resent even with ResendUnknown",
			reply: func(int, post) (*http.Response, error) {
				return refuse(Unknown, time.Millisecond), nil
			},
			change:      func(options *Options) { options.NonRepeatable, options.ResendUnknown = 1, true },
			want:        Counts{Unknown: 1, Attempts: 1},
			wantEntries: []string{"a:1"},
		},
		{
			name: "repeatable requests are resent with ResendUnknown",
			reply: func(n int, received post) (*http.Response, error) {
				if n == 1 {
					return nil, io.ErrUnexpectedEOF
				}
				return right(received), nil
			},
			change:      func(options *Options) { options.ResendUnknown = true },
			want:        Counts{Answered: 1, Attempts: 2, Tokens: 3},
			wantEntries: []string{"a:1", "a:1"},
		},
		{
			name:        "a connection that breaks after sending",
			reply:       func(int, post) (*http.Response, error) { return nil, io.ErrUnexpectedEOF },
			want:        Counts{Unknown: 1, Attempts: 1},
			wantEntries: []string{"a:1"},
		},
		{
			name: "an unreachable entry",
			reply: func(_ int, received post) (*http.Response, error) {
				if received.entry == "a:1" {
					return nil, dialFailed
				}
				return right(received), nil
			},
			want:        Counts{Answered: 1, Attempts: 1, Tokens: 3},
			wantEntries: []string{"a:1", "b:1"},
		},
		{
			name: "late",
			reply: func(_ int, received post) (*http.Response, error) {
				time.Sleep(6 * time.Second)
				return right(received), nil
			},
			want:        Counts{Answered: 1, Late: 1, Attempts: 1, Tokens: 3},
			wantEntries: []string{"a:1"},
		},
		{
			name: "no answer within the grace period",
			reply: func(int, post) (*http.Response, error) {
				time.Sleep(8 * time.Second)
				return nil, errors.New("given up")
			},
			want:        Counts{Unknown: 1, Attempts: 1},
			wantEntries: []string{"a:1"},
		},
		{
			name: "sent twice, answered once, the other unknown",
			reply: func(_ int, received post) (*http.Response, error) {
				if received.entry == "a:1" {
					return refuse(Unknown, 0), nil
				}
				return right(received), nil
			},
			change:      func(options *Options) { options.NonRepeatable, options.DoubleSend = 1, 1 },
			want:        Counts{Answered: 1, Attempts: 2, Tokens: 3},
			wantEntries: []string{"a:1", "b:1"},
		},
		{
			name: "sent twice, answered once, the other reported as not run",
			reply: func(_ int, received post) (*http.Response, error) {
				if received.entry == "a:1" {
					return refuse(NotRun, 0), nil
				}
				return right(received), nil
			},
			change: func(options *Options) {
				options.NonRepeatable, options.DoubleSend, options.Retries = 1, 1, 0
			},
			want:        Counts{Answered: 1, Attempts: 2, Tokens: 3, Contradicted: 1},
			wantEntries: []string{"a:1", "b:1"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if test.change == nil {
					test.change = func(*Options) {}
				}
				fake := &deployment{reply: test.reply}
				summary := runOne(t, fake, test.change)
				test.want.Requests = 1
				if summary.Counts != test.want {
					t.Errorf("got %+v, want %+v (%v)", summary.Counts, test.want, summary.Examples)
				}
				entries := fake.entries()
				if test.want.Attempts > 1 && strings.HasPrefix(test.name, "sent twice") {
					slices.Sort(entries) // both copies are sent at the same time
				}
				if !slices.Equal(entries, test.wantEntries) {
					t.Errorf("entries: got %v, want %v", entries, test.wantEntries)
				}
				expectOneKey(t, fake.posts)
			})
		})
	}
}

// expectOneKey checks that all attempts of a request that is not repeatable have the
// same key with the owner's prefix, and that repeatable requests have no such key.
func expectOneKey(t *testing.T, posts []post) {
	t.Helper()
	for _, received := range posts {
		if received.Key != posts[0].Key {
			t.Errorf("keys: got %q and %q, want one", received.Key, posts[0].Key)
		}
		if owned := strings.HasPrefix(received.Key, "owner."); owned == received.Repeatable {
			t.Errorf("key: got %q for repeatable=%v, want a key of the owner exactly where it is not", received.Key, received.Repeatable)
		}
	}
}

func TestDirectoryIsKeptForItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &deployment{directory: directoryReply{Use: "a:1", TTLSeconds: 30}}
		caller := &directory{entries: []string{"seed:1"}, client: &http.Client{Transport: fake}, clock: clockwork.NewRealClock()}
		ask := func(want int) {
			t.Helper()
			if _, err := caller.get(t.Context()); err != nil || fake.asked != want {
				t.Errorf("got %d asked, %v; want %d, none", fake.asked, err, want)
			}
		}
		ask(1)
		time.Sleep(29 * time.Second)
		ask(1)
		time.Sleep(2 * time.Second)
		ask(2)
		caller.invalidate()
		ask(3)
		// No entry answers: the expired reply is used.
		caller.invalidate()
		fake.directory.Use = ""
		ask(4)
	})
}

func TestArrivalsDoNotWaitForAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &deployment{directory: directoryReply{Use: "a:1", TTLSeconds: 3600}}
		fake.reply = func(_ int, received post) (*http.Response, error) {
			time.Sleep(time.Second)
			return right(received), nil
		}
		options := Options{
			Entries: []string{"seed:1"}, Customers: []Customer{{Name: "post", Key: "k", Share: 1}}, Callers: 1,
			Rate: 50, Time: 10 * time.Second, Seed: 7, MaxTokens: 1, Deadline: 5 * time.Second, MaxInFlight: 40,
		}
		caller, err := New(options, clockwork.NewRealClock(), slog.New(slog.DiscardHandler), io.Discard)
		if err != nil {
			t.Fatalf("options: got %v, want none", err)
		}
		caller.sender.keepAlive.Transport, caller.sender.noKeepAlive.Transport = fake, fake
		summary, err := caller.Run(t.Context())
		if err != nil {
			t.Fatalf("run: got %v, want none", err)
		}
		planned := 0
		for requests := newPlan(options); ; planned++ {
			if _, more := requests.next(); !more {
				break
			}
		}
		if got := summary.Requests + summary.Overrun; got != planned {
			t.Errorf("requests and overrun: got %d, want %d", got, planned)
		}
		// 50 arrivals per second that take one second each exceed the limit of 40 in flight.
		if summary.Overrun == 0 || summary.Answered != summary.Requests {
			t.Errorf("got %d overrun, %d of %d answered; want some and all", summary.Overrun, summary.Answered, summary.Requests)
		}
	})
}
