package call

import "net/http"

// PromisesNotRun reports whether a status tells a caller that its request did not run and never will, so
// that it may send it again.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// ProvesNotRun reports whether an answer that belongs to a request sent to the endpoint with ID expected
// proves that the request did not run. The status alone is no proof: an endpoint may fail with it after
// it ran the request. Neither is a statement that the rest of the answer contradicts.
func (a Answer) ProvesNotRun(expected string) bool {
	if a.Signed || !isRejection(a.Status) {
		return false
	}
	return a.StatesNotRun || a.Misdirected() && a.Endpoint != "" && a.Endpoint != expected
}

// Misdirected reports whether another endpoint has the address, or the endpoint has another version of
// the model loaded.
func (a Answer) Misdirected() bool { return a.Status == http.StatusMisdirectedRequest }

// isRejection reports whether an endpoint may answer with the status without having run the request.
func isRejection(status int) bool {
	return status == http.StatusBadRequest || PromisesNotRun(status)
}
