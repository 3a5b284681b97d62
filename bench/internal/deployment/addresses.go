package deployment

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

const (
	// The range lies below the ephemeral ports of Linux. Otherwise an outgoing
	// connection could take a port between its choice and its use.
	firstPort = 12000
	lastPort  = 31999
)

// errNoPort is returned when the loopback address has no free port left.
var errNoPort = errors.New("no free port on the loopback network; end other runs")

// addresses allocates free ports of one loopback IP address. The address is chosen
// at random, so that concurrent deployments do not collide.
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
