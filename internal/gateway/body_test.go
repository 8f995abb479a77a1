package gateway

import (
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against requests of one path that are taken for the same one although their bodies differ. Crashes during one of
// them then count against all.
func TestRequestsAreIdentifiedByTheirBodies(t *testing.T) {
	b := newClientTestbed(t, nil)
	seen := map[string]bool{}
	for _, body := range []string{"one", "two", "two"} {
		r := httptest.NewRequest("POST", "/safe/x", strings.NewReader(body))
		r.Header.Set("X-Id", "id")
		c, release := b.readCall(httptest.NewRecorder(), r, nil)
		if c == nil {
			t.Fatal("the request was rejected")
		}
		defer release()
		if c.traits.Common {
			t.Errorf("a request with the body %q counts as one that many clients send", body)
		}
		seen[string(c.traits.Content)] = true
	}
	if len(seen) != 2 {
		t.Errorf("two different bodies have %d identities", len(seen))
	}
}
