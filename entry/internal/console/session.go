package console

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
)

// session returns the operator whose key is in the cookie, and the key.
func (c *Console) session(r *http.Request) (operator, key string, known bool) {
	cookie, err := r.Cookie(cookieName)
	if err != nil {
		return "", "", false
	}
	operator, known = c.cfg.Authenticate(cookie.Value)
	return operator, cookie.Value, known
}

// login sets the session cookie if the posted key belongs to an operator.
func (c *Console) login(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxFormBytes)
	key := r.PostFormValue("key")
	if _, known := c.cfg.Authenticate(key); !known {
		c.render(w, http.StatusUnauthorized, pageData{
			Failure: "This key does not belong to an operator.",
			Remedy:  "Ask another operator to add its hash to the document.",
		})
		return
	}
	http.SetCookie(w, sessionCookie(key, 0))
	http.Redirect(w, r, "/console/", http.StatusSeeOther)
}

// logout deletes the session cookie.
func (c *Console) logout(w http.ResponseWriter, r *http.Request) {
	http.SetCookie(w, sessionCookie("", -1))
	http.Redirect(w, r, "/console/", http.StatusSeeOther)
}

// sessionCookie returns the cookie with the operator's key. A negative maxAge
// deletes it, and 0 keeps it until the browser closes.
func sessionCookie(key string, maxAge int) *http.Cookie {
	return &http.Cookie{
		Name:     cookieName,
		Value:    key,
		Path:     "/console/",
		MaxAge:   maxAge,
		HttpOnly: true,
		SameSite: http.SameSiteStrictMode,
	}
}

// formToken returns the CSRF token, which is derived from the operator's key. A
// page of another site could make the operator's browser post a form with the
// cookie, but it cannot know the token.
func formToken(key string) string {
	mac := hmac.New(sha256.New, []byte(key))
	mac.Write([]byte("console form"))
	return hex.EncodeToString(mac.Sum(nil))
}

// tokenMatches compares a posted token with the key's token in constant time.
func tokenMatches(key, token string) bool {
	return hmac.Equal([]byte(formToken(key)), []byte(token))
}

// parseBase parses a base revision, and returns 0 if the text is not valid.
func parseBase(text string) uint32 {
	base, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return 0
	}
	return uint32(base)
}

func formatRevision(revision uint32) string {
	return strconv.FormatUint(uint64(revision), 10)
}
