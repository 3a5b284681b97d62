package deployment

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

const (
	// firstPort to lastPort lie below the ports that Linux gives to outgoing
	// connections, which could otherwise take a port between its choice and
	// its use.
	firstPort = 12000
	lastPort  = 31999
)

// errNoPort: a loopback address has no free port left.
var errNoPort = errors.New("no free port on the loopback network; end other runs")

// addresses hands out free addresses of one loopback IP number that the deployment
// has for itself, so that deployments side by side do not meet.
type addresses struct {
	ip   string
	next int
}

func newAddresses() *addresses {
	const low, high = 2, 250
	randomOctet := func() int { return low + rand.IntN(high-low) }
	return &addresses{ip: fmt.Sprintf("127.%d.%d.%d", randomOctet(), randomOctet(), randomOctet()), next: firstPort}
}

// take returns an address that nothing listens on.
func (a *addresses) take() (string, error) {
	for a.next <= lastPort {
		address := fmt.Sprintf("%s:%d", a.ip, a.next)
		a.next++
		lis, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = lis.Close()
		return address, nil
	}
	return "", errNoPort
}
