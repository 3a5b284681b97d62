package callers

import (
	"crypto/sha256"
	"net/http"
	"strings"

	"comfreyrelay.example/relay/failure"
)

const bearerPrefix = "Bearer "

// authenticate returns the customer that the request's bearer key belongs to. The
// key is looked up by its hash, so that the time of the lookup reveals nothing
// about existing keys.
func (x *index) authenticate(r *http.Request) (*customer, *problem) {
	header := r.Header.Get("Authorization")
	key, found := strings.CutPrefix(header, bearerPrefix)
	if !found || key == "" {
		return nil, unauthorized()
	}
	customer := x.deployment.customers[sha256.Sum256([]byte(key))]
	if customer == nil {
		return nil, unauthorized()
	}
	return customer, nil
}

func unauthorized() *problem {
	return notRun(http.StatusUnauthorized, failure.New(failure.Unauthorized, "the key is missing or unknown",
		"send Authorization: Bearer <key> with a key of your organisation, and the same once key"))
}

func forbidden(what string) *problem {
	return notRun(http.StatusForbidden, failure.New(failure.Unauthorized, "your organisation may not use this "+what,
		"ask an operator to add the customer to it"))
}
