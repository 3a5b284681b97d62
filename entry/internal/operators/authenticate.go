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

// BootstrapOperator is the operator name in the audit trail for submissions made
// with a bootstrap key.
const BootstrapOperator = "bootstrap"

// operatorContextKey is the context key of the authenticated operator's name.
type operatorContextKey struct{}

// Authenticate returns the name of the operator that the key belongs to. Bootstrap
// keys are valid only while no document is in force; afterwards the document lists
// the operators.
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

// requireOperator is middleware that rejects requests without a valid operator
// key and stores the operator's name in the request context.
func (a *API) requireOperator(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		operator, ok := a.Authenticate(strings.TrimSpace(key))
		if !ok {
			writeError(w, failure.New(failure.Unauthorized, "the operator key is missing or invalid",
				"send an operator's key in the Authorization: Bearer header"))
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorContextKey{}, operator)))
	})
}

// operatorOf returns the operator's name that requireOperator stored.
func operatorOf(r *http.Request) string {
	operator, _ := r.Context().Value(operatorContextKey{}).(string)
	return operator
}

// FromAddress returns the client's IP address.
func FromAddress(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}
