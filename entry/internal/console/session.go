package console

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
)

// session returns the operator whose key the cookie holds.
func (c *Console) session(r *http.Request) (operator, key string, known bool) {
	cookie, err := r.Cookie(cookieName)
	if err != nil {
		return "", "", false
	}
	operator, known = c.cfg.Authenticate(cookie.Value)
	return operator, cookie.Value, known
}

func (c *Console) login(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxFormBytes)
	key := r.PostFormValue("key")
	if _, known := c.cfg.Authenticate(key); !known {
		c.render(w, http.StatusUnauthorized, pageData{
			Failure: "No operator has this key.",
			Remedy:  "Ask another operator to add its hash to the document.",
		})
		return
	}
	http.SetCookie(w, sessionCookie(key, 0))
	http.Redirect(w, r, "/console/", http.StatusSeeOther)
}

func (c *Console) logout(w http.ResponseWriter, r *http.Request) {
	http.SetCookie(w, sessionCookie("", -1))
	http.Redirect(w, r, "/console/", http.StatusSeeOther)
}

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

// formToken is derived from the key. A page of another site could make the
// operator's browser post a form with the cookie; it cannot know the token.
func formToken(key string) string {
	mac := hmac.New(sha256.New, []byte(key))
	mac.Write([]byte("console form"))
	return hex.EncodeToString(mac.Sum(nil))
}

func tokenMatches(key, token string) bool {
	return hmac.Equal([]byte(formToken(key)), []byte(token))
}

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
