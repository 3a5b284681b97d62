package peer

import (
	"context"
	"crypto/tls"

	"storj.io/drpc/drpcctx"

	"comfreyrelay.example/relay/failure"
)

// Roles that a certificate's organisational unit may contain.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// Identity identifies the caller by its verified certificate.
type Identity struct {
	node string // node id, from the common name
	role string // RoleEntry or RoleAgent, from the organisational unit
}

// Node returns the caller's node id.
func (i Identity) Node() string { return i.node }

// Role returns the caller's role.
func (i Identity) Role() string { return i.role }

// CallerOf returns the identity of the caller of a served call. Without TLS
// (insecure is set in the settings) the identity is empty and known is false.
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

// Require returns an error unless the caller has one of the roles. It accepts every
// caller if secure is false, as in a process whose settings set insecure.
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
