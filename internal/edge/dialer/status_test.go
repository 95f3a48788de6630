package dialer

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a status code outside 100 to 599 that is taken for an answer's, or for that of an informational response.
func TestAResponseWithAnInvalidStatusIsNoAnswer(t *testing.T) {
	for _, code := range []string{"000", "001", "099", "101", "600", "999", "-01", "-00", "+20", "+99", "20", "2000", "0200", "2x0", ""} {
		for name, rest := range map[string]string{
			"alone":                    "",
			"before a response":        okResponse("7", "whole"),
			"before a closed response": okResponse("7", "whole") + "!",
		} {
			t.Run(code+" "+name, func(t *testing.T) {
				u := startUpstream(t, func(n int, r *http.Request) string {
					if n > 0 {
						return okResponse(r.Header.Get("X-Id"), "sound")
					}
					return "HTTP/1.1 " + code + " Odd\r\nX-Id: 7\r\nX-Sig: s\r\nContent-Length: 0\r\n\r\n" + rest
				})
				s := New(testNames, time.Now)
				r := send(s, u, "7")
				assert.Assert(t, !r.Complete && !r.Shed && r.Sent && !r.Crashed && r.Err != nil, "%+v", r)
				r = send(s, u, "8") // On a connection of its own.
				assert.Equal(t, string(r.Answer.Body), "sound")
			})
		}
	}
}

// Guards against refusing informational responses, which may come before each response.
func TestInformationalResponsesAreSkipped(t *testing.T) {
	u := startUpstream(t, func(int, *http.Request) string {
		return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + okResponse("7", "whole")
	})
	r := send(New(testNames, time.Now), u, "7")
	assert.Equal(t, string(r.Answer.Body), "whole", "%v", r.Err)
}
