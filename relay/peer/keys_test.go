package peer

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/wire"
)

func loadKeys(t testing.TB, files *wire.TlsSettings, clock clockwork.Clock) *Keys {
	t.Helper()
	keys, err := NewKeys(files, clock)
	if err != nil {
		t.Fatal(err)
	}
	return keys
}

func TestOnlyTheDeploymentsAuthorityIsAccepted(t *testing.T) {
	clock := clockwork.NewFakeClock()
	deployment, other := newAuthority(t), newAuthority(t)
	entry := loadKeys(t, deployment.issue(t, t.TempDir(), "entry-1", RoleEntry), clock)
	foreign := loadKeys(t, other.issue(t, t.TempDir(), "entry-1", RoleEntry), clock)
	lis := listen(t, "127.0.0.1:0")
	serve(t, lis, loadKeys(t, deployment.issue(t, t.TempDir(), "agent-1", RoleAgent), clock), newReplyingServer())
	foreignListener := listen(t, "127.0.0.1:0")
	serve(t, foreignListener, loadKeys(t, other.issue(t, t.TempDir(), "agent-1", RoleAgent), clock), newReplyingServer())
	for _, test := range []struct {
		name    string
		keys    *Keys
		address string
		works   bool
	}{
		{"the deployment's keys", entry, lis.Addr().String(), true},
		{"another authority's client", foreign, lis.Addr().String(), false},
		{"another authority's server", entry, foreignListener.Addr().String(), false},
		{"clear text to a server with keys", nil, lis.Addr().String(), false},
	} {
		if err := call(t, test.keys, test.address); (err == nil) != test.works {
			t.Errorf("%s: got error %v, want it to work: %t", test.name, err, test.works)
		}
	}
}

// replaceAll replaces a server's key files by those of a new authority, one file at
// a time. The new files have older modification times than the previous ones, as
// after a move into place.
func replaceAll(t *testing.T, files *wire.TlsSettings, next *authority, dir string) {
	t.Helper()
	fresh := next.issue(t, dir, "agent-1", RoleAgent)
	older := time.Now().Add(-time.Hour)
	for from, to := range map[string]string{
		fresh.GetCertificateFile(): files.GetCertificateFile(),
		fresh.GetKeyFile():         files.GetKeyFile(),
		fresh.GetAuthorityFile():   files.GetAuthorityFile(),
	} {
		if err := os.Chtimes(from, older, older); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(from, to); err != nil {
			t.Fatal(err)
		}
	}
}

// Symptom: after a change of the authority every call failed until a restart.
// Sequence: the key files of a running process are replaced by files with older
// modification times. Cause: keys were read only once, or again only if a file had
// a newer time.
func TestKeysAreReplacedWithoutRestart(t *testing.T) {
	clock := clockwork.NewFakeClock()
	before, after := newAuthority(t), newAuthority(t)
	files := before.issue(t, t.TempDir(), "agent-1", RoleAgent)
	lis := listen(t, "127.0.0.1:0")
	serve(t, lis, loadKeys(t, files, clock), newReplyingServer())
	old := loadKeys(t, before.issue(t, t.TempDir(), "entry-1", RoleEntry), clock)
	fresh := loadKeys(t, after.issue(t, t.TempDir(), "entry-1", RoleEntry), clock)
	replaceAll(t, files, after, t.TempDir())
	if err := call(t, old, lis.Addr().String()); err != nil {
		t.Errorf("got %v before the files are checked again, want the old keys in use", err)
	}
	clock.Advance(keyCheckInterval)
	if err := call(t, fresh, lis.Addr().String()); err != nil {
		t.Errorf("got %v with the new authority's keys, want them accepted", err)
	}
	if err := call(t, old, lis.Addr().String()); err == nil {
		t.Error("got a call accepted with the old authority's keys, want it refused")
	}
}

// Symptom: all connections of a process failed while its keys were replaced.
// Sequence: the certificate is written in two parts, and a peer connects in
// between. Cause: the process dropped its valid keys for files that do not parse.
func TestHalfWrittenFileKeepsTheOldKeys(t *testing.T) {
	clock := clockwork.NewFakeClock()
	deployment := newAuthority(t)
	entry := loadKeys(t, deployment.issue(t, t.TempDir(), "entry-1", RoleEntry), clock)
	for _, half := range []string{"certificate", "key", "authority"} {
		t.Run(half, func(t *testing.T) {
			files := deployment.issue(t, t.TempDir(), "agent-1", RoleAgent)
			name := map[string]string{
				"certificate": files.GetCertificateFile(), "key": files.GetKeyFile(), "authority": files.GetAuthorityFile(),
			}[half]
			lis := listen(t, "127.0.0.1:0")
			serve(t, lis, loadKeys(t, files, clock), newReplyingServer())
			text, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			write(t, name, text[:len(text)/2])
			clock.Advance(keyCheckInterval)
			if err := call(t, entry, lis.Addr().String()); err != nil {
				t.Errorf("got %v while the file is half written, want the old keys in use", err)
			}
			next := newAuthority(t)
			replaceAll(t, files, next, t.TempDir())
			clock.Advance(keyCheckInterval)
			if err := call(t, loadKeys(t, next.issue(t, t.TempDir(), "entry-1", RoleEntry), clock), lis.Addr().String()); err != nil {
				t.Errorf("got %v once all files are complete, want the new keys in use", err)
			}
		})
	}
}

func TestNoKeysNoStart(t *testing.T) {
	files := newAuthority(t).issue(t, t.TempDir(), "agent-1", RoleAgent)
	write(t, files.GetAuthorityFile(), []byte("no certificate"))
	if _, err := NewKeys(files, clockwork.NewFakeClock()); failure.KindOf(err) != failure.Invalid {
		t.Errorf("got %v, want an error of kind invalid that names the file", err)
	}
}

func TestRequireRefusesTheWrongRole(t *testing.T) {
	clock := clockwork.NewFakeClock()
	deployment := newAuthority(t)
	server := &hostServer{have: func(ctx context.Context, _ *wire.HaveRequest) (*wire.HaveReply, error) {
		if caller, known := CallerOf(ctx); !known || caller.Node() != "node-1" {
			t.Errorf("got caller %q (known %t), want node-1 from its certificate", caller.Node(), known)
		}
		return &wire.HaveReply{}, Require(ctx, true, RoleEntry)
	}}
	lis := listen(t, "127.0.0.1:0")
	serve(t, lis, loadKeys(t, deployment.issue(t, t.TempDir(), "agent-1", RoleAgent), clock), server)
	for role, works := range map[string]bool{RoleEntry: true, RoleAgent: false, "operator": false, "": false} {
		keys := loadKeys(t, deployment.issue(t, t.TempDir(), "node-1", role), clock)
		if err := call(t, keys, lis.Addr().String()); (err == nil) != works {
			t.Errorf("role %q: got error %v, want it to work: %t", role, err, works)
		}
	}
	if err := Require(t.Context(), true, RoleEntry); failure.KindOf(err) != failure.Unauthorized {
		t.Errorf("got %v without any identity, want kind unauthorized", err)
	}
	if err := Require(t.Context(), false, RoleEntry); err != nil {
		t.Errorf("got %v in an insecure process, want no check", err)
	}
}
