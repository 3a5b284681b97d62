package site

import (
	"comfreyrelay.example/relay/rendezvous"
)

const (
	// nearGuides is the entries of its own region that tell a host what is
	// wanted. One that was cut off from the store goes on telling old things
	// until its registration lapses; with three, some other knows.
	nearGuides = 3
	// farGuides is the entries of other regions that do so too: all entries of
	// one region may be cut off together.
	farGuides = 2
)

// Guides returns the ids of the entries that tell a host of the region what is
// wanted. Were it all of them, each endpoint that comes or goes would cost every
// host's link a list of hosts from every entry: with 34 entries and 88 hosts a
// fifth of a second of each link, and most of the bytes between regions.
func Guides(host, region string, entries map[string]Entry) []string {
	var near, far []string
	for id, entry := range entries {
		if entry.Region == region {
			near = append(near, id)
		} else {
			far = append(far, id)
		}
	}
	guides := rendezvous.Top(host, near, nearGuides)
	return append(guides, rendezvous.Top(host, far, nearGuides+farGuides-len(guides))...)
}
