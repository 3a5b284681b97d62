package onsite

import (
	"encoding/binary"
	"net/netip"

	"comfreyrelay.example/relay/peer"
	"comfreyrelay.example/relay/wire"
)

// peersOf returns the agents of the engines that an entry listed.
func peersOf(groups []*wire.HostGroup) []*wire.Node {
	var list []*wire.Node
	for _, group := range groups {
		for i := range min(len(group.GetIp()), len(group.GetPort())) {
			list = append(list, peerOf(group, group.GetIp()[i], group.GetPort()[i]))
		}
	}
	return list
}

// peerOf describes an agent, with its engine's address as the ID.
func peerOf(group *wire.HostGroup, ip, port uint32) *wire.Node {
	var bytes [4]byte
	binary.BigEndian.PutUint32(bytes[:], ip)
	host := netip.AddrFrom4(bytes)
	return &wire.Node{
		Id: netip.AddrPortFrom(host, uint16(port)).String(), Role: peer.RoleAgent,
		Region: group.GetRegion(), FailureDomain: group.GetFailureDomain(),
		ControlAddress: netip.AddrPortFrom(host, uint16(group.GetAgentPort())).String(),
	}
}
