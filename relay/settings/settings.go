// Package settings reads a process's JSON settings file.
package settings

import (
	"os"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/wire"
)

// LoadEntry reads and checks the settings of comfreyentry.
func LoadEntry(name string) (*wire.EntrySettings, error) {
	set := &wire.EntrySettings{}
	return set, load(name, set)
}

// LoadAgent reads and checks the settings of comfreyagent.
func LoadAgent(name string) (*wire.AgentSettings, error) {
	set := &wire.AgentSettings{}
	return set, load(name, set)
}

func load(name string, set proto.Message) error {
	text, err := os.ReadFile(name)
	if err != nil {
		return failure.Wrap(err, failure.Invalid, "cannot read the settings", "name an existing file with --settings")
	}
	if err := protojson.Unmarshal(text, set); err != nil {
		return failure.Wrap(err, failure.Invalid, name+" is not valid", "correct the key that the message names")
	}
	return nil
}
