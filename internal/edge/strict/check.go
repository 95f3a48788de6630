package strict

import (
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// minStatus and maxStatus bound the status codes that HTTP defines.
const minStatus, maxStatus = 100, 599

// ValidStatus reports whether a response may have a status code. 101 is valid only if the request asked for another protocol, which none
// of ours does.
func ValidStatus(status int) bool {
	return status >= minStatus && status <= maxStatus && status != http.StatusSwitchingProtocols
}

// Check returns ErrMalformed for a response that net/http has parsed, if its status code or the name of a field isn't valid.
func Check(resp *http.Response) error {
	if !ValidStatus(resp.StatusCode) {
		return ErrMalformed.New("invalid status code %d", resp.StatusCode)
	}
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return ErrMalformed.New("malformed field name %q", excerpt(name))
		}
	}
	return nil
}

// Framed reports whether the body of a response that net/http has parsed has a length or ends with its last chunk. The end of any other
// body can't be told from a reset while the request is still being written.
func Framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}
