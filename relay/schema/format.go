package schema

import (
	"errors"
	"net/netip"
	"net/url"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

// formats are the custom formats that the settings use.
var formats = []*jsonschema.Format{
	{Name: "ip-port", Validate: onString(checkIPPort)},
	{Name: "ip-url", Validate: onString(checkIPURL)},
}

// onString applies a check to strings only; the schema's "type" rejects other
// values.
func onString(check func(string) error) func(any) error {
	return func(value any) error {
		text, ok := value.(string)
		if !ok {
			return nil
		}
		return check(text)
	}
}

func checkIPPort(text string) error {
	_, err := netip.ParseAddrPort(text)
	if err != nil {
		return errors.New("is not an IP number with a port")
	}
	return nil
}

func checkIPURL(text string) error {
	base, err := url.Parse(text)
	if err != nil || base.Scheme != "http" && base.Scheme != "https" {
		return errors.New("is not an http or https address")
	}
	if base.RawQuery != "" || base.Fragment != "" || base.User != nil {
		return errors.New("has more than scheme, IP number, port and path")
	}
	return checkIPPort(base.Host)
}
