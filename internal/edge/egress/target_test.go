package egress

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a target that reaches the upstream as another one.
func TestTheTargetReachesTheUpstreamUnchanged(t *testing.T) {
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.RequestURI) }))
	defer up.Close()
	s := New()
	defer s.Close()
	for _, target := range []string{"/", "//", "//a/b", "//a/b?c", "/a//b", "/a/../b", "/%2f%2F%41", "/a?", "/a?b?c", "/a|b\"<>^`{}", "/a:b", "/a#b"} {
		j := job(up.URL)
		j.Path = target
		r := s.Send(context.Background(), j)
		assert.NilError(t, r.Err, target)
		assert.Equal(t, string(r.Answer.Body), target)
	}
}
