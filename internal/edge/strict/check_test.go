package strict

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestValidStatus(t *testing.T) {
	for status, want := range map[int]bool{-1: false, 0: false, 1: false, 99: false, 100: true, 101: false, 103: true, 200: true, 418: true, 599: true, 600: false, 999: false} {
		assert.Equal(t, ValidStatus(status), want, "%d", status)
	}
}

// Guards against the heads that net/http accepts though HTTP/1.1 doesn't allow them.
func TestCheckRefusesWhatNetHTTPAccepts(t *testing.T) {
	for head, want := range map[string]string{
		"HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 0\r\n": "",
		"HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n":          "invalid status code 0",
		"HTTP/1.1 600 Odd\r\nContent-Length: 0\r\n":          "invalid status code 600",
		"HTTP/1.1 200 OK\r\nX A: 1\r\nContent-Length: 0\r\n": `malformed field name "X A"`,
		"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n":          `malformed field name "Content-Length "`,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n": `malformed field name "Transfer-Encoding "`,
	} {
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head+"\r\n")), nil)
		assert.NilError(t, err)
		assert.Equal(t, Framed(resp), strings.Contains(head, "Content-Length: 0"))
		if err := Check(resp); want == "" {
			assert.NilError(t, err)
		} else {
			assert.ErrorContains(t, err, want)
		}
	}
}
