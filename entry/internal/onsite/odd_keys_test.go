package onsite

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"comfreyrelay.example/platform"
)

// Guards against entries that end, or stop following the store, because another writer left an odd
// value among the registrations: very deeply nested, with a number too large or a port out of range.
func TestOddValuesInStoreChangeNothingElse(t *testing.T) {
	const registration = `{"service":"app","address":%s,"zone":"d1","slots":%s,"state":"ready","cold_remaining_ms":%s,"born":%s,"models":%s}`
	register := func(address, slots, cold, born, models string) string {
		return fmt.Sprintf(registration, address, slots, cold, born, models)
	}
	const sound = `"127.0.0.1:9"`
	nested := strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000)
	odd := map[string]string{
		"nested":         nested,
		"objects":        strings.Repeat(`{"a":`, 100_000) + "1" + strings.Repeat("}", 100_000),
		"nested models":  register(sound, "4", "0", "0", nested),
		"unclosed":       strings.Repeat("[", 200_000),
		"slots":          register(sound, "1e400", "0", "0", "[]"),
		"many slots":     register(sound, "9223372036854775807", "0", "0", "[]"),
		"warm-up":        register(sound, "4", "1e308", "0", "[]"),
		"long warm-up":   register(sound, "4", "1e999", "0", "[]"),
		"negative":       register(sound, "4", "-1e308", "0", "[]"),
		"born":           register(sound, "4", "0", "99999999999999999999", "[]"),
		"version":        register(sound, "4", "0", "0", `[{"name":"m","version":1e30}]`),
		"port":           register(`"127.0.0.1:70000"`, "4", "0", "0", "[]"),
		"port too large": register(`"127.0.0.1:99999999999999999999"`, "4", "0", "0", "[]"),
		"negative port":  register(`"127.0.0.1:-1"`, "4", "0", "0", "[]"),
		"entry":          `{"callersAddress":"127.0.0.1:9","region":"r","failureDomain":"d1","controlAddress":"127.0.0.1:70000"}`,
		"entry callers":  `{"callersAddress":"127.0.0.1:70000","region":"r"}`,
		"report":         `[{"limited":{"incarnation":{"id":"i-0","born":1},"perSecond":1e308}}]`,
		"report end":     `[{"end":{"endpoint":"i-0","born":9223372036854775807},"suspects":["x"]}]`,
	}
	f := newTestFleet(t, 2, 2, nil)
	for name, value := range odd {
		for _, prefix := range []string{platform.EndpointPrefix, platform.EntryPrefix, platform.ReportPrefix("odd", "1"), "op/version/"} {
			f.store.PutRaw(prefix+name, []byte(value))
		}
	}
	f.store.Put(platform.ConfigKey, fleetConfig(2, []map[string]any{{"name": "deployment", "api_keys": []string{"key-2"}}}))
	for _, entry := range f.entries {
		eventually(t, "the change after the odd values", func() error {
			if got := f.send(entry, "body"); got != http.StatusUnauthorized {
				return fmt.Errorf("status %d", got)
			}
			return nil
		})
	}
	f.store.Put(platform.ConfigKey, fleetConfig(3, []map[string]any{{"name": "deployment", "api_keys": []string{"key-1"}}}))
	newcomer := f.start()
	for _, entry := range append(f.entries[:2:2], newcomer) {
		eventually(t, "requests are served", func() error {
			if got := f.send(entry, "body"); got != http.StatusOK {
				return fmt.Errorf("status %d", got)
			}
			return nil
		})
		select {
		case <-entry.done:
			t.Errorf("got the end of %s, want it to run on", entry.cfg.GetNode().GetId())
		default:
		}
	}
}
