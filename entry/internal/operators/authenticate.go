package operators

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strings"

	"comfreyrelay.example/relay/document"
	"comfreyrelay.example/relay/failure"
)

// BootstrapOperator is the name that the audit trail gives to holders of a
// bootstrap key.
const BootstrapOperator = "bootstrap"

type operatorContextKey struct{}

// Authenticate returns the operator whose key it is. Bootstrap keys count only
// while no document is in force: from then on the document says who operates.
func (a *API) Authenticate(key string) (operator string, ok bool) {
	if key == "" {
		return "", false
	}
	hash := document.KeyHash(key)
	revision, doc := a.InForce()
	for _, candidate := range doc.GetOperators() {
		if slices.Contains(candidate.GetKeyHashes(), hash) {
			return candidate.GetName(), true
		}
	}
	if revision == 0 && slices.Contains(a.cfg.BootstrapKeyHashes, hash) {
		return BootstrapOperator, true
	}
	return "", false
}

// identify lets only operators through.
func (a *API) requireOperator(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		operator, ok := a.Authenticate(strings.TrimSpace(key))
		if !ok {
			writeError(w, failure.New(failure.Unauthorized, "the key is missing or no operator's",
				"send Authorization: Bearer with an operator's key"))
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorContextKey{}, operator)))
	})
}

func operatorOf(r *http.Request) string {
	operator, _ := r.Context().Value(operatorContextKey{}).(string)
	return operator
}

// FromAddress returns the IP address that the request came from.
func FromAddress(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}
