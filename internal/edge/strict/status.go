package strict

import "net/http"

// minStatus and maxStatus bound the status codes that HTTP defines.
const minStatus, maxStatus = 100, 599

// ValidStatus reports whether a response may have a status code. 101 is valid only if the request asked for another protocol, which none
// of ours does.
func ValidStatus(status int) bool {
	return status >= minStatus && status <= maxStatus && status != http.StatusSwitchingProtocols
}
