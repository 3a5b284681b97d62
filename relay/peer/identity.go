package peer

import (
	"context"
	"crypto/tls"

	"storj.io/drpc/drpcctx"

	"comfreyrelay.example/relay/failure"
)

// Roles that a certificate may name in its organisational unit.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// Identity is who is at the other end of a call, proved by its certificate.
type Identity struct {
	node string // common name: the node's id
	role string // organisational unit: RoleEntry or RoleAgent
}

// Node returns the caller's node id.
func (i Identity) Node() string { return i.node }

// Role returns the caller's role.
func (i Identity) Role() string { return i.role }

// CallerOf returns the identity behind a served call. Without TLS (settings
// with insecure set) the identity is empty and known is false.
func CallerOf(ctx context.Context) (caller Identity, known bool) {
	transport, ok := drpcctx.Transport(ctx)
	if !ok {
		return Identity{}, false
	}
	conn, ok := transport.(*tls.Conn)
	if !ok {
		return Identity{}, false
	}
	certs := conn.ConnectionState().PeerCertificates
	if len(certs) == 0 {
		return Identity{}, false
	}
	subject := certs[0].Subject
	caller.node = subject.CommonName
	if len(subject.OrganizationalUnit) > 0 {
		caller.role = subject.OrganizationalUnit[0]
	}
	return caller, true
}

// Require returns an error unless the call comes from one of the roles. A
// process that runs insecure accepts all, as its settings say.
func Require(ctx context.Context, secure bool, roles ...string) error {
	if !secure {
		return nil
	}
	caller, known := CallerOf(ctx)
	if known {
		for _, role := range roles {
			if caller.role == role {
				return nil
			}
		}
	}
	return failure.New(failure.Unauthorized, "the caller's certificate does not allow this call",
		"give the process a certificate whose organisational unit names its role")
}
